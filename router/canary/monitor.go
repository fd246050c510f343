package canary

import (
	"fmt"
	"math"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
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
	// minEvidence is the evidence from which a version is bad. Its inverse bounds the probability
	// that a good one is found bad.
	minEvidence = 500
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
}

// Monitor judges new versions by the responses that this instance saw. It is safe for
// concurrent use.
type Monitor struct {
	lateness late.Func

	mu sync.Mutex
	// lateAt is when times were last begun to be ignored, seenLate when the process was last late; zero if it never was.
	lateAt, seenLate time.Time
	services         map[ident.ServiceID]*serviceState
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
	// onTime are the times that were measured on time, whileLate those while the process was late, without a gap of lateGap
	// in those of the old version. oldLateAt is when the latest of these was added.
	onTime, whileLate *timings
	oldLateAt         time.Time
	// shared is what all instances together observed.
	shared *sharedState
}

// NewMonitor returns a monitor without observations in a process that is d late.
func NewMonitor(d late.Func) *Monitor {
	return &Monitor{lateness: d, services: map[ident.ServiceID]*serviceState{}}
}

// Observe adds a response. order is the revision of the service's order; it is 0 without
// a roll-out.
func (w *Monitor) Observe(a Response, order uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stateOf(a.Service)
	o := guard.Observation{Failed: a.Failed}
	if !a.New {
		s.reference.Observe(o)
		return
	}
	s.reset(order)
	s.responses++
	if a.Failed {
		s.failed++
	}
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

// Tally returns what this instance counted for the version of an order, without the times that it measured late. Its field
// Instance is empty.
func (w *Monitor) Tally(s ident.ServiceID, order uint64) Tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := Tally{Service: s, Order: order}
	x := w.services[s]
	if x == nil || x.order != order {
		return t
	}
	t.Responses, t.Failed = x.responses, x.failed
	t.Slowness, t.SlownessBefore = slowness(x.onTime.after), slowness(x.onTime.before)
	return t
}

// OldErrors returns the weighted numbers of responses and failures that this instance saw of versions
// that are not being rolled out.
func (w *Monitor) OldErrors(s ident.ServiceID) guard.Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.services[s]; x != nil {
		return x.reference.Errors()
	}
	return guard.Counts{}
}

// slowness rounds weighted counts.
func slowness(c guard.Counts) Slowness {
	return Slowness{Slow: int(math.Round(c.Bad)), Timed: int(math.Round(c.All))}
}

// counts is the reverse of slowness.
func (s Slowness) counts() guard.Counts {
	return guard.Counts{Bad: float64(s.Slow), All: float64(s.Timed)}
}

// stateOf returns the observations of a service; it creates them if there are none.
func (w *Monitor) stateOf(s ident.ServiceID) *serviceState {
	x := w.services[s]
	if x == nil {
		x = &serviceState{reference: guard.NewReference(), onTime: newTimings(), whileLate: newTimings()}
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
	s.onTime.after, s.whileLate.after = guard.Counts{}, guard.Counts{}
	s.shared = newSharedState()
}
