package canary

import (
	"fmt"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/guard"
)

const (
	// falseAlarm is the probability of reverting a good version.
	falseAlarm = 0.005
	// lateAlarm is the inverse of the least number of answers, on average, until a
	// good version is taken to have turned bad. A version's good answers must not
	// hide that it fails from some moment on.
	lateAlarm = 0.0005
	// slowFactor is how many times slower than the old version's usual answers a
	// new one may be: its caches are cold and its upstreams differ in speed.
	slowFactor = 2
	// plainBad reverts without a reference, as after a restart: that many bad
	// answers, and at least plainRate of all.
	plainBad  = 6
	plainRate = 0.3
)

// Answer is what is known of one answer.
type Answer struct {
	Service ident.ServiceID
	// New is true for answers of the version that is being brought in.
	New    bool
	Failed bool
	// Latency is comparable among the answers that state one; 0 means that this one isn't.
	Latency time.Duration
}

// Monitor judges new versions by the answers that this instance saw. It is safe
// for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*watched
}

type watched struct {
	reference *guard.Reference
	order     uint64
	guard     *guard.Guard
	late      *guard.Guard
	answers   int
	bad       int
	verdict   string
}

// NewMonitor returns a watch without observations.
func NewMonitor() *Monitor {
	return &Monitor{services: map[ident.ServiceID]*watched{}}
}

// Observe adds an answer. order is the order that the answer's version belongs
// to; it is 0 without a roll-out.
func (w *Monitor) Observe(a Answer, order uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.at(a.Service)
	o := guard.Observation{Failed: a.Failed, Latency: a.Latency}
	if !a.New {
		s.reference.Observe(o)
		return
	}
	s.begin(order)
	s.answers++
	if a.Failed {
		s.bad++
	}
	o.Latency /= slowFactor
	for _, g := range []*guard.Guard{s.guard, s.late} {
		if b, ok := g.Observe(s.reference, o).(guard.Degraded); ok && s.verdict == "" {
			s.verdict = fmt.Sprintf("%s: rate %.2f against %.2f", b.Signal, b.Rate, b.Reference)
		}
	}
	if s.verdict == "" && s.bad >= plainBad && float64(s.bad) >= plainRate*float64(s.answers) {
		s.verdict = fmt.Sprintf("%d of %d answers bad", s.bad, s.answers)
	}
}

// Verdict returns the finding about the version of an order; it is empty if none speaks against it.
func (w *Monitor) Verdict(s ident.ServiceID, order uint64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.services[s]
	if x == nil || x.order != order {
		return ""
	}
	return x.verdict
}

// Tally returns what this instance saw of the version of an order.
func (w *Monitor) Tally(s ident.ServiceID, order uint64) (answers, bad int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.services[s]
	if x == nil || x.order != order {
		return 0, 0
	}
	return x.answers, x.bad
}

func (w *Monitor) at(s ident.ServiceID) *watched {
	x := w.services[s]
	if x == nil {
		x = &watched{reference: guard.NewReference()}
		w.services[s] = x
	}
	return x
}

// begin starts to judge another order.
func (s *watched) begin(order uint64) {
	if s.guard != nil && s.order == order {
		return
	}
	s.order = order
	s.guard = guard.New(falseAlarm)
	s.late = guard.NewDetector(lateAlarm)
	s.answers, s.bad, s.verdict = 0, 0, ""
}
