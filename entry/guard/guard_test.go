package guard_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/guard"
)

// rates are a version's true rates of failed, badly rated and slow answers.
type rates struct {
	errors float64
	bad    float64
	slow   float64
}

func (s rates) draw(r *rand.Rand) []guard.Observation {
	l := time.Duration(500+r.IntN(1000)) * time.Millisecond
	if r.Float64() < s.slow {
		l *= 3
	}
	good := r.Float64() >= s.bad
	out := []guard.Observation{{Failed: r.Float64() < s.errors, Latency: l}}
	if r.Float64() < 0.3 {
		out = append(out, guard.Observation{Rating: &good})
	}
	return out
}

func reference(r *rand.Rand, s rates, n int) *guard.Reference {
	f := guard.NewReference()
	for range n {
		for _, o := range s.draw(r) {
			f.Observe(o)
		}
	}
	return f
}

// answersUntilDegraded returns the number of answers until the verdict is Degraded, or
// n+1 if it never is.
func answersUntilDegraded(r *rand.Rand, g *guard.Guard, f *guard.Reference, s rates, n int) int {
	for i := range n {
		for _, o := range s.draw(r) {
			if _, ok := g.Observe(f, o).(guard.Degraded); ok {
				return i + 1
			}
		}
	}
	return n + 1
}

// Guards against halting good versions more often than the stated false-alarm rate.
func TestGuardKeepsFalseAlarmRate(t *testing.T) {
	const seed, runs, alpha = 7, 400, 0.05
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 1))
	healthy := rates{errors: 0.01, bad: 0.12, slow: 0.05}
	alarms := 0
	for range runs {
		f := reference(r, healthy, 300)
		if answersUntilDegraded(r, guard.New(alpha), f, healthy, 2000) <= 2000 {
			alarms++
		}
	}
	if alarms > alpha*runs {
		t.Errorf("%d false alarms in %d runs, want at most %v", alarms, runs, alpha*runs)
	}
}

// Guards against missing a version that is degraded in one signal only.
func TestGuardDetectsDegradedVersions(t *testing.T) {
	tests := map[string]rates{
		"errors":  {errors: 0.2, bad: 0.1, slow: 0.05},
		"ratings": {errors: 0.01, bad: 0.6, slow: 0.05},
		"latency": {errors: 0.01, bad: 0.1, slow: 0.6},
	}
	for name, bad := range tests {
		t.Run(name, func(t *testing.T) {
			const seed = 11
			t.Logf("seed %d", seed)
			r := rand.New(rand.NewPCG(seed, 2))
			f := reference(r, rates{errors: 0.01, bad: 0.1, slow: 0.05}, 500)
			n := answersUntilDegraded(r, guard.New(0.01), f, bad, 400)
			if n > 400 {
				t.Fatal("not halted within 400 answers")
			}
			t.Logf("halted after %d answers", n)
		})
	}
}

// Guards against a fully deployed version that degrades and is not halted, because its
// own good past hides the change.
func TestMonitorHaltsVersionThatDegrades(t *testing.T) {
	const seed = 13
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 3))
	v := ident.VersionRef{Model: "plan", Version: "v1"}
	w := guard.NewMonitor(0.0001)
	feed := func(s rates, n int) bool {
		for range n {
			for _, o := range s.draw(r) {
				if _, ok := w.Observe(v, guard.Rollout{}, o).(guard.Degraded); ok {
					return true
				}
			}
		}
		return false
	}
	if feed(rates{errors: 0.01, bad: 0.1, slow: 0.05}, 3000) {
		t.Fatal("healthy version halted")
	}
	if !feed(rates{errors: 0.3, bad: 0.1, slow: 0.05}, 300) {
		t.Fatal("degraded version not halted within 300 answers")
	}
}

// Guards against a rarely used version that fails most of its requests and is not
// halted, because its own past has too few answers.
func TestMonitorHaltsRareVersionByPooledFailures(t *testing.T) {
	const seed = 23
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 4))
	w := guard.NewMonitor(0.0001)
	healthy := rates{errors: 0.01, bad: 0.1, slow: 0.05}
	for range 300 {
		for _, o := range healthy.draw(r) {
			if _, ok := w.Observe(ident.VersionRef{Model: "m", Version: "much-used"}, guard.Rollout{}, o).(guard.Degraded); ok {
				t.Fatal("healthy version halted")
			}
		}
	}
	rare := ident.VersionRef{Model: "m", Version: "rare"}
	for i := range 60 {
		for _, o := range (rates{errors: 0.6, bad: 0.1}).draw(r) {
			if _, ok := w.Observe(rare, guard.Rollout{}, o).(guard.Degraded); ok {
				t.Logf("halted after %d answers", i+1)
				return
			}
		}
	}
	t.Error("not halted within 60 answers")
}

// Guards against halting the version that takes over the load of a halted one, because
// its answers get slower under that load.
func TestMonitorDoesNotHaltForLoad(t *testing.T) {
	const seed = 29
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 5))
	w := guard.NewMonitor(0.0001)
	v := ident.VersionRef{Model: "m", Version: "fallback"}
	for i := range 1500 {
		s := rates{errors: 0.01, bad: 0.1, slow: 0.05}
		if i > 800 {
			s.slow = 0.95
		}
		for _, o := range s.draw(r) {
			if b, ok := w.Observe(v, guard.Rollout{}, o).(guard.Degraded); ok {
				t.Fatalf("halted at answer %d: %+v", i, b)
			}
		}
	}
}
