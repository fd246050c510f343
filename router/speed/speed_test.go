package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/speed"
)

var start = time.Unix(1000, 0)

const (
	reference = ident.ModelID("small")
	larger    = ident.ModelID("large")
)

// site simulates the engines of one service and the observations of a router. Times are those of the quotes deployment unless
// a test says otherwise.
type site struct {
	rand  *rand.Rand
	n     int
	slots int
	// rate is in prompt tokens per ms, step the time of a step in ms with one running request, growth its relative growth
	// with each further one, largeFactor how many times longer the larger model takes.
	rate, step, growth, largeFactor float64
	// slow returns how many times longer than usual an upstream takes, knee the running requests from which each further one
	// makes a step a tenth longer.
	slow func(i int, now time.Time) float64
	knee func(i int) int
	// low and high bound the running requests of an upstream, which change once a second.
	low, high int
	// noisy is the part of the time in which work takes 2.5 times as long, in periods of 600 ms; reports is true if upstreams
	// report it.
	noisy   float64
	reports bool
	queued  float64 // mean number of long prompts ahead, as known at the placement
	// later holds events of streams that have not come yet.
	later []later
}

// later is something that happens at a time.
type later struct {
	at time.Time
	do func()
}

// flush has all happen, in order, that happens until a time.
func (s *site) flush(until time.Time) {
	slices.SortStableFunc(s.later, func(a, b later) int { return a.at.Compare(b.at) })
	n := 0
	for ; n < len(s.later) && !s.later[n].at.After(until); n++ {
		s.later[n].do()
	}
	s.later = slices.Clone(s.later[n:])
}

func newSite(seed uint64, n int) *site {
	s := &site{rand: rand.New(rand.NewPCG(seed, 1)), n: n, slots: 48, rate: 157, step: 3.55, growth: 0.01, largeFactor: 3, reports: true, noisy: 0.15}
	s.slow = func(int, time.Time) float64 { return 1 }
	s.knee = func(int) int { return s.slots }
	s.low, s.high = 4, 33
	return s
}

func (s *site) id(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("u%d", i)) }

func (s *site) target(i int, m ident.ModelID) speed.Target {
	f := 1.0
	if m == larger {
		f = 2.5 // the expectation from the prices, which is not exact
	}
	return speed.Target{Service: "llm", Upstream: s.id(i), Model: m, Factor: f, Slots: s.slots}
}

func (s *site) list(n int) *fleet.List {
	us := map[ident.UpstreamID]*fleet.Upstream{}
	for i := range n {
		us[s.id(i)] = &fleet.Upstream{ID: s.id(i), Service: "llm", Slots: s.slots}
	}
	return fleet.New(us)
}

// noise returns how many times longer work takes at an upstream because of its neighbours.
func (s *site) noise(i int, now time.Time) float64 {
	p := rand.New(rand.NewPCG(uint64(i), uint64(now.UnixMilli()/600)))
	if p.Float64() < s.noisy {
		return 2.5
	}
	return 1
}

// running returns the number of running requests at an upstream.
func (s *site) running(i int, now time.Time) int {
	p := rand.New(rand.NewPCG(uint64(i)+1<<32, uint64(now.Unix())))
	return min(s.low+p.IntN(s.high-s.low+1), s.slots)
}

// stepTime returns the time of a step, in ms, with n running requests.
func (s *site) stepTime(i, n int) float64 {
	return s.step * (1 + s.growth*float64(n)) * (1 + 0.1*float64(max(n-s.knee(i), 0)))
}

