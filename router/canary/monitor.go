package canary

import (
	"fmt"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/guard"
)

const (
	// falseAlarmProbability bounds the probability that an instance finds a good version
	// bad during a roll-out.
	falseAlarmProbability = 0.005
	// lateFalseAlarmRate is the inverse of the least mean number of responses until a
	// good version is falsely found to have turned bad. A version's good responses must
	// not hide that it fails from some time on.
	lateFalseAlarmRate = 0.0005
	// slowFactor is how many times longer than the old version's usual responses a new
	// one's may take: its caches are cold and its upstreams differ in speed.
	slowFactor = 2
	// minFailures and minFailureRate are the number of failures and their part of the
	// responses from which a version is bad if there is no reference, such as after a
	// restart.
	minFailures    = 6
	minFailureRate = 0.3
)

// Response describes one response of an upstream.
type Response struct {
	Service ident.ServiceID
	// New is true for responses of the version that is being rolled out.
	New    bool
	Failed bool
	// Latency is the response time if it can be compared with others, else 0.
	Latency time.Duration
}

// Monitor judges new versions by the responses that this instance saw. It is safe for
// concurrent use.
type Monitor struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*serviceState
}

// serviceState holds the observations of one service.
type serviceState struct {
	// reference holds the responses of the old version.
	reference *guard.Reference
	// order is the revision of the order whose version is judged.
	order uint64
	// guard judges all responses of the new version; detector finds a version that turns
	// bad later.
	guard     *guard.Guard
	detector  *guard.Guard
	responses int
	failed    int
	verdict   string
}

// NewMonitor returns a monitor without observations.
func NewMonitor() *Monitor {
	return &Monitor{services: map[ident.ServiceID]*serviceState{}}
}

// Observe adds a response. order is the revision of the service's order; it is 0 without
// a roll-out.
func (w *Monitor) Observe(a Response, order uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stateOf(a.Service)
	o := guard.Observation{Failed: a.Failed, Latency: a.Latency}
	if !a.New {
		s.reference.Observe(o)
		return
	}
	s.reset(order)
	s.responses++
	if a.Failed {
		s.failed++
	}
	o.Latency /= slowFactor
	for _, g := range []*guard.Guard{s.guard, s.detector} {
		if b, ok := g.Observe(s.reference, o).(guard.Degraded); ok && s.verdict == "" {
			s.verdict = fmt.Sprintf("%s: rate %.2f against %.2f", b.Signal, b.Rate, b.Reference)
		}
	}
	if s.verdict == "" && s.failed >= minFailures && float64(s.failed) >= minFailureRate*float64(s.responses) {
		s.verdict = fmt.Sprintf("%d of %d responses failed", s.failed, s.responses)
	}
}

// Verdict returns why this instance found the version of an order bad; it is empty if it
// didn't.
func (w *Monitor) Verdict(s ident.ServiceID, order uint64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.services[s]
	if x == nil || x.order != order {
		return ""
	}
	return x.verdict
}

// Tally returns the numbers of responses and of failures of the version of an order at
// this instance.
func (w *Monitor) Tally(s ident.ServiceID, order uint64) (responses, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.services[s]
	if x == nil || x.order != order {
		return 0, 0
	}
	return x.responses, x.failed
}

// stateOf returns the observations of a service; it creates them if there are none.
func (w *Monitor) stateOf(s ident.ServiceID) *serviceState {
	x := w.services[s]
	if x == nil {
		x = &serviceState{reference: guard.NewReference()}
		w.services[s] = x
	}
	return x
}

// reset starts to judge the version of an order, unless that is done already.
func (s *serviceState) reset(order uint64) {
	if s.guard != nil && s.order == order {
		return
	}
	s.order = order
	s.guard = guard.New(falseAlarmProbability)
	s.detector = guard.NewDetector(lateFalseAlarmRate)
	s.responses, s.failed, s.verdict = 0, 0, ""
}
