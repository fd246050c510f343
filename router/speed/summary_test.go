package speed_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/speed"
)

// exchange passes what is due at each router on to all others.
func exchange(rs []*speed.Registry, now time.Time) {
	for i, r := range rs {
		for _, x := range r.DrainSummaries(now) {
			for j, o := range rs {
				if i != j {
					o.MergeSummaries(x.Upstream, []speed.Summary{x.Summary}, now)
				}
			}
		}
	}
}

// Eighteen routers with 20 requests a second each share what they observe, one only listens. Guards against a router that
// has too little traffic to tell upstreams apart within some seconds.
func TestExchange(t *testing.T) {
	s := newSite(20, 53)
	s.slow = func(i int, _ time.Time) float64 {
		if i%3 == 0 {
			return 1.8
		}
		return 1
	}
	var rs []*speed.Registry
	for range 19 {
		r := speed.NewRegistry()
		r.UpdateUpstreams(s.list(s.n))
		rs = append(rs, r)
	}
	const perSecond = 360
	now := start
	for k := range 8 * perSecond {
		now = start.Add(time.Duration(k) * time.Second / perSecond)
		s.request(rs[s.rand.IntN(18)], s.rand.IntN(s.n), now)
		if k%(perSecond/5) == 0 {
			exchange(rs, now)
		}
	}
	right := 0
	for i := range s.n {
		f := rs[18].Estimate(s.target(i, reference), now).Factor
		if (f > 1.35) == (i%3 == 0) {
			right++
		} else {
			t.Logf("upstream %d: factor %.2f", i, f)
		}
	}
	if right < s.n-1 {
		t.Errorf("%d of %d upstreams on the right side", right, s.n)
	}
}

// summaries returns what a router has observed of two upstreams, in several messages.
func summaries(s *site, messages int) []speed.UpstreamSummary {
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(2))
	var out []speed.UpstreamSummary
	now := start
	for range messages {
		now = s.run(r, now, 2*time.Second, 20, 2)
		out = append(out, r.DrainSummaries(now)...)
	}
	return out
}

// Guards against summaries that count twice as a reply was lost and the message is sent again, also much later.
func TestMergedTwice(t *testing.T) {
	s := newSite(21, 2)
	ss := summaries(s, 5)
	now := start.Add(10 * time.Second)
	once, twice := speed.NewRegistry(), speed.NewRegistry()
	for _, r := range []*speed.Registry{once, twice} {
		r.UpdateUpstreams(s.list(2))
		for _, x := range ss {
			r.MergeSummaries(x.Upstream, []speed.Summary{x.Summary}, now)
		}
	}
	for range 3 {
		for _, x := range ss {
			twice.MergeSummaries(x.Upstream, []speed.Summary{x.Summary, x.Summary}, now)
		}
	}
	a, b := once.Estimate(s.target(0, reference), now), twice.Estimate(s.target(0, reference), now)
	const rounding = 1e-9 // the sums of floating-point numbers depend on their order
	check(t, "prompt rate", b.PromptRate, a.PromptRate, rounding)
	check(t, "step", b.Step(10), a.Step(10), rounding)
	check(t, "factor", b.Factor, a.Factor, rounding)
	check(t, "observations", b.Confidence.Observations, a.Confidence.Observations, rounding)
	if n := twice.Stats(now).Merged; n != uint64(len(ss)) {
		t.Errorf("%d summaries counted, want %d", n, len(ss))
	}
}

// Guards against an estimate that depends on the order in which messages arrive, or that a late one replaces.
func TestOutOfOrder(t *testing.T) {
	s := newSite(22, 2)
	ss := summaries(s, 10)
	now := start.Add(20 * time.Second)
	var want speed.Estimate
	for k := range 20 {
		r := speed.NewRegistry()
		r.UpdateUpstreams(s.list(2))
		for _, x := range ss {
			r.MergeSummaries(x.Upstream, []speed.Summary{x.Summary}, now)
		}
		e := r.Estimate(s.target(0, reference), now)
		if k == 0 {
			want = e
		}
		check(t, "prompt rate", e.PromptRate, want.PromptRate, 0.25)
		check(t, "step", e.Step(10), want.Step(10), 0.25)
		s.rand.Shuffle(len(ss), func(i, j int) { ss[i], ss[j] = ss[j], ss[i] })
	}
}

