// Package guard runs sequential tests that compare the answers of a version with those
// of a reference, and reports when the version is worse.
//
// Each observation becomes a binary indicator per signal: failed, rated bad, or slower
// than the reference's 90th percentile. An e-process tests the hypothesis that the
// version is no worse than the reference: its value is multiplied by 1+λ(x-p) for each
// indicator x, where p is the reference's rate with a margin. By Ville's inequality
// the probability that the value ever exceeds 1/α is at most α if the hypothesis is
// true, so it may be checked after every observation. The value is the mean over
// several λ, since the best λ depends on how much worse the version is.
package guard

import (
	"math"
	"time"
)

// Signal is a property of answers that is compared.
type Signal string

// The signals that a guard compares: failures, bad ratings and slow answers.
const (
	SignalError   Signal = "errors"
	SignalRating  Signal = "ratings"
	SignalLatency Signal = "latency"
)

// signals lists the signals in the order in which they are checked.
var signals = []Signal{SignalError, SignalRating, SignalLatency}

const (
	// latencyQuantile is the quantile of the reference's latencies above which an
	// answer counts as slow.
	latencyQuantile = 0.9
	// minReference is the number of reference observations below which a signal is not
	// tested.
	minReference = 30
	// referenceWindow bounds the weight of the reference's past observations, so that
	// newer ones keep having an effect.
	referenceWindow = 2000
	// rateDeviations is the number of standard deviations that are added to the
	// reference's rate because it is an estimate itself.
	rateDeviations = 2.0
)

// tolerance is the difference of rates by which a version may be worse without being
// degraded, per signal.
var tolerance = map[Signal]float64{
	SignalError:   0.01,
	SignalRating:  0.03,
	SignalLatency: 0.05,
}

// betFractions are the λ of the mixture, as fractions of the largest λ that keeps
// every factor positive.
var betFractions = [...]float64{0.05, 0.15, 0.4, 0.8}

// Observation is an answer, or its rating when Rating is set.
type Observation struct {
	Failed bool
	// Latency is any measure of time that is comparable between answers; 0 leaves it
	// out.
	Latency time.Duration
	Rating  *bool
}

// Verdict is the result of an observation: Healthy or Degraded.
type Verdict interface{ verdict() }

// Healthy means that the observations don't show that the version is worse than its
// reference.
type Healthy struct{}

// Degraded means that the version is worse than its reference in a signal, at the
// guard's false-alarm rate.
type Degraded struct {
	Signal    Signal
	Evidence  float64 // value of the e-process
	Rate      float64 // observed rate of the version
	Reference float64 // rate of the reference with the margin, which Rate was tested against
}

func (Healthy) verdict()  {}
func (Degraded) verdict() {}

// Reference holds the rates and the latency quantile of the version that others are
// compared with. It is not safe for concurrent use.
type Reference struct {
	rates   map[Signal]Counts
	latency Quantile
}

// NewReference returns a reference without observations.
func NewReference() *Reference {
	return &Reference{rates: map[Signal]Counts{}, latency: NewQuantile(latencyQuantile)}
}

// Observe adds an answer, or a rating, of the reference version.
func (r *Reference) Observe(o Observation) {
	for s, x := range indicators(o, r.slow()) {
		r.rates[s] = r.rates[s].Add(x, referenceWindow)
	}
	if o.Latency > 0 && !o.Failed {
		r.latency.Observe(float64(o.Latency))
	}
}

// slow returns the latency above which an answer is slow, 0 as long as it is unknown.
func (r *Reference) slow() time.Duration {
	return time.Duration(r.latency.Value())
}

// Count returns the weighted number of answers observed, at most referenceWindow.
func (r *Reference) Count() int {
	return int(r.rates[SignalError].All)
}

// Errors returns the weighted numbers of answers and of failed ones, at most referenceWindow.
func (r *Reference) Errors() Counts { return r.rates[SignalError] }

// upper returns the rate that a version must exceed to count as worse: the estimate
// plus a margin for its uncertainty and the tolerance.
func (q Counts) upper(s Signal) float64 {
	m := (q.Bad + 0.5) / (q.All + 1)
	d := math.Sqrt(m * (1 - m) / (q.All + 1))
	return min(m+rateDeviations*d+tolerance[s], 0.95)
}

// Guard compares one version with a reference. It is not safe for concurrent use.
type Guard struct {
	alpha float64
	// restart resets values below 1 to 1; see NewDetector.
	restart bool
	tests   map[Signal]*test
}

type test struct {
	eValues [len(betFractions)]float64
	rate    Counts
}

// New returns a guard for a version in roll-out. alpha is the probability of a
// Degraded verdict, in any signal, on a version that is as good as its reference.
func New(alpha float64) *Guard {
	return newGuard(alpha, false)
}

// NewDetector returns a guard for a fully deployed version, which may degrade at any
// time. The value of each signal restarts at 1 when it falls below, so that good
// answers of the past don't delay detection. A false alarm then takes at least 1/alpha
// observations on average. Latency is left out, because a version's own past was
// observed under another load: the fallback of a halted version would seem degraded as
// well.
func NewDetector(alpha float64) *Guard {
	return newGuard(alpha, true)
}

func newGuard(alpha float64, restart bool) *Guard {
	g := &Guard{alpha: alpha, restart: restart, tests: map[Signal]*test{}}
	for _, s := range signals {
		t := &test{}
		for i := range t.eValues {
			t.eValues[i] = 1
		}
		g.tests[s] = t
	}
	return g
}

// Observe adds an answer, or a rating, of the version under test and returns the
// verdict.
func (g *Guard) Observe(r *Reference, o Observation) Verdict {
	a := indicators(o, r.slow())
	for _, s := range signals {
		x, ok := a[s]
		if !ok || r.rates[s].All < minReference || (g.restart && s == SignalLatency) {
			continue
		}
		t := g.tests[s]
		p := r.rates[s].upper(s)
		t.rate = t.rate.Add(x, referenceWindow)
		if e := t.update(p, x, g.restart); e >= float64(len(signals))/g.alpha {
			return Degraded{Signal: s, Evidence: e, Rate: t.rate.Bad / t.rate.All, Reference: p}
		}
	}
	return Healthy{}
}

// Count returns the weighted number of answers that were compared with the reference,
// at most referenceWindow.
func (g *Guard) Count() int {
	return int(g.tests[SignalError].rate.All)
}

func (t *test) update(p float64, bad, restart bool) float64 {
	x := 0.0
	if bad {
		x = 1
	}
	sum := 0.0
	for i, b := range betFractions {
		l := b / p
		v := t.eValues[i] * (1 + l*(x-p))
		if restart {
			v = max(v, 1)
		}
		// The bound keeps a long series of bad answers from overflowing to infinity.
		t.eValues[i] = min(v, math.MaxFloat64/2/float64(len(betFractions)))
		sum += t.eValues[i]
	}
	return sum / float64(len(betFractions))
}

// indicators returns a binary value, true for bad, for each signal that an observation
// has a value for. slow is the latency above which an answer is slow; 0 leaves the
// latency out.
func indicators(o Observation, slow time.Duration) map[Signal]bool {
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
