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
	// slowFactor is how many times the median of the old version's times makes a time slow: the
	// caches of new upstreams are cold, and upstreams differ in speed.
	slowFactor = 2
	// minFirstResponse is the least multiple of the predicted time that counts as a time until a
	// response: below it connections and scheduling decide, not the version.
	minFirstResponse = 0.05
	// timingWindow is the number of times that are compared. It is small, so that a burst of
	// requests, which slows both versions down, shows in both.
	timingWindow = 100
	// minEvidence is the evidence from which a version is bad. Its inverse bounds the probability
	// that a good one is found bad.
	minEvidence = 500
	// minFailures and minFailureRate are the number of failures and their part of the
	// responses from which a version is bad if there is no reference, such as after a
	// restart.
	minFailures    = 6
	minFailureRate = 0.3
	// lateSpan is how long times are ignored once the process is late, as they say more of it then than of upstreams. In
	// lateRest from then on they aren't ignored again: a process that is late most of the time still has to find a slow
	// version, and its lateness shows in the times of both versions.
	lateSpan = 2 * time.Second
	lateRest = 10 * time.Second
	// stoppedLevel is the lateness from which times are always ignored: most of the process's time is missing.
	stoppedLevel = 250 * time.Millisecond
)

// Response describes one response of an upstream.
type Response struct {
	Service ident.ServiceID
	// New is true for responses of the version that is being rolled out.
	New    bool
	Failed bool
}

// Measure is a kind of time that is compared between versions.
type Measure int

// Both measures hardly depend on the size of a request.
const (
	// FirstResponse is the time until a response started, as a multiple of the time that was
	// predicted for an upstream of usual speed.
	FirstResponse Measure = iota
	// EventInterval is the mean time, in seconds, between the first events of a stream.
	EventInterval

	measureCount
)

// Timing is a time of a response.
type Timing struct {
	Service ident.ServiceID
	// New is true for responses of the version that is being rolled out.
	New     bool
	Measure Measure
	Value   float64
}

// Monitor judges new versions by the responses that this instance saw. It is safe for
// concurrent use.
type Monitor struct {
	lateness late.Func

	mu sync.Mutex
	// lateAt is when times were last begun to be ignored; zero if they never were.
	lateAt   time.Time
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
	// medians are those of the old version's times, by measure. oldTimings and newTimings count
	// the slow ones of both versions, which are those above slowFactor times the median.
	medians                [measureCount]guard.Quantile
	oldTimings, newTimings guard.Counts
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

// CheckLateness looks whether the process is late. It is called a few times a second during roll-outs.
func (w *Monitor) CheckLateness(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late(now)
}

// late reports whether times are ignored at now, as the process has been late. The caller holds the lock.
func (w *Monitor) late(now time.Time) bool {
	l := w.lateness()
	if l >= late.Level && (w.lateAt.IsZero() || now.Sub(w.lateAt) >= lateRest) {
		w.lateAt = now
	}
	return l >= stoppedLevel || (!w.lateAt.IsZero() && now.Sub(w.lateAt) < lateSpan)
}

// ObserveTiming adds a time of a response that was noticed just now, unless the process has been late. order is the
// revision of the service's order; it is 0 without a roll-out.
func (w *Monitor) ObserveTiming(t Timing, order uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late(time.Now()) {
		return
	}
	s := w.stateOf(t.Service)
	if t.Measure == FirstResponse {
		t.Value = max(t.Value, minFirstResponse)
	}
	m := &s.medians[t.Measure]
	median := m.Value()
	slow := t.Value > slowFactor*median
	if !t.New {
		m.Observe(t.Value)
		if median > 0 {
			s.oldTimings = s.oldTimings.Add(slow, timingWindow)
		}
		return
	}
	s.reset(order)
	if median == 0 {
		return
	}
	s.newTimings = s.newTimings.Add(slow, timingWindow)
	if s.verdict == "" && guard.Excess(guard.SignalLatency, s.newTimings, s.oldTimings) >= minEvidence {
		s.verdict = fmt.Sprintf("slow: %.0f of %.0f times against %.0f of %.0f", s.newTimings.Bad, s.newTimings.All, s.oldTimings.Bad, s.oldTimings.All)
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

// Tally returns what this instance counted for the version of an order. Its field Instance is
// empty.
func (w *Monitor) Tally(s ident.ServiceID, order uint64) Tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := Tally{Service: s, Order: order}
	x := w.services[s]
	if x == nil || x.order != order {
		return t
	}
	t.Responses, t.Failed = x.responses, x.failed
	t.Slowness, t.SlownessBefore = slowness(x.newTimings), slowness(x.oldTimings)
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
		x = &serviceState{reference: guard.NewReference()}
		for i := range x.medians {
			x.medians[i] = guard.NewQuantile(0.5)
		}
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
	s.newTimings = guard.Counts{}
	s.shared = newSharedState()
}
