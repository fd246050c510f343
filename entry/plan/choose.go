// Package plan chooses how a request is answered: by one version, or by a cheap
// one first with escalation to a better one when the answer looks weak.
//
// Ratings give each version's quality per client account and task as a posterior
// with its uncertainty (quality.go). Among the plans whose lower bound meets the
// account's quality target the one with the least weighted cost and time is
// taken; when none does, the one with the best lower bound (choose.go). The
// version of a model follows from shares, roll-outs and fallbacks (resolve.go).
package plan

import (
	"math"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// Plan says which versions answer a request; the sealed cases are Single and Cascade.
type Plan interface{ plan() }

// Single asks one version and streams its answer.
type Single struct {
	Version ident.VersionRef
}

// Cascade asks First, holds its answer back, and asks Then instead when the
// answer's mean token log-probability is below Below.
type Cascade struct {
	First      ident.VersionRef
	EscalateTo ident.VersionRef
	MinLogprob float64
}

func (Single) plan()  {}
func (Cascade) plan() {}

// Candidate is a version that may answer the request.
type Candidate struct {
	Version ident.VersionRef
	// Cost is the operator's cost of one answer.
	Cost ident.MicroCents
	// Time is the predicted time to the end of one answer.
	Time    time.Duration
	Quality Estimate
	// QualityAfter holds the version's quality on requests that another version answered weakly.
	QualityAfter map[ident.VersionRef]Estimate
	// EscalateTo is the only model that a weak answer may escalate to; empty for any.
	EscalateTo ident.ModelID
}

// Goal is what the account asks for.
type Goal struct {
	Objective envdoc.Objective
	// Target is the part of answers that should be rated good.
	Target float64
	// Explore prefers plans that teach something: a cascade from a version whose
	// answers are not known well enough for cascades yet, or else the best plan by
	// means instead of lower bounds. Set it for a small part of requests.
	Explore bool
	// TimeLeft is the time left; plans predicted to take longer are avoided. 0 means none.
	TimeLeft time.Duration
	// NoCascade leaves out cascades, for requests whose plan must stay on one version.
	NoCascade bool
}

// Choice is a plan with what it is expected to yield.
type Choice struct {
	Plan    Plan
	Cost    ident.MicroCents
	Time    time.Duration
	Quality float64
	// Lower is the bound that was compared with the target.
	Lower float64
	// MeetsGoal is false when no plan met the target and the best one was taken.
	MeetsGoal bool
}

// probeCut is the bin below which a probe escalates, a mean log-probability of -0.5.
const probeCut = 5

// Weights of money against time in a plan's score. Both are taken relative to
// the cheapest and the fastest candidate, so that no unit matters.
const (
	majorWeight = 0.9
	minorWeight = 0.1
)

// Choose returns the best plan; false when there is no candidate.
func Choose(cs []Candidate, g Goal) (Choice, bool) {
	if len(cs) == 0 {
		return Choice{}, false
	}
	if c, ok := probe(cs, g); ok {
		return c, true
	}
	s := scale(cs)
	var best Choice
	found := false
	consider := func(c Choice) {
		c.MeetsGoal = c.Lower >= g.Target && (g.TimeLeft == 0 || c.Time <= g.TimeLeft)
		if !found || better(c, best, g, s) {
			best = c
			found = true
		}
	}
	for _, c := range cs {
		consider(single(c, g))
	}
	if g.NoCascade {
		return best, true
	}
	for _, a := range cs {
		if !a.Quality.binned {
			continue
		}
		for _, b := range cs {
			if !MayEscalate(a, b) {
				continue
			}
			for cut := 1; cut < bins; cut++ {
				consider(cascade(a, b, cut, g))
			}
		}
	}
	return best, true
}

// probe returns a cascade from the cheapest version with too few answers to the
// best version that it may escalate to. Escalation keeps the quality near the
// target while the answers of the cheap version become known.
func probe(cs []Candidate, g Goal) (Choice, bool) {
	if !g.Explore || g.NoCascade {
		return Choice{}, false
	}
	var first, then *Candidate
	for i := range cs {
		a := &cs[i]
		if a.Quality.binned || (first != nil && a.Cost >= first.Cost) {
			continue
		}
		if b := escalation(cs, *a); b != nil {
			first, then = a, b
		}
	}
	if first == nil {
		return Choice{}, false
	}
	x := cascade(*first, *then, probeCut, g)
	x.Cost = first.Cost + then.Cost
	x.Time = first.Time + then.Time
	return x, g.TimeLeft == 0 || x.Time <= g.TimeLeft
}

// escalation returns the candidate with the best bound that a may escalate to, nil for none.
func escalation(cs []Candidate, a Candidate) *Candidate {
	var best *Candidate
	for i := range cs {
		b := &cs[i]
		if MayEscalate(a, *b) && (best == nil || b.Quality.Lower() > best.Quality.Lower()) {
			best = b
		}
	}
	return best
}

// NeedsProbe reports whether a version that could start a cascade has too few answers for it.
func NeedsProbe(cs []Candidate) bool {
	_, ok := probe(cs, Goal{Explore: true})
	return ok
}

// MayEscalate reports whether a weak answer of a may be replaced by one of b.
func MayEscalate(a, b Candidate) bool {
	if a.Version.Model == b.Version.Model || a.Cost >= b.Cost {
		return false
	}
	return a.EscalateTo == "" || a.EscalateTo == b.Version.Model
}

func single(c Candidate, g Goal) Choice {
	l := c.Quality.Lower()
	if g.Explore {
		l = c.Quality.Mean
	}
	return Choice{
		Plan:    Single{Version: c.Version},
		Cost:    c.Cost,
		Time:    c.Time,
		Quality: c.Quality.Mean,
		Lower:   l,
	}
}

// cascade evaluates a plan that escalates answers in the bins below cut.
func cascade(a, b Candidate, cut int, g Goal) Choice {
	weak, good, variance := 0.0, 0.0, 0.0
	for i := range bins {
		p := a.Quality.parts[i]
		if i < cut {
			weak += p
			continue
		}
		good += p * a.Quality.bin[i]
		variance += p * p * a.Quality.variance[i]
	}
	e, ok := b.QualityAfter[a.Version]
	if !ok {
		e = b.Quality
	}
	mean := good + weak*e.Mean
	variance += weak * weak * e.Deviation * e.Deviation
	l := mean
	if !g.Explore {
		l -= math.Sqrt(variance)
	}
	return Choice{
		Plan:    Cascade{First: a.Version, EscalateTo: b.Version, MinLogprob: edges[cut-1]},
		Cost:    a.Cost + ident.MicroCents(weak*float64(b.Cost)),
		Time:    a.Time + time.Duration(weak*float64(b.Time)),
		Quality: mean,
		Lower:   l,
	}
}

type scales struct {
	cost float64
	time float64
}

func scale(cs []Candidate) scales {
	s := scales{cost: math.Inf(1), time: math.Inf(1)}
	for _, c := range cs {
		s.cost = min(s.cost, float64(c.Cost))
		s.time = min(s.time, float64(c.Time))
	}
	return scales{cost: max(s.cost, 1), time: max(s.time, 1)}
}

func better(a, b Choice, g Goal, s scales) bool {
	if a.MeetsGoal != b.MeetsGoal {
		return a.MeetsGoal
	}
	if !a.MeetsGoal && a.Lower != b.Lower {
		return a.Lower > b.Lower
	}
	return weigh(a, g, s) < weigh(b, g, s)
}

func weigh(c Choice, g Goal, s scales) float64 {
	m, t := majorWeight, minorWeight
	if g.Objective == envdoc.ObjectiveLatency {
		m, t = minorWeight, majorWeight
	}
	return m*float64(c.Cost)/s.cost + t*float64(c.Time)/s.time
}