// Guards against an old summary that weighs as much as new observations.
func TestLateSummary(t *testing.T) {
	s := newSite(23, 2)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(2))
	now := s.run(r, start, 20*time.Second, 20, 2)
	before := r.Estimate(s.target(0, reference), now)
	x := speed.Summary{Origin: 7, Sequence: 1, Model: reference, Prompt: speed.Mean{Value: math.Log(1.0 / 20), Weight: 20}, At: now.Add(-time.Minute)}
	r.MergeSummaries(s.id(0), []speed.Summary{x}, now)
	check(t, "prompt rate", r.Estimate(s.target(0, reference), now).PromptRate, before.PromptRate, 0.02)
}

// Guards against lists that lose or repeat summaries on their way through other routers, or grow without bound.
func TestMergeSummaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) speed.Summary {
			o, q := rapid.Uint64Range(1, 3).Draw(t, "origin"), rapid.Uint64Range(1, 20).Draw(t, "sequence")
			return speed.Summary{Origin: o, Sequence: q, At: start.Add(time.Duration(q*o) * time.Second)}
		}), 0, 30)
		a, b, c := unique(gen.Draw(t, "a")), unique(gen.Draw(t, "b")), unique(gen.Draw(t, "c"))
		merge := func(x, y []speed.Summary) []speed.Summary {
			return speed.MergeSummaries(slices.Clone(x), slices.Clone(y))
		}
		x, y := keys(merge(merge(a, b), c)), keys(merge(c, merge(b, a)))
		if !slices.Equal(x, y) {
			t.Fatalf("%v in one order, %v in another", x, y)
		}
		all := keys(unique(slices.Concat(a, b, c)))
		if len(x) != min(len(all), speed.MaxSummaries) {
			t.Fatalf("%d of %d summaries", len(x), len(all))
		}
	})
}

func unique(ss []speed.Summary) []speed.Summary {
	seen := map[[2]uint64]bool{}
	return slices.DeleteFunc(slices.Clone(ss), func(s speed.Summary) bool {
		k := [2]uint64{s.Origin, s.Sequence}
		defer func() { seen[k] = true }()
		return seen[k]
	})
}

func keys(ss []speed.Summary) [][2]uint64 {
	var out [][2]uint64
	for _, s := range ss {
		out = append(out, [2]uint64{s.Origin, s.Sequence})
	}
	slices.SortFunc(out, func(a, b [2]uint64) int { return slices.Compare(a[:], b[:]) })
	return out
}