// request has upstream i serve a request of a kind that occurs at the deployment, and r observe it.
func (s *site) request(r *speed.Registry, i int, now time.Time) {
	m, f := reference, 1.0
	if s.rand.Float64() < 0.3 {
		m, f = larger, s.largeFactor
	}
	tokens := []ident.Tokens{11992, 6610, 826, 826, 2368, 2368}[s.rand.IntN(6)]
	s.flush(now)
	n := s.running(i, now)
	noise := s.noise(i, now)
	scale := f * s.slow(i, now) * noise
	queue := s.queued * s.rand.ExpFloat64() * 6000
	took := 20 + 0.5*float64(n) + (float64(tokens)+queue)/s.rate*scale
	took *= math.Exp(s.rand.NormFloat64() * 0.05)
	l := call.Load{Running: n, Slots: s.slots, Pace: 100}
	if s.reports {
		l.Pace = int(100 * noise)
	} else {
		l.Pace = 0
	}
	r.Reported(s.id(i), l, now)
	r.Prompt(s.target(i, m), speed.PromptObservation{Tokens: tokens, Took: ms(took), Ahead: queue, Running: n}, now)
	for k := range 8 {
		at := now.Add(time.Duration(k) * 35 * time.Millisecond)
		n := s.running(i, at)
		w := 9 * s.stepTime(i, n) * f * s.slow(i, at) * s.noise(i, at)
		if s.rand.Float64() < 0.2 {
			w += float64(11992) / s.rate * s.slow(i, at) // another prompt is read between the steps
		}
		l := call.Load{Running: n, Slots: s.slots}
		if s.reports {
			l.Pace = int(100 * s.noise(i, at))
		}
		s.later = append(s.later, later{at, func() {
			r.Reported(s.id(i), l, at)
			r.Step(s.target(i, m), speed.StepObservation{Took: ms(w), Tokens: 9}, at)
		}})
	}
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// run has r observe perSecond requests a second, to random ones of the first n upstreams.
func (s *site) run(r *speed.Registry, from time.Time, d time.Duration, perSecond, n int) time.Time {
	for k := range int(d.Seconds() * float64(perSecond)) {
		s.request(r, s.rand.IntN(n), from.Add(time.Duration(k)*time.Second/time.Duration(perSecond)))
	}
	s.flush(from.Add(d))
	return from.Add(d)
}

// Every third upstream takes 1.8 times as long. Guards against a router that doesn't tell them apart within 5 s of all routers'
// traffic, or not within 20 s of its own.
func TestSlowUpstreams(t *testing.T) {
	tests := map[string]struct {
		perSecond int
		after     time.Duration
		right     float64 // part of the upstreams that must be on the right side of 1.35
	}{
		"all routers": {360, 5 * time.Second, 1},
		"one router":  {20, 20 * time.Second, 0.95},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(1, 53)
			s.slow = func(i int, _ time.Time) float64 {
				if i%3 == 0 {
					return 1.8
				}
				return 1
			}
			r := speed.NewRegistry()
			r.UpdateUpstreams(s.list(s.n))
			now := s.run(r, start, c.after, c.perSecond, s.n)
			right := 0
			for i := range s.n {
				e := r.Estimate(s.target(i, reference), now)
				if (e.Factor > 1.35) == (i%3 == 0) {
					right++
				} else {
					t.Logf("upstream %d: factor %.2f, %.1f observations", i, e.Factor, e.Confidence.Observations)
				}
			}
			if float64(right) < c.right*float64(s.n) {
				t.Errorf("%d of %d upstreams on the right side", right, s.n)
			}
		})
	}
}

// factors returns the lowest and the highest factor of the first n upstreams.
func (s *site) factors(r *speed.Registry, n int, now time.Time) (low, high float64) {
	low = math.Inf(1)
	for i := range n {
		f := r.Estimate(s.target(i, reference), now).Factor
		low, high = min(low, f), max(high, f)
	}
	return low, high
}

// Guards against constants of another deployment that stay in force, and against a larger model that is taken for
// a slow upstream. The rates are those that the upstreams were given; periods of noise make the usual time up to 15 % longer.
// At "far off" a long prompt takes less than a third of the time until the first event, so that only this time is checked.
func TestRates(t *testing.T) {
	tests := map[string]struct {
		rate, step float64
		slots      int
	}{
		"quotes":    {157, 3.55, 48},
		"kiln book": {64.2, 4.23, 64},
		"far off":   {900, 1.2, 256},
		"very slow": {5, 40, 8},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(2, 40)
			s.rate, s.step, s.slots = c.rate, c.step, c.slots
			r := speed.NewRegistry()
			r.UpdateUpstreams(s.list(s.n))
			now := s.run(r, start, 15*time.Second, 200, s.n)
			var small, large, step, first float64
			for i := range s.n {
				e, l := r.Estimate(s.target(i, reference), now), r.Estimate(s.target(i, larger), now)
				small += e.PromptRate / float64(s.n)
				large += l.PromptRate / float64(s.n)
				step += e.Step(5) / float64(s.n)
				first += (e.Idle + 16*e.Running + 11992/e.PromptRate) / float64(s.n)
			}
			check(t, "step", step, s.stepTime(0, 5), 0.25)
			check(t, "time until the first event", first, 20+16*0.5+11992/c.rate, 0.25)
			if name != "far off" {
				check(t, "prompt rate", small, c.rate, 0.25)
				check(t, "prompt rate of the larger model", large, c.rate/3, 0.25)
			}
		})
	}
}

