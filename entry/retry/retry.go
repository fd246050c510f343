// Package retry holds the retry budget, hedge delays and outlier ejection.
package retry

import (
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// budgetShare is the part of requests that may be repeated.
	budgetShare = 0.1
	// budgetCap bounds how many unused retries accumulate, so that a quiet hour doesn't pay for a storm.
	budgetCap = 20.0
	// budgetStart lets a fresh process make a few retries.
	budgetStart = 3.0
)

// Budget limits retries and hedges to a share of the requests. The owner serializes its use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget with a few retries available.
func NewBudget() Budget {
	return Budget{tokens: budgetStart}
}

// Deposit records a first attempt and returns the new budget.
func (b Budget) Deposit() Budget {
	b.tokens = min(b.tokens+budgetShare, budgetCap)
	return b
}

// Take spends one retry; it reports false, with the budget unchanged, when none is left.
func (b Budget) Take() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

const (
	// ejectAfter is the number of failures in a row that ejects an upstream.
	ejectAfter = 5
	// ejectBase is the first ejection time; it doubles up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = time.Minute
	// maxEjectedPart bounds the ejected part of a fleet: a fault that hits
	// everyone is not cured by sending all traffic to the rest.
	maxEjectedPart = 1.0 / 3
)

type health struct {
	failures int
	ejected  int
	until    time.Time
}

// OutlierDetector tracks failures per upstream. The owner serializes its use.
type OutlierDetector struct {
	upstreams map[ident.UpstreamID]health
}

// NewOutlierDetector returns an empty tracker.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{upstreams: map[ident.UpstreamID]health{}}
}

// Success records an attempt that ended well.
func (o *OutlierDetector) Success(u ident.UpstreamID) {
	h, ok := o.upstreams[u]
	if !ok {
		return
	}
	h.failures = 0
	h.ejected = max(0, h.ejected-1)
	o.upstreams[u] = h
}

// Failure records a failed attempt and ejects the upstream after several in a
// row, unless a third of the fleet is ejected already.
func (o *OutlierDetector) Failure(u ident.UpstreamID, fleet int, now time.Time) {
	h := o.upstreams[u]
	h.failures++
	if h.failures >= ejectAfter && !now.Before(h.until) && o.mayEject(fleet, now) {
		d := min(ejectBase<<min(h.ejected, 5), ejectMax)
		h.until = now.Add(d)
		h.ejected++
		h.failures = 0
	}
	o.upstreams[u] = h
}

// Ejected reports whether an upstream is ejected at now.
func (o *OutlierDetector) Ejected(u ident.UpstreamID, now time.Time) bool {
	return now.Before(o.upstreams[u].until)
}

// Forget drops upstreams that are no longer in the fleet.
func (o *OutlierDetector) Forget(keep func(ident.UpstreamID) bool) {
	for u := range o.upstreams {
		if !keep(u) {
			delete(o.upstreams, u)
		}
	}
}

func (o *OutlierDetector) mayEject(fleet int, now time.Time) bool {
	n := 0
	for _, h := range o.upstreams {
		if now.Before(h.until) {
			n++
		}
	}
	return float64(n+1) <= float64(fleet)*maxEjectedPart
}

const (
	// hedgeQuantile is the quantile of past latencies after which a look-up counts as late.
	hedgeQuantile = 0.95
	// hedgeStep moves the estimate by a part of itself for each observation.
	hedgeStep = 0.02
	// hedgeStart is the delay before anything was observed.
	hedgeStart = 100 * time.Millisecond
	hedgeMin   = 2 * time.Millisecond
)

// HedgeDelay estimates the latency quantile after which a hedge is sent, with
// constant memory: the estimate rises by the quantile for each later call and
// falls by the rest for each earlier one.
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

// Delay returns the time to wait before a hedge is sent.
func (h HedgeDelay) Delay() time.Duration {
	if h.estimate == 0 {
		return hedgeStart
	}
	return h.estimate
}
