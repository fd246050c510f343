package steps_test

import (
	"testing"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/steps"
)

// Guards against a roll-out that advances too early, after a halt, or beyond its last
// step.
func TestNext(t *testing.T) {
	r := &envdoc.Rollout{Steps: []ident.Share{100, 1000, 10000}, StepTime: time.Minute, MinSamples: 20}
	start := time.Unix(0, 0)
	tests := map[string]struct {
		p    steps.Progress
		want steps.Action
	}{
		"before step time": {steps.Progress{Step: 0, Since: start.Add(time.Second), Samples: 50, Usable: true}, steps.Hold{Reason: "step time is not over"}},
		"few answers":      {steps.Progress{Step: 0, Since: start, Samples: 19, Usable: true}, steps.Hold{Reason: "too few answers in this step"}},
		"next step":        {steps.Progress{Step: 0, Since: start, Samples: 20, Usable: true}, steps.Advance{To: 1}},
		"halted":           {steps.Progress{Step: 0, Since: start, Samples: 20}, steps.Hold{Reason: "version is halted or withdrawn"}},
		"last step":        {steps.Progress{Step: 2, Since: start, Samples: 20, Usable: true}, steps.Finished{}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := steps.Next(r, c.p, start.Add(time.Minute)); got != c.want {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
		})
	}
}

// Guards against entries that together expose more or fewer sessions than the bound.
func TestExposureBoundIsDividedAmongEntries(t *testing.T) {
	tests := map[string]struct{ bound, entries int }{
		"even":               {30, 3},
		"remainder":          {31, 3},
		"fewer than entries": {2, 5},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := &envdoc.Rollout{Steps: []ident.Share{100, 10000}, ExposureBound: c.bound}
			total := 0
			for i := range c.entries {
				f := steps.Membership{Entries: c.entries, Rank: i}
				n := 0
				for steps.MayExpose(r, steps.Progress{Step: 0, Sessions: n, Usable: true}, f) {
					n++
				}
				total += n
			}
			if total != c.bound {
				t.Errorf("%d sessions exposed, bound %d", total, c.bound)
			}
		})
	}
}