// check fails unless got is within a part of want.
func check(t *testing.T, what string, got, want, part float64) {
	t.Helper()
	if !(math.Abs(math.Log(got/want)) <= math.Log(1+part)) {
		t.Errorf("%s is %.3g, want %.3g", what, got, want)
	}
}

// Upstreams get markedly slower from 16 of 48 running requests on, every second one only from 32. Guards against steps
// that are expected to take as long up to the last slot, and against a knee where there is none.
func TestKnee(t *testing.T) {
	s := newSite(3, 20)
	s.knee = func(i int) int { return []int{16, 32, 48}[i%3] }
	s.low, s.high = 1, 48
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	now := s.run(r, start, 30*time.Second, 140, s.n)
	for i := range s.n {
		// A step takes a tenth longer with each request beyond the knee, so that it is 1.3 times as long after three.
		e := r.Estimate(s.target(i, reference), now)
		if low, high := s.knee(i)-4, s.knee(i)+12; e.Knee < low || e.Knee > min(high, s.slots) {
			t.Errorf("upstream %d: knee %d, want %d to %d", i, e.Knee, low, min(high, s.slots))
		}
	}
}

// An upstream that took 1.8 times as long recovers. Guards against one that is avoided for good, with the traffic of all
// routers and with a trial every 6 s alone.
func TestRecovered(t *testing.T) {
	tests := map[string]struct{ perSecond float64 }{"traffic": {7}, "trials": {1.0 / 6}}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(4, 20)
			recovered := start.Add(20 * time.Second)
			s.slow = func(i int, now time.Time) float64 {
				if i == 0 && now.Before(recovered) {
					return 1.8
				}
				return 1
			}
			r := speed.NewRegistry()
			r.UpdateUpstreams(s.list(s.n))
			now := s.run(r, start, 20*time.Second, 140, s.n)
			if f := r.Estimate(s.target(0, reference), now).Factor; f < 1.35 {
				t.Errorf("factor %.2f before it recovers", f)
			}
			next := now
			for now.Before(recovered.Add(30 * time.Second)) {
				for i := 1; i < s.n; i++ {
					s.request(r, i, now)
				}
				for !next.After(now) {
					s.request(r, 0, next)
					next = next.Add(time.Duration(float64(time.Second) / c.perSecond))
				}
				now = now.Add(150 * time.Millisecond)
			}
			if f := r.Estimate(s.target(0, reference), now).Factor; f > 1.2 {
				t.Errorf("factor %.2f 30 s after it has recovered", f)
			}
		})
	}
}

// No upstream is slow, but each is disturbed for 15 % of the time. Guards against upstreams that are called slow after
// a period of 600 ms, reported or not.
func TestNoise(t *testing.T) {
	for name, reports := range map[string]bool{"reported": true, "not reported": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(5, 53)
			s.reports = reports
			r := speed.NewRegistry()
			r.UpdateUpstreams(s.list(s.n))
			now := s.run(r, start, 10*time.Second, 360, s.n)
			wrong, looks := 0, 0
			for range 20 {
				now = s.run(r, now, time.Second, 360, s.n)
				for i := range s.n {
					looks++
					if f := r.Estimate(s.target(i, reference), now).Factor; f > 1.35 || f < 1/1.35 {
						wrong++
					}
				}
			}
			if wrong > looks/50 {
				t.Errorf("in %d of %d looks an upstream was on the wrong side of 1.35", wrong, looks)
			}
		})
	}
}

// One upstream always reports 180, as it is slow, and none of its work is disturbed. Guards against a report that explains its
// slowness away.
func TestAlwaysReportsSlow(t *testing.T) {
	s := newSite(6, 20)
	s.noisy = 0
	s.slow = func(i int, _ time.Time) float64 {
		if i == 0 {
			return 1.8
		}
		return 1
	}
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	for k := range 20 {
		now := start.Add(time.Duration(k) * time.Second)
		for i := range s.n {
			s.reports = i != 0
			for j := range 6 {
				at := now.Add(time.Duration(j) * 160 * time.Millisecond)
				s.request(r, i, at)
				if i == 0 {
					r.Reported(s.id(0), call.Load{Running: 10, Slots: s.slots, Pace: 180}, at.Add(40*time.Millisecond))
				}
			}
		}
	}
	if f := r.Estimate(s.target(0, reference), start.Add(20*time.Second)).Factor; f < 1.35 {
		t.Errorf("factor %.2f, want 1.8", f)
	}
}