// Guards against estimates outside their bounds, or that are no numbers, whatever is observed, reported or sent by others.
func TestBounds(t *testing.T) {
	anyFloat := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(math.Inf(-1)))
	duration := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "ns")) })
	sane := rapid.Custom(func(t *rapid.T) time.Duration { return ms(rapid.Float64Range(0, 5000).Draw(t, "ms")) })
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(1, 4)
		r := speed.NewRegistry()
		r.UpdateUpstreams(s.list(3))
		now := start
		target := func() speed.Target {
			x := s.target(rapid.IntRange(0, 3).Draw(t, "upstream"), rapid.SampledFrom([]ident.ModelID{"", reference, larger}).Draw(t, "model"))
			x.Factor = anyFloat.Draw(t, "factor")
			x.Slots = rapid.IntRange(-2, 10000).Draw(t, "slots")
			return x
		}
		mean := func(what string) speed.Mean {
			return speed.Mean{Value: anyFloat.Draw(t, what), Weight: anyFloat.Draw(t, "weight")}
		}
		t.Repeat(map[string]func(t *rapid.T){
			"prompt": func(t *rapid.T) {
				o := speed.PromptObservation{
					Tokens: ident.Tokens(rapid.Uint64().Draw(t, "tokens")), Took: rapid.OneOf(duration, sane).Draw(t, "took"),
					Running: rapid.Int().Draw(t, "running"), Waiting: rapid.IntRange(-1, 1).Draw(t, "waiting"),
				}
				if rapid.Bool().Draw(t, "queued") {
					o.Ahead = anyFloat.Draw(t, "ahead")
				}
				r.Prompt(target(), o, now)
			},
			"step": func(t *rapid.T) {
				r.Step(target(), speed.StepObservation{
					Took: rapid.OneOf(duration, sane).Draw(t, "took"), Tokens: rapid.IntRange(-1, 70).Draw(t, "tokens"), Running: rapid.Int().Draw(t, "running"),
				}, now)
			},
			"report": func(t *rapid.T) {
				l := call.Load{Running: rapid.Int().Draw(t, "running"), Slots: rapid.Int().Draw(t, "slots"), Pace: rapid.Int().Draw(t, "pace")}
				r.Reported(s.id(rapid.IntRange(0, 3).Draw(t, "upstream")), l, now)
			},
			"merge": func(t *rapid.T) {
				x := speed.Summary{
					Origin: rapid.Uint64().Draw(t, "origin"), Sequence: rapid.Uint64().Draw(t, "sequence"), Model: reference, Factor: anyFloat.Draw(t, "factor"),
					Prompt: mean("prompt"), Idle: mean("idle"), Running: mean("running"),
					Steps: []speed.BandMean{{Mean: mean("step"), Band: rapid.Int().Draw(t, "band")}},
					At:    now.Add(duration.Draw(t, "age")),
				}
				r.MergeSummaries(s.id(rapid.IntRange(0, 3).Draw(t, "upstream")), []speed.Summary{x}, now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(ms(rapid.Float64Range(-100, 1e6).Draw(t, "wait")))
			},
			"drain": func(*rapid.T) { r.DrainSummaries(now) },
			"": func(t *rapid.T) {
				e := r.Estimate(target(), now)
				bounded(t, "prompt rate", e.PromptRate, speed.MinPromptRate, speed.MaxPromptRate)
				bounded(t, "idle", e.Idle, speed.MinIdle, speed.MaxIdle)
				bounded(t, "running", e.Running, speed.MinRunning, speed.MaxRunning)
				bounded(t, "factor", e.Factor, speed.MinFactor, speed.MaxFactor)
				bounded(t, "pace", e.Pace, speed.MinPace, speed.MaxPace)
				bounded(t, "observations", e.Confidence.Observations, 0, 1e6)
				for _, n := range []int{-1, 0, 1, 20, 48, 1 << 40} {
					bounded(t, "step", e.Step(n), speed.MinStep, speed.MaxStep)
				}
				if e.Knee < 0 || e.Knee > 10000 {
					t.Fatalf("knee %d", e.Knee)
				}
			},
		})
	})
}

func bounded(t *rapid.T, what string, x, low, high float64) {
	const rounding = 1e-9
	if !(x >= low*(1-rounding) && x <= high*(1+rounding)) {
		t.Fatalf("%s is %v, not in %v to %v", what, x, low, high)
	}
}

// Guards against a state that grows with names that upstreams or models are given.
func TestRoom(t *testing.T) {
	s := newSite(30, 1)
	r := speed.NewRegistry()
	for i := range 2 * speed.MaxUpstreams {
		x := s.target(i, ident.ModelID(s.id(i)))
		x.Service = ident.ServiceID(s.id(i % 100))
		r.Prompt(x, speed.PromptObservation{Tokens: 1000, Took: 40 * time.Millisecond}, start)
	}
	if n := r.Stats(start).Upstreams; n > speed.MaxUpstreams {
		t.Errorf("%d upstreams, want at most %d", n, speed.MaxUpstreams)
	}
	r.UpdateUpstreams(s.list(0))
	if n := r.Stats(start).Upstreams; n != 0 {
		t.Errorf("%d upstreams kept that are not listed", n)
	}
}

