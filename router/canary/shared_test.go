package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
)

// canaryResponse is a response of the new version: whether it failed, and the factor of its time
// against the predicted one.
type canaryResponse func(upstream int, at time.Duration, r *rand.Rand) (failed bool, factor float64)

// usual returns a time like that of the old version: its logarithm has a standard deviation of 0.5.
func usual(r *rand.Rand) float64 { return 0.5 * r.NormFloat64() }

// Incident EXPOSURE: the load of a plain service with four upstreams and a canary of seven requests a
// second. Guards against a bad version that the responses of all instances don't show as a canary, and
// against a good one that is found bad since one of its upstreams crashes or is slow, or since all
// responses are worse for a time.
func TestSharedResponses(t *testing.T) {
	// duration is that of the canary in a roll-out of 16 s.
	const rate, share, duration, upstreams = 94, 0.072, 8800 * time.Millisecond, 4
	tests := map[string]struct {
		respond canaryResponse
		// oldFails is the part of the old version's responses that fail.
		oldFails float64
		// bad is true for versions that must be found bad.
		bad bool
	}{
		"good":        {func(_ int, _ time.Duration, r *rand.Rand) (bool, float64) { return false, usual(r) }, 0, false},
		"half fail":   {func(_ int, _ time.Duration, r *rand.Rand) (bool, float64) { return r.IntN(2) == 0, usual(r) }, 0, true},
		"eight times": {func(_ int, _ time.Duration, r *rand.Rand) (bool, float64) { return false, 2.08 + usual(r) }, 0, true},
		"half are slow": {func(_ int, _ time.Duration, r *rand.Rand) (bool, float64) {
			return false, 2.08*float64(r.IntN(2)) + usual(r)
		}, 0, true},
		"turns bad": {func(_ int, at time.Duration, r *rand.Rand) (bool, float64) {
			return at > 4*time.Second && r.IntN(2) == 0, usual(r)
		}, 0, true},
		"one upstream crashes": {func(u int, at time.Duration, r *rand.Rand) (bool, float64) {
			return u == 0 && at > 2*time.Second && at < 4*time.Second, usual(r)
		}, 0, false},
		"one upstream is slow": {func(u int, _ time.Duration, r *rand.Rand) (bool, float64) {
			if u == 0 {
				return false, 2 + usual(r)
			}
			return false, usual(r)
		}, 0, false},
		"both versions fail": {func(_ int, _ time.Duration, r *rand.Rand) (bool, float64) { return r.IntN(3) == 0, usual(r) }, 1.0 / 3, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := rand.New(rand.NewPCG(seed, 1))
				w := canary.NewMonitor(onTime)
				found := time.Duration(0)
				const step = 150 * time.Millisecond
				for at := time.Duration(0); at < duration && found == 0; at += step {
					var ss []canary.Sample
					for range int(rate * step.Seconds()) {
						s := canary.Sample{Service: "llm", Timed: 1}
						u := r.IntN(upstreams)
						failed := r.Float64() < c.oldFails
						s.LogSlowdown = usual(r)
						if s.New = r.Float64() < share; s.New {
							failed, s.LogSlowdown = c.respond(u, at, r)
						}
						s.Upstream = ident.UpstreamID(fmt.Sprint(s.New, u))
						if failed {
							s.Failures = 1
						} else {
							s.Successes = 1
						}
						ss = append(ss, s)
					}
					w.ObserveSamples(ss, map[ident.ServiceID]canary.Judged{"llm": {Order: 7, Times: true}}, time.Unix(1000, 0).Add(at))
					if w.Verdict("llm", 7) != "" {
						found = at + step
					}
				}
				if (found > 0) != c.bad {
					t.Errorf("seed %d: found bad after %s, want %v: %s", seed, found, c.bad, w.Verdict("llm", 7))
				}
			}
		})
	}
}
