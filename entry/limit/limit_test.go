package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/limit"
)

// Guards against several entries together admitting much more, or much less, than the
// account's limit when the demand is divided unevenly among them.
func TestLimitHoldsOverSeveralEntries(t *testing.T) {
	tests := map[string][]float64{
		"even":       {1, 1, 1},
		"uneven":     {8, 1, 1},
		"one-sided":  {1, 0, 0},
		"sole-entry": {1},
	}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			const seed, seconds, rate, demand = 3, 60, 100.0, 400.0
			t.Logf("seed %d", seed)
			got := simulate(seed, parts, seconds, rate, demand)
			// Entries without demand keep 10 percent of the limit; the burst adds two
			// seconds.
			low, high := 0.8*rate*seconds, 1.1*rate*(seconds+4)
			if got < low || got > high {
				t.Errorf("admitted %.0f requests in %d s, want %.0f to %.0f", got, seconds, low, high)
			}
		})
	}
}

func simulate(seed uint64, parts []float64, seconds int, rate, demand float64) float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0.0
	for _, p := range parts {
		total += p
	}
	ls := make([]*limit.Limiter, len(parts))
	for i := range ls {
		ls[i] = limit.New()
	}
	now := time.Unix(0, 0)
	admitted := 0.0
	for ms := range seconds * 1000 {
		now = now.Add(time.Millisecond)
		for i, p := range parts {
			if r.Float64() < demand*p/total/1000 {
				if _, ok := ls[i].Allow("a", limit.Limits{Requests: rate}, 0, now); ok {
					admitted++
				}
			}
		}
		if ms%1000 == 0 {
			exchange(ls, now)
		}
	}
	return admitted
}

func exchange(ls []*limit.Limiter, now time.Time) {
	for i, x := range ls {
		for j, y := range ls {
			if i != j {
				y.ObservePeer(ident.InstanceID(rune('a'+i)), x.Demand(now), now)
			}
		}
	}
}

// Guards against a refusal whose retry time is too early for the request to be
// admitted.
func TestRefusalStatesRetryTime(t *testing.T) {
	l := limit.New()
	now := time.Unix(0, 0)
	c := limit.Limits{Requests: 2}
	for range 4 {
		if _, ok := l.Allow("a", c, 0, now); !ok {
			t.Fatal("refused within the burst")
		}
	}
	d, ok := l.Allow("a", c, 0, now)
	if ok || d <= 0 {
		t.Fatalf("admitted beyond the burst, or no retry time: %v", d)
	}
	if _, ok := l.Allow("a", c, 0, now.Add(d)); !ok {
		t.Errorf("refused again after the stated %v", d)
	}
}
