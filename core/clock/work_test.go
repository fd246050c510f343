package clock_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"tarragonvalve.example/core/clock"
)

const ms = time.Millisecond

// Guards against a stop of the process, or a shortage of processor time, that counts as time in which others were
// silent, and against a process that stays late and never judges.
func TestWork(t *testing.T) {
	const interval = 50 * ms
	tests := map[string]struct {
		gaps []time.Duration
		want time.Duration
	}{
		"on time":              {[]time.Duration{50 * ms, 50 * ms, 50 * ms}, 150 * ms},
		"5 ms of each 50 ms":   {[]time.Duration{95 * ms, 50 * ms, 55 * ms}, 200 * ms},
		"stopped for 0.3 s":    {[]time.Duration{50 * ms, 300 * ms, 50 * ms}, 100 * ms},
		"stopped for 1 s":      {[]time.Duration{50 * ms, time.Second, 50 * ms}, 100 * ms},
		"stopped for 5 s":      {[]time.Duration{50 * ms, 5 * time.Second, 50 * ms}, 100 * ms},
		"stopped twice":        {[]time.Duration{time.Second, 50 * ms, time.Second, 50 * ms}, 100 * ms},
		"late all the time":    {[]time.Duration{350 * ms, 350 * ms, 350 * ms}, 100 * ms},
		"late, then on time":   {[]time.Duration{350 * ms, 350 * ms, 50 * ms, 50 * ms}, 150 * ms},
		"clock that went back": {[]time.Duration{50 * ms, -time.Second}, 50 * ms},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(100, 0)
			w := clock.NewWork(now)
			for _, g := range c.gaps {
				now = now.Add(g)
				w.Step(now, interval)
			}
			if w.Elapsed() != c.want {
				t.Errorf("got %s, want %s", w.Elapsed(), c.want)
			}
			if got := w.At(now.Add(time.Minute), interval); got != c.want+interval {
				t.Errorf("an event after a further stop is at %s, want %s", got, c.want+interval)
			}
		})
	}
}

// Guards against a time-out that expires early or late while the process runs on time, and against one that can't be
// told from the end of the context it belongs to.
func TestTimeout(t *testing.T) {
	tests := map[string]struct {
		limit, parent time.Duration
		timedOut      bool
	}{
		"expires":          {250 * ms, time.Second, true},
		"short":            {10 * ms, time.Second, true},
		"no full step":     {120 * ms, time.Second, true},
		"the parent's end": {250 * ms, 100 * ms, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				parent, end := context.WithTimeout(t.Context(), c.parent)
				defer end()
				start := time.Now()
				ctx, stop := clock.WithTimeout(parent, c.limit)
				defer stop()
				<-ctx.Done()
				if got, want := time.Since(start), min(c.limit, c.parent); got != want {
					t.Errorf("ended after %s, want %s", got, want)
				}
				var e *clock.TimeoutError
				if errors.As(context.Cause(ctx), &e) != c.timedOut {
					t.Errorf("cause %v", context.Cause(ctx))
				}
			})
		})
	}
}