func observed(n int) (*site, *speed.Registry, []speed.Target) {
	s := newSite(31, n)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(n))
	s.run(r, start, 10*time.Second, 360, n)
	var ts []speed.Target
	for i := range n {
		ts = append(ts, s.target(i, reference))
	}
	return s, r, ts
}

// Guards against garbage for each event of a stream at routers with a tenth of a core.
func TestRecordAllocatesNothing(t *testing.T) {
	_, r, ts := observed(53)
	now, i := start.Add(10*time.Second), 0
	l := call.Load{Running: 10, Slots: 48, Pace: 100}
	if n := testing.AllocsPerRun(5000, func() {
		now, i = now.Add(time.Millisecond), i+1
		x := ts[i%len(ts)]
		r.Reported(x.Upstream, l, now)
		r.Prompt(x, speed.PromptObservation{Tokens: 2368, Took: 40 * time.Millisecond, Running: 10}, now)
		r.Step(x, speed.StepObservation{Took: 35 * time.Millisecond, Tokens: 9}, now)
	}); n >= 1 {
		t.Errorf("%v allocations for a report, a prompt and a step", n)
	}
}

// Each observation is 1 ms after the one before, so that the levels are calculated as often as in operation.
func BenchmarkStep(b *testing.B) {
	_, r, ts := observed(53)
	now := start.Add(10 * time.Second)
	b.ReportAllocs()
	for i := range b.N {
		r.Step(ts[i%len(ts)], speed.StepObservation{Took: 35 * time.Millisecond, Tokens: 9, Running: 10}, now.Add(time.Duration(i)*time.Millisecond))
	}
}

func BenchmarkPrompt(b *testing.B) {
	_, r, ts := observed(53)
	now := start.Add(10 * time.Second)
	b.ReportAllocs()
	for i := range b.N {
		r.Prompt(ts[i%len(ts)], speed.PromptObservation{Tokens: 2368, Took: 40 * time.Millisecond, Running: 10}, now.Add(time.Duration(i)*time.Millisecond))
	}
}

func BenchmarkEstimate(b *testing.B) {
	_, r, ts := observed(53)
	now := start.Add(10 * time.Second)
	b.ReportAllocs()
	for i := range b.N {
		r.Estimate(ts[i%len(ts)], now)
	}
}

// Load: 29 and 103 instances observe all upstreams of a large service. Guards against an instance that relays samples and
// spends its processor time on summaries, as each of them goes to each instance.
func TestSummariesOfManyInstances(t *testing.T) {
	const length, relayed = 60 * time.Second, 2000.0
	for _, n := range []int{8, 29, 103} {
		s := newSite(5, 53)
		r := speed.NewRegistry()
		r.UpdateUpstreams(s.list(s.n))
		r.SetInstances(n)
		now, drained := start, 0
		for range int(length / time.Second) {
			now = s.run(r, now, time.Second, 200, s.n)
			drained += len(r.DrainSummaries(now))
		}
		if got := float64(drained*n*n) / length.Seconds(); got > 1.1*relayed || drained == 0 {
			t.Errorf("%d instances: %d summaries, %.0f relayed a second, want at most %.0f", n, drained, got, relayed)
		}
	}
}

// Guards against an instance that shares nothing for minutes since it took itself for the only one when it started.
func TestSummariesAfterStart(t *testing.T) {
	s := newSite(5, 53)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	now := s.run(r, start, 5*time.Second, 200, s.n)
	if n := len(r.DrainSummaries(now)); n < 20 {
		t.Fatalf("%d summaries of the only instance, want one for most upstreams", n)
	}
	r.SetInstances(29)
	drained := 0
	for range 10 {
		now = s.run(r, now, time.Second, 200, s.n)
		drained += len(r.DrainSummaries(now))
	}
	if drained == 0 {
		t.Error("no summary within 10 s beside 28 other instances")
	}
}
