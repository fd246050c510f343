package canary_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
)

var order = canary.Order{Service: "llm", To: "v2", MaxDuration: 20 * time.Second, Revision: 7}

func progress(p canary.Phase) *canary.Progress {
	return &canary.Progress{Service: "llm", To: "v2", Order: 7, Phase: p, StartedAt: 100 * time.Second, Share: 800}
}

// shifted returns the progress of a roll-out whose requests moved at a time.
func shifted(at time.Duration) *canary.Progress {
	p := progress(canary.PhaseShift)
	p.ShiftedAt = at
	return p
}

// Guards against a roll-out that advances too early, too late or backwards, or although
// its version is bad.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		inputs canary.Inputs
		want   canary.Phase
		saves  bool
	}{
		"order started":                              {canary.Inputs{OldUpstreams: 9, NewUpstreams: 0}, canary.PhaseCanary, true},
		"progress of an earlier order":               {canary.Inputs{Progress: &canary.Progress{Order: 3, Phase: canary.PhaseReverted}, OldUpstreams: 9}, canary.PhaseCanary, true},
		"progress of a later order":                  {canary.Inputs{Progress: &canary.Progress{Order: 8, Phase: canary.PhaseCanary}, OldUpstreams: 9}, 0, false},
		"lost progress of a later order":             {canary.Inputs{Progress: &canary.Progress{Order: 8, Phase: canary.PhaseCanary}, Lost: true, OldUpstreams: 9}, 0, false},
		"first half":                                 {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 109 * time.Second, OldUpstreams: 9, NewUpstreams: 9}, 0, false},
		"second half":                                {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 112 * time.Second, OldUpstreams: 9, NewUpstreams: 9}, canary.PhaseShift, true},
		"too few new upstreams":                      {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 112 * time.Second, OldUpstreams: 9, NewUpstreams: 2}, 0, false},
		"no new upstream at all":                     {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 119 * time.Second, OldUpstreams: 9, NewUpstreams: 0}, 0, false},
		"few, but the time is over":                  {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 119 * time.Second, OldUpstreams: 9, NewUpstreams: 2}, canary.PhaseShift, true},
		"new upstreams have started again":           {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 112 * time.Second, OldUpstreams: 9, NewUpstreams: 9, YoungUpstreams: 3}, 0, false},
		"one of two new upstreams has started again": {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 112 * time.Second, OldUpstreams: 2, NewUpstreams: 2, YoungUpstreams: 1}, 0, false},
		"some new upstreams have started again":      {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 112 * time.Second, OldUpstreams: 9, NewUpstreams: 9, YoungUpstreams: 2}, canary.PhaseShift, true},
		"not proven when the time is over":           {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 119 * time.Second, OldUpstreams: 9, NewUpstreams: 9, YoungUpstreams: 3}, canary.PhaseReverted, true},
		"new upstreams start again after the shift":  {canary.Inputs{Progress: progress(canary.PhaseShift), StoreClock: 118 * time.Second, OldUpstreams: 9, NewUpstreams: 9, YoungUpstreams: 9}, canary.PhaseCompleted, true},
		"old requests end":                           {canary.Inputs{Progress: progress(canary.PhaseShift), StoreClock: 115 * time.Second, OldUpstreams: 9, NewUpstreams: 9}, 0, false},
		"completed":                                  {canary.Inputs{Progress: progress(canary.PhaseShift), StoreClock: 117500 * time.Millisecond, OldUpstreams: 9, NewUpstreams: 9}, canary.PhaseCompleted, true},
		"shifted lately":                             {canary.Inputs{Progress: shifted(116 * time.Second), StoreClock: 118 * time.Second, OldUpstreams: 9, NewUpstreams: 9}, 0, false},
		"shifted for enough":                         {canary.Inputs{Progress: shifted(115 * time.Second), StoreClock: 118 * time.Second, OldUpstreams: 9, NewUpstreams: 9}, canary.PhaseCompleted, true},
		"bad as a canary":                            {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 103 * time.Second, Verdict: "errors"}, canary.PhaseReverted, true},
		"bad after the shift":                        {canary.Inputs{Progress: progress(canary.PhaseShift), StoreClock: 118 * time.Second, Verdict: "errors"}, canary.PhaseReverted, true},
		"bad after the end":                          {canary.Inputs{Progress: progress(canary.PhaseCompleted), Verdict: "errors"}, 0, false},
		"bad at several instances": {canary.Inputs{Progress: progress(canary.PhaseCanary), Tallies: []canary.Tally{
			{Order: 7, Responses: 5, Failed: 3}, {Order: 7, Responses: 6, Failed: 3},
		}}, canary.PhaseReverted, true},
		"few bad of many": {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 101 * time.Second, Tallies: []canary.Tally{
			{Order: 7, Responses: 50, Failed: 3}, {Order: 7, Responses: 60, Failed: 3},
		}}, 0, false},
		"failures of another order": {canary.Inputs{Progress: progress(canary.PhaseCanary), StoreClock: 101 * time.Second, Tallies: []canary.Tally{
			{Order: 3, Responses: 9, Failed: 9},
		}}, 0, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			c.inputs.Order = order
			c.inputs.MaxShare = 0.15
			s, ok := canary.Decide(c.inputs).(canary.Save)
			if ok != c.saves || (ok && s.Progress.Phase != c.want) {
				t.Errorf("got %+v (%v), want %v (%v)", s, ok, c.want, c.saves)
			}
		})
	}
}

