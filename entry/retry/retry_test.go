package retry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/retry"
)

// Guards against a retry storm: in any order of requests and failures, retries stay
// within a tenth of the requests plus the initial budget.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget()
		requests, retries := 0, 0
		for _, fail := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "failures") {
			b = b.Deposit()
			requests++
			if !fail {
				continue
			}
			n, ok := b.Take()
			b = n
			if ok {
				retries++
			}
		}
		if float64(retries) > 3+0.1*float64(requests) {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// Guards against ejecting more than a third of the upstreams when a fault hits all of
// them.
func TestOutlierDetectorKeepsTwoThirds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "fleet")
		o := retry.NewOutlierDetector()
		now := time.Unix(0, 0)
		for range rapid.IntRange(0, 400).Draw(t, "events") {
			u := ident.UpstreamID(fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "upstream")))
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Float64Range(0, 1).Draw(t, "outcome") < 0.9 {
				o.Failure(u, n, now)
			} else {
				o.Success(u)
			}
			ejected := 0
			for i := range n {
				if o.Ejected(ident.UpstreamID(fmt.Sprint(i)), now) {
					ejected++
				}
			}
			if ejected > n/3 {
				t.Fatalf("%d of %d upstreams ejected", ejected, n)
			}
		}
	})
}

// Guards against a hedge delay that doesn't converge to the 95th percentile of the
// latencies.
func TestHedgeDelayFollowsQuantile(t *testing.T) {
	h := retry.HedgeDelay{}
	for i := range 20_000 {
		h = h.Observe(time.Duration(1+i*7919%100) * time.Millisecond)
	}
	if d := h.Delay(); d < 85*time.Millisecond || d > 105*time.Millisecond {
		t.Errorf("delay %v for latencies spread evenly up to 100 ms, want about 95 ms", d)
	}
}
