package front

import (
	"testing"
	"time"
)

// Guards against fresh or preferred requests that are refused in a standing queue, and against refusals of which none, or
// each, ends its connection.
func TestOverloadTakes(t *testing.T) {
	const ms = time.Millisecond
	var o overload
	now := time.Now()
	for past := 300 * ms; past > 0; past -= 10 * ms {
		o.takes(now.Add(-past), time.Second, func() bool { return false })
	}
	tests := map[string]struct {
		waited          time.Duration
		preferred, want bool
	}{
		"queued":               {200 * ms, false, false},
		"queued, preferred":    {200 * ms, true, true},
		"fresh":                {10 * ms, false, true},
		"too long for anybody": {time.Second, true, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := o.takes(now, c.waited, func() bool { return c.preferred }); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	closed := 0
	for range 10 * closeEach {
		if _, closes := o.refusal(now); closes {
			closed++
		}
	}
	if closed != 10 {
		t.Errorf("%d of %d refusals end their connection, want 10", closed, 10*closeEach)
	}
}
