// Package budget limits the retries of each service to a ratio of its requests within a
// sliding window. Instances need no coordination: each one's retries are limited by its
// own requests, so that the ratio also holds for the sum over all instances.
package budget

import (
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// windowSlots is the number of slots into which the window is divided.
	windowSlots = 20
	// keptSlots includes one slot more, since the oldest slot may lie partly within the
	// sliding window: its retries count, its requests don't.
	keptSlots = windowSlots + 1
	// reserve is the part of the ratio that stays unused: the limit applies to requests
	// as counted where they arrive, which differs from this count by those in flight.
	reserve = 0.1
)

// Rule is the limit on the retries of a service.
type Rule struct {
	// Ratio is the number of retries allowed per request within Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of additional retries that each instance is allowed within
	// Window.
	Slack float64
}

// counts are the requests and retries within one slot of the window.
type counts struct {
	slot     int64
	requests int
	retries  int
}

// Budget counts the requests and retries of each service. Times are readings of a
// monotonic clock. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	rule     func() Rule
	window   time.Duration
	services map[ident.ServiceID]*[keptSlots]counts
}

// New returns a budget without requests. It calls rule for the limit at each retry, but
// takes the window only from the first call.
func New(rule func() Rule) *Budget {
	return &Budget{rule: rule, window: rule().Window, services: map[ident.ServiceID]*[keptSlots]counts{}}
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(s ident.ServiceID, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(s, now).requests++
}

// TakeRetry reports whether a retry is allowed and counts it if so.
func (b *Budget) TakeRetry(s ident.ServiceID, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(s, now)
	oldest := b.slot(now) - windowSlots
	requests, retries := 0, 0
	for _, x := range b.services[s] {
		if x.slot >= oldest {
			retries += x.retries
		}
		if x.slot > oldest {
			requests += x.requests
		}
	}
	r := b.rule()
	allowed := r.Ratio*(1-reserve)*float64(requests) + r.Slack
	if float64(retries+1) > allowed {
		return false
	}
	c.retries++
	return true
}

// slot returns the number of the slot that contains a time.
func (b *Budget) slot(now time.Duration) int64 {
	return now.Nanoseconds() / (b.window.Nanoseconds() / windowSlots)
}

// at returns the counts of the current slot of a service.
func (b *Budget) at(s ident.ServiceID, now time.Duration) *counts {
	w := b.services[s]
	if w == nil {
		w = &[keptSlots]counts{}
		b.services[s] = w
	}
	n := b.slot(now)
	c := &w[n%keptSlots]
	if c.slot != n {
		*c = counts{slot: n}
	}
	return c
}
