// Package guard compares versions sequentially and says when to halt one.
//
// Each observation is turned into a yes-or-no answer: an error or not, an answer
// rated bad or not, slower than the reference's 90th percentile or not. An
// e-process bets against "the version is no worse than the reference": its value
// is multiplied by 1+λ(x-p) for each observation x with the reference's rate p.
// By Ville's inequality it exceeds 1/α with a probability of at most α at any
// time, so it may be looked at after every observation. The value is the mean
// over several λ, since the best λ depends on how bad the version is.
package guard

import (
	"math"
	"time"
)

// Signal is what an observation is about.
type Signal string

// The signals that a guard watches.
const (
	SignalError   Signal = "errors"
	SignalRating  Signal = "ratings"
	SignalLatency Signal = "latency"
)

// signals lists the signals in the order in which they are checked.
var signals = []Signal{SignalError, SignalRating, SignalLatency}

const (
	// latencyQuantile is the reference quantile above which an answer counts as slow.
	latencyQuantile = 0.9
	// minReference is the number of reference observations below which a signal can't halt.
	minReference = 30
	// referenceWindow bounds the weight of old reference observations.
	referenceWindow = 2000
	// deviations is how many standard deviations are added to the reference's rate for its own uncertainty.
	deviations = 2.0
)

// tolerance is how much worse a version may be before it counts as bad, per signal, as a difference of rates.
var tolerance = map[Signal]float64{
	SignalError:   0.01,
	SignalRating:  0.03,
	SignalLatency: 0.05,
}

// bets are the λ of the mixture as parts of the largest λ that keeps every factor positive.
var bets = [...]float64{0.05, 0.15, 0.4, 0.8}

// Observation is what is known of one answer. Rating is nil until it was rated.
type Observation struct {
	Failed  bool
	Latency time.Duration
	Rating  *bool
}

// Verdict is a finding of a guard; the sealed cases are Sound and Bad.
type Verdict interface{ verdict() }

// Healthy means that there is no evidence to halt.
type Healthy struct{}

// Degraded means that a signal is worse than the reference at the stated false-alarm rate.
type Degraded struct {
	Signal    Signal
	Evidence  float64 // value of the e-process
	Rate      float64 // observed rate of the version
	Reference float64 // rate of the reference that it was tested against
}

func (Healthy) verdict()  {}
func (Degraded) verdict() {}

// Reference holds the rates of the version that is compared with.
type Reference struct {
	rates   map[Signal]rate
	latency quantile
}

type rate struct {
	bad float64
	n   float64
}

// NewReference returns a reference without observations.
func NewReference() *Reference {
	return &Reference{rates: map[Signal]rate{}}
}

// Observe adds an answer of the reference version.
func (r *Reference) Observe(o Observation) {
	for s, x := range answers(o, r.latency.value()) {
		r.rates[s] = r.rates[s].add(x)
	}
	if o.Latency > 0 && !o.Failed {
		r.latency = r.latency.observe(o.Latency)
	}
}

// Count returns the number of answers observed.
func (r *Reference) Count() int {
	return int(r.rates[SignalError].n)
}

func (q rate) add(bad bool) rate {
	if q.n >= referenceWindow {
		f := (referenceWindow - 1) / q.n
		q.n *= f
		q.bad *= f
	}
	q.n++
	if bad {
		q.bad++
	}
	return q
}

// upper returns a rate that the version must exceed to count as worse.
func (q rate) upper(s Signal) float64 {
	m := (q.bad + 0.5) / (q.n + 1)
	d := math.Sqrt(m * (1 - m) / (q.n + 1))
	return min(m+deviations*d+tolerance[s], 0.95)
}

// Guard watches one version against a reference.
type Guard struct {
	alpha  float64
	detect bool
	tests  map[Signal]*test
}

type test struct {
	values [len(bets)]float64
	rate   rate
}

// New returns a guard for a version in roll-out. alpha is the probability of
// halting a version that is as good as its reference, over all signals.
func New(alpha float64) *Guard {
	return newGuard(alpha, false)
}

// NewDetector returns a guard for a version that is fully deployed and may turn
// bad later: each signal's value restarts at 1 when it falls below, so old good
// answers don't hide a change. On average it then takes at least 1/alpha
// observations until a false alarm. It leaves latency out: a version's own past
// had another load, so the fallback of a halted version would look slow too.
func NewDetector(alpha float64) *Guard {
	return newGuard(alpha, true)
}

func newGuard(alpha float64, detect bool) *Guard {
	g := &Guard{alpha: alpha, detect: detect, tests: map[Signal]*test{}}
	for _, s := range signals {
		t := &test{}
		for i := range t.values {
			t.values[i] = 1
		}
		g.tests[s] = t
	}
	return g
}

// Observe adds an answer of the watched version and returns the verdict.
func (g *Guard) Observe(r *Reference, o Observation) Verdict {
	a := answers(o, r.latency.value())
	for _, s := range signals {
		x, ok := a[s]
		if !ok || r.rates[s].n < minReference || (g.detect && s == SignalLatency) {
			continue
		}
		t := g.tests[s]
		p := r.rates[s].upper(s)
		t.rate = t.rate.add(x)
		if e := t.step(p, x, g.detect); e >= float64(len(signals))/g.alpha {
			return Degraded{Signal: s, Evidence: e, Rate: t.rate.bad / t.rate.n, Reference: p}
		}
	}
	return Healthy{}
}

// Count returns the number of answers of the watched version.
func (g *Guard) Count() int {
	return int(g.tests[SignalError].rate.n)
}

func (t *test) step(p float64, bad, detect bool) float64 {
	x := 0.0
	if bad {
		x = 1
	}
	sum := 0.0
	for i, b := range bets {
		l := b / p
		v := t.values[i] * (1 + l*(x-p))
		if detect {
			v = max(v, 1)
		}
		// The bound keeps a long series of bad answers from overflowing.
		t.values[i] = min(v, math.MaxFloat64/2/float64(len(bets)))
		sum += t.values[i]
	}
	return sum / float64(len(bets))
}

// answers turns an observation into one answer per signal that it tells something about.
func answers(o Observation, slow time.Duration) map[Signal]bool {
	a := map[Signal]bool{}
	if o.Rating != nil {
		a[SignalRating] = !*o.Rating
		return a
	}
	a[SignalError] = o.Failed
	if !o.Failed && o.Latency > 0 && slow > 0 {
		a[SignalLatency] = o.Latency > slow
	}
	return a
}

// quantile estimates latencyQuantile with constant memory by multiplicative steps.
type quantile struct {
	estimate float64
	n        float64
}

func (q quantile) observe(d time.Duration) quantile {
	q.n++
	if q.estimate == 0 {
		q.estimate = float64(d)
		return q
	}
	// The step shrinks with the number of observations, down to a floor that follows slow changes.
	s := max(0.5/math.Sqrt(q.n), 0.01)
	if float64(d) > q.estimate {
		q.estimate *= 1 + s*latencyQuantile
	} else {
		q.estimate *= 1 - s*(1-latencyQuantile)
	}
	return q
}

func (q quantile) value() time.Duration {
	if q.n < minReference {
		return 0
	}
	return time.Duration(q.estimate)
}