// Guards against a canary whose share exceeds the permitted exposure, for any number of
// upstreams.
func TestShareBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.01, 0.5).Draw(t, "limit")
		f := canary.Inputs{Order: order, OldUpstreams: rapid.IntRange(0, 700).Draw(t, "old"), MaxShare: limit}
		s, ok := canary.Decide(f).(canary.Save)
		if !ok {
			t.Fatal("the order was not started")
		}
		if float64(s.Progress.Share) > limit*float64(ident.FullShare) || s.Progress.Share == 0 {
			t.Errorf("share %d of a permitted %.4f", s.Progress.Share, limit)
		}
	})
}

// Guards against a phase that goes back, with any order of verdicts, delays, and writers
// that saw old progress. A write succeeds only if the writer saw the current progress.
func TestPhasesOnlyMoveForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row *canary.Progress
		revision := 0
		type seen struct {
			p        *canary.Progress
			revision int
		}
		views := make([]seen, 3)
		clock := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(views)-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "reads") {
				views[i] = seen{row, revision}
			}
			bad := ""
			if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
				bad = "errors"
			}
			f := canary.Inputs{Order: order, Progress: views[i].p, StoreClock: clock, Verdict: bad, OldUpstreams: 9, NewUpstreams: 9, MaxShare: 0.15}
			s, ok := canary.Decide(f).(canary.Save)
			if !ok || views[i].revision != revision {
				continue
			}
			if row != nil && s.Progress.Phase <= row.Phase {
				t.Fatalf("phase went from %v to %v", row.Phase, s.Progress.Phase)
			}
			if row != nil && row.Phase.Final() {
				t.Fatalf("final phase %v changed", row.Phase)
			}
			p := s.Progress
			row = &p
			revision++
		}
	})
}

