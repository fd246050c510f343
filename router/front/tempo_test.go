package front

import (
	"testing"
	"time"
)

// Guards against a route that counts as fast by too few requests, by old ones, or by all but its slowest.
func TestTempo(t *testing.T) {
	const ms = time.Millisecond
	// sample is a request that took some time and ended at a time.
	type sample struct{ at, took time.Duration }
	five := []sample{{0, 20 * ms}, {0, 30 * ms}, {0, 20 * ms}, {0, 20 * ms}, {0, 20 * ms}}
	tests := map[string]struct {
		samples []sample
		at      time.Duration
		want    time.Duration
		known   bool
	}{
		"none":                   {nil, 0, 0, false},
		"too few":                {five[:4], time.Second, 60 * ms, false},
		"slowest of five":        {five, time.Second, 60 * ms, true},
		"in the next window":     {five, 40 * time.Second, 60 * ms, true},
		"over":                   {five, 2 * time.Minute, 0, false},
		"slower in the next one": {append(five, sample{40 * time.Second, time.Second}), 41 * time.Second, 2 * time.Second, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var x tempo
			start := time.Unix(1000, 0)
			for _, s := range c.samples {
				x.record("r", s.took, true, start.Add(s.at))
			}
			if got, known := x.expected("r", start.Add(c.at)); got != c.want || known != c.known {
				t.Errorf("got %s, %v, want %s, %v", got, known, c.want, c.known)
			}
			if _, known := x.expected("other", start.Add(c.at)); known {
				t.Error("another route is known")
			}
		})
	}
}
