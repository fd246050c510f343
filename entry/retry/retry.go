// Package retry limits retries by a budget, estimates when to send a hedge, and ejects
// upstreams that fail repeatedly.
package retry

import (
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// budgetFraction is the number of retries that each request adds to the budget.
	budgetFraction = 0.1
	// budgetCap bounds the unused retries, so that a long time without failures doesn't
	// allow a retry storm later.
	budgetCap = 20.0
	// budgetStart is the number of retries that a new process may make at once.
	budgetStart = 3.0
)

// Budget limits retries and hedges to a fraction of the requests. It is an immutable
// value: its methods return the changed budget.
type Budget struct {
	// tokens is the number of retries available.
	tokens float64
}

// NewBudget returns a budget with budgetStart retries available.
func NewBudget() Budget {
	return Budget{tokens: budgetStart}
}

// Deposit adds the share of one request, for its first attempt, and returns the new
// budget.
func (b Budget) Deposit() Budget {
	b.tokens = min(b.tokens+budgetFraction, budgetCap)
	return b
}

// Take takes one retry from the budget. It returns false and the unchanged budget when
// less than one is left.
func (b Budget) Take() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

const (
	// ejectAfter is the number of consecutive failures that ejects an upstream.
	ejectAfter = 5
	// ejectMin is the first ejection time. It doubles with each further ejection, up to
	// ejectMax.
	ejectMin = 2 * time.Second
	ejectMax = time.Minute
	// maxEjectedFraction bounds the fraction of upstreams that are ejected: a fault
	// that hits all of them isn't relieved by sending all traffic to the rest.
	maxEjectedFraction = 1.0 / 3
)

// health is the state of one upstream: its consecutive failures, its level of
// ejection, and the end of its latest ejection.
type health struct {
	failures int
	ejected  int
	until    time.Time
}

// OutlierDetector ejects upstreams that fail several times in a row. It is not safe
// for concurrent use.
type OutlierDetector struct {
	upstreams map[ident.UpstreamID]health
}

// NewOutlierDetector returns a detector without observations.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{upstreams: map[ident.UpstreamID]health{}}
}

// Success records a successful attempt: it ends the series of failures and lowers the
// next ejection time by one step.
func (o *OutlierDetector) Success(u ident.UpstreamID) {
	h, ok := o.upstreams[u]
	if !ok {
		return
	}
	h.failures = 0
	h.ejected = max(0, h.ejected-1)
	o.upstreams[u] = h
}

// Failure records a failed attempt. It ejects the upstream after ejectAfter
// consecutive failures, unless more than maxEjectedFraction of the total upstreams
// would then be ejected.
func (o *OutlierDetector) Failure(u ident.UpstreamID, total int, now time.Time) {
	h := o.upstreams[u]
	h.failures++
	if h.failures >= ejectAfter && !now.Before(h.until) && o.mayEject(total, now) {
		d := min(ejectMin<<min(h.ejected, 5), ejectMax)
		h.until = now.Add(d)
		h.ejected++
		h.failures = 0
	}
	o.upstreams[u] = h
}

// Ejected reports whether an upstream is ejected at the time now.
func (o *OutlierDetector) Ejected(u ident.UpstreamID, now time.Time) bool {
	return now.Before(o.upstreams[u].until)
}

// Retain deletes the state of the upstreams for which keep returns false.
func (o *OutlierDetector) Retain(keep func(ident.UpstreamID) bool) {
	for u := range o.upstreams {
		if !keep(u) {
			delete(o.upstreams, u)
		}
	}
}

func (o *OutlierDetector) mayEject(total int, now time.Time) bool {
	n := 0
	for _, h := range o.upstreams {
		if now.Before(h.until) {
			n++
		}
	}
	return float64(n+1) <= float64(total)*maxEjectedFraction
}

const (
	// hedgeQuantile is the quantile of past latencies after which a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeStep is the largest relative change of the estimate by one observation.
	hedgeStep = 0.02
	// hedgeStart is the delay before any latency was observed.
	hedgeStart = 100 * time.Millisecond
	// hedgeMin is the least delay.
	hedgeMin = 2 * time.Millisecond
)

// HedgeDelay estimates the latency quantile after which a hedge is sent, in constant
// memory: a slower call raises the estimate in proportion to hedgeQuantile, a faster
// one lowers it in proportion to 1-hedgeQuantile, so that it settles at that quantile.
type HedgeDelay struct {
	estimate time.Duration
}

// Observe records the latency of a call and returns the new estimate.
func (h HedgeDelay) Observe(l time.Duration) HedgeDelay {
	e := float64(h.Delay())
	if l > h.Delay() {
		e += e * hedgeStep * hedgeQuantile
	} else {
		e -= e * hedgeStep * (1 - hedgeQuantile)
	}
	h.estimate = max(time.Duration(e), hedgeMin)
	return h
}

// Delay returns the time to wait for an answer before a hedge is sent.
func (h HedgeDelay) Delay() time.Duration {
	if h.estimate == 0 {
		return hedgeStart
	}
	return h.estimate
}
