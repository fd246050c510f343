package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/router/budget"
)

// Guards against more retries in any sliding window than the users allow: the ratio times
// the requests of that window or of an earlier one, plus the slack.
func TestSlidingWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		r := budget.Rule{Ratio: 0.9, Window: window, Slack: 5}
		b := budget.New(func() budget.Rule { return r })
		var requests, retries []time.Duration
		now := time.Hour
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.RecordRequest("llm", now)
				requests = append(requests, now)
				continue
			}
			if b.TakeRetry("llm", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			n := count(retries, end-window, end)
			allowed := max(count(requests, end-window, end), count(requests, end-2*window, end-window), count(requests, end-window*3/2, end-window/2))
			if float64(n) > r.Ratio*float64(allowed)+r.Slack {
				t.Fatalf("%d retries in the window that ends at %v, %d requests", n, end, allowed)
			}
		}
	})
}

func count(ts []time.Duration, after, to time.Duration) int {
	n := 0
	for _, t := range ts {
		if t > after && t <= to {
			n++
		}
	}
	return n
}

// Guards against a budget that allows a service's retries by another service's requests.
func TestServicesAreIndependent(t *testing.T) {
	b := budget.New(func() budget.Rule { return budget.Rule{Ratio: 1, Window: time.Second} })
	for range 10 {
		b.RecordRequest("llm", time.Second)
	}
	if b.TakeRetry("desk", time.Second) {
		t.Error("a retry of a service without requests was allowed")
	}
	if !b.TakeRetry("llm", time.Second) {
		t.Error("no retry was allowed after ten requests")
	}
}
