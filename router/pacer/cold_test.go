package pacer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/pacer"
)

// The users' rule for a cold upstream: in any second at most this factor times its rate, and the tolerance.
const (
	coldFactor    = 1.5
	coldTolerance = 5
)

// checkSeconds fails the test if any second holds more requests than a cold upstream with the rate tolerates.
func checkSeconds(t interface {
	Helper()
	Fatalf(format string, args ...any)
}, sent []time.Time, rate float64,
) {
	t.Helper()
	slices.SortFunc(sent, time.Time.Compare)
	for k, s := range sent {
		end, _ := slices.BinarySearchFunc(sent, s.Add(time.Second), time.Time.Compare)
		if allowed := coldFactor*rate + coldTolerance; float64(end-k) > allowed {
			t.Fatalf("%d requests in a second, allowed %.1f", end-k, allowed)
		}
	}
}

// Guards against instances that together send a cold upstream more than it tolerates although their clocks differ, several
// have one rank, and some overestimate their number, whenever requests come.
func TestColdRateOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 2, 5, 20, 60}).Draw(t, "rate")
		most := int(coldFactor*rate + coldTolerance)
		n := rapid.IntRange(1, most).Draw(t, "instances")
		skew := rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "skew")
		is := make([]*instance, n)
		for r := range is {
			bound := n + rapid.SampledFrom([]int{0, 0, 0, 1, n}).Draw(t, "overestimate")
			s, ok := pacer.NewCold(call.Rate(rate), pacer.Share{Rank: rapid.IntRange(0, n).Draw(t, "rank"), Bound: bound}, "u1")
			if !ok {
				t.Fatalf("no slots with a bound of %d", bound)
			}
			is[r] = &instance{slots: s, skew: time.Duration(rapid.Int64Range(0, skew).Draw(t, "clock"))}
		}
		var sent []time.Time
		start := time.Unix(1_800_000_000, 0)
		const tick, span = 10 * time.Millisecond, 8 * time.Second
		// Unused slots add up while there are no requests.
		pause := time.Duration(rapid.IntRange(0, 3_000).Draw(t, "pause ms")) * time.Millisecond
		for at := time.Duration(0); at < span; at += tick {
			if at > span/2 && at < span/2+pause {
				continue
			}
			for _, i := range is {
				for i.send(start.Add(at)) {
					sent = append(sent, start.Add(at))
				}
			}
		}
		checkSeconds(t, sent, rate)
	})
}

// Guards against instances that are more than the tolerance allows one request a second each and together exceed it, with
// clocks that are set by one source, and against a cold upstream that gets nothing.
func TestColdRateOfMany(t *testing.T) {
	tests := map[string]struct {
		n    int
		rate float64
		// want is the least part of the rate that is used under full load.
		want float64
	}{
		"one":                           {1, 20, 0.95},
		"eight":                         {8, 20, 0.95},
		"quotes":                        {29, 20, 0.95},
		"eighteen, less than one each":  {18, 20, 0.65},
		"more than the bound":           {40, 20, 0.45},
		"many":                          {400, 20, 0.45},
		"more than the bound, low rate": {8, 1, 0.45},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			const span = 60 * time.Second
			start := time.Unix(1_800_000_000, 0)
			var is []*instance
			for r := range c.n {
				s, _ := pacer.NewCold(call.Rate(c.rate), pacer.Share{Rank: r, Bound: c.n}, "u1")
				is = append(is, &instance{slots: s, skew: time.Duration(r%7) * 10 * time.Millisecond})
			}
			var sent []time.Time
			for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
				for _, i := range is {
					for i.send(start.Add(at)) {
						sent = append(sent, start.Add(at))
					}
				}
			}
			checkSeconds(t, sent, c.rate)
			if got := float64(len(sent)) / span.Seconds(); got < c.want*c.rate-1 {
				t.Errorf("%.2f requests a second, want at least %.2f of %.0f", got, c.want, c.rate)
			}
		})
	}
}

// Guards against an instance whose share of a cold upstream grows each time that the number of instances changes, and
// against one that has slots before the number is known.
func TestColdShareChanges(t *testing.T) {
	if _, ok := pacer.NewCold(20, pacer.Share{Rank: 3, Size: 10}, "u1"); ok {
		t.Error("slots although the number of instances isn't known")
	}
	start := time.Unix(1_800_000_000, 0)
	i := &instance{}
	var sent []time.Time
	for k := range 2_000 {
		now := start.Add(time.Duration(k) * 10 * time.Millisecond)
		i.slots, _ = pacer.NewCold(20, pacer.Share{Rank: k * 7, Bound: 29 + k%7}, ident.UpstreamID(fmt.Sprint("u", k/100)))
		for i.send(now) {
			sent = append(sent, now)
		}
	}
	for k := range sent[1:] {
		if d := sent[k+1].Sub(sent[k]); d <= time.Second {
			t.Fatalf("two requests within %s, one a second is allowed", d)
		}
	}
}

// The clocks and ranks are such that all instances have their slots at one time, and requests come after a pause of any
// length. Guards against a bound that only holds as long as slots are spread.
func TestColdSlotsFallTogether(t *testing.T) {
	const rate, most, span = 20.0, 35, 4 * time.Second
	start := time.Unix(1_800_000_000, 0)
	for n := 1; n <= most; n++ {
		s, _ := pacer.NewCold(rate, pacer.Share{Rank: 0, Bound: n}, "u1")
		for end := time.Second; end < 3*time.Second; end += 90 * time.Millisecond {
			i := &instance{slots: s}
			var sent []time.Time
			for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
				if at > time.Second/2 && at < end {
					continue
				}
				for i.send(start.Add(at)) {
					for range n {
						sent = append(sent, start.Add(at))
					}
				}
			}
			checkSeconds(t, sent, rate)
		}
	}
}
