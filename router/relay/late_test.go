package relay

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a good version that is reverted as slow, since its answers were read late.
func TestTakenSinceOfLateProcess(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct{ lateness, want time.Duration }{
		"on time":                  {0, 110 * ms},
		"runs each 50 ms":          {48 * ms, 62 * ms},
		"later than the time took": {300 * ms, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Relay{Options: Options{Lateness: func() time.Duration { return c.lateness }}}
				o := &attempt{request: &request{Relay: r}}
				began := time.Now()
				time.Sleep(110 * ms)
				if got := o.takenSince(began); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
			})
		})
	}
}