// Guards against sessions that change their version, and against requests to a version
// that this instance found bad.
func TestRouteFor(t *testing.T) {
	tests := map[string]struct {
		progress *canary.Progress
		halted   bool
		seed     uint64
		old, new bool
	}{
		"before the order started":  {nil, false, 0, true, false},
		"progress of another order": {&canary.Progress{Order: 3, Phase: canary.PhaseCompleted}, false, 0, true, false},
		"in the canary's share":     {progress(canary.PhaseCanary), false, 10_799, false, true},
		"outside of the share":      {progress(canary.PhaseCanary), false, 10_800, true, false},
		"found bad":                 {progress(canary.PhaseCanary), true, 10_799, true, false},
		"shifted":                   {progress(canary.PhaseShift), false, 9_999, false, true},
		"shifted and found bad":     {progress(canary.PhaseShift), true, 9_999, true, false},
		"completed":                 {progress(canary.PhaseCompleted), true, 9_999, false, true},
		"reverted":                  {progress(canary.PhaseReverted), false, 0, true, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := canary.RouteFor(order, c.progress, c.halted, c.seed)
			if r.Accepts("v1") != c.old || r.Accepts("v2") != c.new {
				t.Errorf("accepts v1 %v, v2 %v", r.Accepts("v1"), r.Accepts("v2"))
			}
			if final := c.progress != nil && c.progress.Phase.Final(); r.Replaceable != (c.new && !final) {
				t.Errorf("the old version may serve it instead: %v", r.Replaceable)
			}
		})
	}
	if !(canary.Route{}).Accepts("v9") {
		t.Error("a version is not accepted without an order")
	}
}

// Guards against a bad version that is detected late and a good one that is reverted.
func TestMonitor(t *testing.T) {
	type response struct {
		failed bool
		// latency is the time of the response; 0 means none.
		latency time.Duration
	}
	tests := map[string]struct {
		respond func(i int) response
		// within is the number of responses within which the version must be found bad; 0
		// means never.
		within int
	}{
		"good":             {func(int) response { return response{latency: 110 * time.Millisecond} }, 0},
		"cold caches":      {func(int) response { return response{latency: 180 * time.Millisecond} }, 0},
		"half fail":        {func(i int) response { return response{failed: i%2 == 0} }, 10},
		"eight times slow": {func(int) response { return response{latency: 800 * time.Millisecond} }, 20},
		"bad after 100 responses": {func(i int) response {
			return response{failed: i > 100 && i%2 == 0, latency: 100 * time.Millisecond}
		}, 130},
		"slow after 100 responses": {func(i int) response {
			return response{latency: time.Duration(100+300*(i/100)) * time.Millisecond}
		}, 160},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := canary.NewMonitor(onTime)
			observe := func(r response, isNew bool) {
				w.Observe(canary.Response{Service: "llm", New: isNew, Failed: r.failed}, 7)
				if r.latency > 0 {
					w.ObserveTiming(canary.Timing{Service: "llm", New: isNew, Measure: canary.FirstResponse, Value: r.latency.Seconds()}, 7)
				}
			}
			for i := range 60 {
				observe(response{latency: time.Duration(90+i%20) * time.Millisecond}, false)
			}
			found := 0
			for i := 1; i <= 300 && found == 0; i++ {
				observe(c.respond(i), true)
				if w.Verdict("llm", 7) != "" {
					found = i
				}
			}
			if (found == 0) != (c.within == 0) || found > c.within {
				t.Errorf("found bad after %d responses, want within %d", found, c.within)
			}
			if w.Verdict("llm", 8) != "" {
				t.Error("the verdict on one order counts for the next")
			}
		})
	}
}

func onTime() time.Duration { return 0 }