// Requests wait behind long prompts at every other upstream, as the placement knows. Guards against queueing that is learned as
// slowness.
func TestQueueing(t *testing.T) {
	s := newSite(7, 40)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	now := start
	for range 15 * 140 {
		i := s.rand.IntN(s.n)
		s.queued = float64(i % 2)
		s.request(r, i, now)
		now = now.Add(time.Second / 140)
	}
	if low, high := s.factors(r, s.n, now); low < 1/1.35 || high > 1.35 {
		t.Errorf("factors from %.2f to %.2f of upstreams that are equally fast", low, high)
	}
}

// Requests wait 0.5 s without the placement's knowledge; the upstream reports them as waiting. Guards against
// their times in the estimate.
func TestUnknownQueue(t *testing.T) {
	s := newSite(8, 10)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	now := s.run(r, start, 10*time.Second, 70, s.n)
	before := r.Estimate(s.target(0, reference), now)
	for range 100 {
		r.Prompt(s.target(0, reference), speed.PromptObservation{Tokens: 2368, Took: 600 * time.Millisecond, Running: 48, Waiting: 5}, now)
	}
	after := r.Estimate(s.target(0, reference), now)
	check(t, "prompt rate", after.PromptRate, before.PromptRate, 0.01)
}

// An upstream is added to a service that is known. Guards against the prior of another deployment for it, and against a slow one
// that isn't found within 10 s.
func TestNewUpstream(t *testing.T) {
	s := newSite(9, 30)
	s.slow = func(i int, _ time.Time) float64 {
		if i == 29 {
			return 1.8
		}
		return 1
	}
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(29))
	now := s.run(r, start, 15*time.Second, 200, 29)
	r.UpdateUpstreams(s.list(30))
	e := r.Estimate(s.target(29, reference), now)
	check(t, "prompt rate", e.PromptRate, 157, 0.25)
	if e.Confidence.Observations != 0 || e.Confidence.Age >= 0 || e.Factor != 1 {
		t.Errorf("confidence %+v, factor %.2f of an upstream without observations", e.Confidence, e.Factor)
	}
	now = s.run(r, now, 10*time.Second, 200, 30)
	if f := r.Estimate(s.target(29, reference), now).Factor; f < 1.35 {
		t.Errorf("factor %.2f after 10 s, want 1.8", f)
	}
}

// All upstreams take 1.8 times as long from some time on. Guards against upstreams that all count as slow, so that
// no one would be preferred and all trials be wasted, while the service's rate stays as it was.
func TestWholeServiceSlower(t *testing.T) {
	s := newSite(10, 30)
	change := start.Add(15 * time.Second)
	s.slow = func(_ int, now time.Time) float64 {
		if now.Before(change) {
			return 1
		}
		return 1.8
	}
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	now := s.run(r, start, 45*time.Second, 200, s.n)
	if low, high := s.factors(r, s.n, now); low < 1/1.35 || high > 1.35 {
		t.Errorf("factors from %.2f to %.2f", low, high)
	}
	e := r.Estimate(s.target(0, reference), now)
	check(t, "prompt rate", e.PromptRate, 157/1.8, 0.35)
}

// Guards against upstreams without observations that operators don't see.
func TestStale(t *testing.T) {
	s := newSite(11, 4)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	now := s.run(r, start, 10*time.Second, 20, 3)
	if got := r.Stats(now).Stale; got != 1 {
		t.Errorf("%d upstreams without an observation, want 1", got)
	}
	if got := r.Stats(now.Add(10 * time.Second)).Stale; got != 4 {
		t.Errorf("%d upstreams without an observation 10 s later, want 4", got)
	}
}

// Guards against a service whose upstreams state no pace and which is served by estimates of their speed all the same, and
// against one that is for good after its upstreams stated one once.
func TestUneven(t *testing.T) {
	s := newSite(3, 2)
	r := speed.NewRegistry()
	r.UpdateUpstreams(s.list(s.n))
	r.Reported("u0", call.Load{Running: 3, Slots: 48}, start)
	if r.Uneven("llm", start) {
		t.Error("uneven without a pace")
	}
	r.Reported("u1", call.Load{Running: 3, Slots: 48, Pace: 100}, start)
	if !r.Uneven("llm", start.Add(30*time.Second)) || r.Uneven("llm", start.Add(2*time.Minute)) {
		t.Error("not uneven after a pace, or still two minutes later")
	}
}
