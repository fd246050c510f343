// Package budget limits the repeats that a service gets to a share of its
// requests within a sliding window, without coordination: each instance spends
// only what its own requests allow, so the sum over all instances holds too.
package budget

import (
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// slots is the resolution of the window.
	slots = 20
	// kept is one more: the oldest slot may lie partly within a sliding window, so
	// its repeats count and its requests don't.
	kept = slots + 1
	// reserve is the part of the ratio that is left unspent: requests are counted
	// where they arrive, which differs from our count by those in flight.
	reserve = 0.1
)

// Rule is the bound over all instances.
type Rule struct {
	// Ratio is the number of repeats allowed per request within Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of repeats allowed beside, for one instance.
	Slack float64
}

type counts struct {
	slot     int64
	requests int
	repeats  int
}

// Budget counts requests and repeats by service. Times are readings of a clock
// that doesn't jump. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	rule     func() Rule
	window   time.Duration
	services map[ident.ServiceID]*[kept]counts
}

// New returns a budget without history. rule returns the bound in force; its
// window is fixed at the first use.
func New(rule func() Rule) *Budget {
	return &Budget{rule: rule, window: rule().Window, services: map[ident.ServiceID]*[kept]counts{}}
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(s ident.ServiceID, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(s, now).requests++
}

// TakeRetry spends a repeat. It reports false if none is left, and counts nothing then.
func (b *Budget) TakeRetry(s ident.ServiceID, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(s, now)
	oldest := b.slot(now) - slots
	requests, repeats := 0, 0
	for _, x := range b.services[s] {
		if x.slot >= oldest {
			repeats += x.repeats
		}
		if x.slot > oldest {
			requests += x.requests
		}
	}
	r := b.rule()
	allowed := r.Ratio*(1-reserve)*float64(requests) + r.Slack
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats++
	return true
}

func (b *Budget) slot(now time.Duration) int64 {
	return now.Nanoseconds() / (b.window.Nanoseconds() / slots)
}

func (b *Budget) at(s ident.ServiceID, now time.Duration) *counts {
	w := b.services[s]
	if w == nil {
		w = &[kept]counts{}
		b.services[s] = w
	}
	n := b.slot(now)
	c := &w[n%kept]
	if c.slot != n {
		*c = counts{slot: n}
	}
	return c
}
