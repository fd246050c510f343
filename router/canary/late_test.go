package canary_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tarragonvalve.example/router/canary"
)

// Guards against a good version that is reverted since its answers were read late and those of the old version were not,
// as after the move of all requests, and against a slow one that stays because the router was late at another time, or is
// late most of the time.
func TestTimesOfLateProcess(t *testing.T) {
	tests := map[string]struct {
		// late is the lateness while the first slow answers of the new version are read, stepped is true if it was seen
		// by CheckLateness instead, as no answer was read at the time. pause is the time from then to the other answers.
		late    time.Duration
		stepped bool
		pause   time.Duration
		// every is the time between those answers.
		every time.Duration
		// before is the lateness while the old version's answers are read, which are then as far apart as the others.
		before time.Duration
		bad    bool
	}{
		"on time":                        {0, false, 0, 0, 0, true},
		"lateness of a busy host":        {50 * time.Millisecond, false, 0, 0, 0, true},
		"stopped for 0.3 s":              {300 * time.Millisecond, false, 0, 0, 0, false},
		"stopped for 1 s":                {time.Second, false, 0, 0, 0, false},
		"stopped for 5 s":                {5 * time.Second, false, 0, 0, 0, false},
		"stopped before the answers":     {time.Second, true, time.Second, 0, 0, false},
		"stopped long before the answer": {time.Second, true, 3 * time.Second, 0, 0, true},
		"late all the time":              {200 * time.Millisecond, false, 0, 70 * time.Millisecond, 200 * time.Millisecond, true},
		"late after the old answers":     {200 * time.Millisecond, false, 0, 70 * time.Millisecond, 0, false},
		"late without old answers":       {200 * time.Millisecond, false, 1500 * time.Millisecond, 70 * time.Millisecond, 200 * time.Millisecond, false},
		"stopped most of the time":       {300 * time.Millisecond, false, 0, 70 * time.Millisecond, 0, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late := time.Duration(0)
				w := canary.NewMonitor(func() time.Duration { return late })
				observe := func(isNew bool, v float64) {
					w.ObserveTiming(canary.Timing{Service: "llm", New: isNew, Measure: canary.FirstResponse, Value: v}, 7)
				}
				late = c.before
				for range 100 {
					if c.before > 0 {
						time.Sleep(c.every)
					}
					observe(false, 0.1)
				}
				late = c.late
				if c.stepped {
					w.CheckLateness(time.Now())
					late = 0
				}
				time.Sleep(c.pause)
				for range 60 {
					time.Sleep(c.every)
					observe(true, 1)
				}
				if bad := w.Verdict("llm", 7) != ""; bad != c.bad {
					t.Errorf("found bad: %v, want %v", bad, c.bad)
				}
			})
		})
	}
}

// Guards against a good version that is reverted since answers of the old version that were read on time, between two times
// in which the process was late, count as ones of a late process.
func TestTimesBetweenLateness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			lateness = 200 * time.Millisecond
			pause    = 10 * time.Millisecond
		)
		late := lateness
		w := canary.NewMonitor(func() time.Duration { return late })
		observe := func(isNew bool, v float64) {
			time.Sleep(pause)
			w.ObserveTiming(canary.Timing{Service: "llm", New: isNew, Measure: canary.FirstResponse, Value: v}, 7)
		}
		for range 300 {
			time.Sleep(pause)
			w.CheckLateness(time.Now())
		}
		late = 0
		for range 100 {
			observe(false, 0.1)
		}
		late = lateness
		for range 60 {
			observe(true, 1)
		}
		if v := w.Verdict("llm", 7); v != "" {
			t.Errorf("found bad: %s", v)
		}
	})
}

// Guards against a good version that is reverted since more of the lateness was taken off the old version's times than off
// its own.
func TestTimesOfVaryingLateness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lateness = 150 * time.Millisecond
		late := lateness
		w := canary.NewMonitor(func() time.Duration { return late })
		// Both versions answer in 0.15 s, of 0.08 s predicted.
		observe := func(isNew bool) {
			time.Sleep(20 * time.Millisecond)
			const noticed, predicted = 0.15, 0.08
			w.ObserveTiming(canary.Timing{
				Service: "llm", New: isNew, Measure: canary.FirstResponse,
				Value: max(noticed-late.Seconds(), 0) / predicted, Noticed: noticed / predicted,
			}, 7)
		}
		for range 200 {
			observe(false)
		}
		late = lateness * 2 / 3
		for range 60 {
			observe(true)
		}
		if v := w.Verdict("llm", 7); v != "" {
			t.Errorf("found bad: %s", v)
		}
	})
}

// Guards against a roll-out that is advanced by what a router knew before it was stopped, and against a bad version that
// isn't reverted because the router can't read the store.
func TestOldInputs(t *testing.T) {
	for name, c := range map[string]struct {
		age     time.Duration
		phase   canary.Phase
		verdict string
		// want is the next phase, or the same for none.
		want canary.Phase
	}{
		"fresh canary":             {time.Second, canary.PhaseCanary, "", canary.PhaseShift},
		"stopped in the canary":    {5 * time.Second, canary.PhaseCanary, "", canary.PhaseCanary},
		"fresh shift":              {time.Second, canary.PhaseShift, "", canary.PhaseCompleted},
		"stopped in the shift":     {5 * time.Second, canary.PhaseShift, "", canary.PhaseShift},
		"stopped, version is bad":  {5 * time.Second, canary.PhaseCanary, "bad", canary.PhaseReverted},
		"stopped, bad after shift": {5 * time.Second, canary.PhaseShift, "bad", canary.PhaseReverted},
	} {
		t.Run(name, func(t *testing.T) {
			p := progress(c.phase)
			f := canary.Inputs{Order: order, Progress: p, Age: c.age, OldUpstreams: 2, NewUpstreams: 2, Verdict: c.verdict}
			f.StoreClock = p.StartedAt + order.MaxDuration*9/10
			got := c.phase
			if s, ok := canary.Decide(f).(canary.Save); ok {
				got = s.Progress.Phase
			}
			if got != c.want {
				t.Errorf("phase %s, want %s", got, c.want)
			}
		})
	}
}