// The day hasty: a canary's few responses are spread over many instances. Guards against a slow
// version that none of them can judge alone, and against a good one that is reverted because a
// fifth of all responses are slow.
func TestSlowAcrossInstances(t *testing.T) {
	for name, c := range map[string]struct {
		instances int
		slow      canary.Slowness
		bad       bool
	}{
		"slow at 5 instances":      {5, canary.Slowness{Slow: 4, Timed: 5}, true},
		"slow at 103 instances":    {30, canary.Slowness{Slow: 1, Timed: 1}, true},
		"good at 5 instances":      {5, canary.Slowness{Slow: 1, Timed: 5}, false},
		"good at 103 instances":    {103, canary.Slowness{Slow: 1, Timed: 4}, false},
		"busy, but like the other": {5, canary.Slowness{Slow: 6, Timed: 20}, false},
		"first responses are slow": {3, canary.Slowness{Slow: 1, Timed: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := canary.Inputs{Order: order, Progress: progress(canary.PhaseCanary), StoreClock: 101 * time.Second}
			for range c.instances {
				f.Tallies = append(f.Tallies, canary.Tally{Order: 7, Responses: c.slow.Timed, Slowness: c.slow, SlownessBefore: canary.Slowness{Slow: 20, Timed: 100}})
			}
			s, saves := canary.Decide(f).(canary.Save)
			if bad := saves && s.Progress.Phase == canary.PhaseReverted; bad != c.bad {
				t.Errorf("found bad: %v, want %v", bad, c.bad)
			}
		})
	}
}

// Guards against a good version that is reverted since its times differ from the old one's by
// connections and scheduling alone: both answer in a fraction of the predicted time.
func TestFastVersions(t *testing.T) {
	w := canary.NewMonitor(onTime)
	for i := range 300 {
		w.ObserveTiming(canary.Timing{Service: "llm", Measure: canary.FirstResponse, Value: 0.005 + 0.001*float64(i%3)}, 7)
		w.ObserveTiming(canary.Timing{Service: "llm", New: true, Measure: canary.FirstResponse, Value: 0.02}, 7)
	}
	if v := w.Verdict("llm", 7); v != "" {
		t.Errorf("found bad: %s", v)
	}
}

// Guards against a bad version that stays because a restarted instance has no reference
// yet.
func TestMonitorWithoutReference(t *testing.T) {
	w := canary.NewMonitor(onTime)
	for range 8 {
		w.Observe(canary.Response{Service: "llm", New: true, Failed: true}, 7)
	}
	if w.Verdict("llm", 7) == "" {
		t.Error("eight failures in a row don't count as bad")
	}
}

// Requests of a session reach different instances, some of which see a phase later
// than others. Guards against a session that is sent to the new version early and to the
// old one again later. A good roll-out may move a session to the new version once, and in
// the first half of its time only sessions in the canary's share.
func TestSessionsMoveOnce(t *testing.T) {
	phases := []canary.Phase{canary.PhaseCanary, canary.PhaseShift, canary.PhaseCompleted}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "session")
		share := ident.Share(rapid.IntRange(0, int(ident.FullShare)).Draw(t, "share"))
		moved := false
		phase := 0
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			// The instance that gets the request may be one phase behind.
			phase = min(phase+rapid.IntRange(0, 1).Draw(t, "moves on"), len(phases)-1)
			p := progress(phases[phase])
			p.Share = share
			got := canary.RouteFor(order, p, false, seed).New
			if moved && !got {
				t.Fatalf("session %d went back to the old version in phase %s", seed, p.Phase)
			}
			if early := seed%uint64(ident.FullShare) < uint64(share); got && !early && p.Phase == canary.PhaseCanary {
				t.Fatalf("session %d outside of the canary's share was moved early", seed)
			}
			moved = moved || got
		}
		f := canary.Inputs{
			Order: order, Progress: progress(canary.PhaseCanary), MaxShare: 0.1,
			OldUpstreams: rapid.IntRange(0, 50).Draw(t, "old"), NewUpstreams: rapid.IntRange(0, 50).Draw(t, "new"),
		}
		f.StoreClock = f.Progress.StartedAt + time.Duration(rapid.Int64Range(0, int64(order.MaxDuration/2)).Draw(t, "age"))
		if s, ok := canary.Decide(f).(canary.Save); ok && s.Progress.Phase == canary.PhaseShift {
			t.Fatalf("sessions were moved %s after the order, in the first half of %s", f.StoreClock-f.Progress.StartedAt, order.MaxDuration)
		}
	})
}
