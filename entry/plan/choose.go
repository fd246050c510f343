// Package plan chooses how a request is answered: by one version, or by a cascade that
// runs a cheap version first and escalates to a better one when the answer's confidence
// is low.
//
// Ratings give a posterior of each version's quality per client account and task
// (quality.go). Among the plans whose lower quality bound meets the account's target,
// the one with the least weighted cost and time is chosen; when no plan meets it, the
// one with the highest lower bound (choose.go). Shares, roll-outs and fallbacks
// determine the version of a model (resolve.go).
package plan

import (
	"math"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// Plan determines which versions answer a request. It is a Single or a Cascade.
type Plan interface{ plan() }

// Single runs one version and streams its answer.
type Single struct {
	Version ident.VersionRef
}

// Cascade runs First and buffers its answer. When the mean token log-probability of that
// answer is below MinLogprob, it discards the answer and runs EscalateTo instead.
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
	// EscalatedQuality is the version's quality on requests that are escalated to it, by
	// the version whose weak answer is escalated.
	EscalatedQuality map[ident.VersionRef]Estimate
	// EscalateTo is the only model that a weak answer may be escalated to; empty allows
	// any.
	EscalateTo ident.ModelID
}

// Goal is what the client account requires of a plan.
type Goal struct {
	Objective envdoc.Objective
	// Target is the fraction of answers that should be rated good.
	Target float64
	// Explore prefers plans that yield information: a cascade that starts with a
	// version that has too few observed answers for cascades, or else the plan with the
	// best mean instead of the best lower bound. It is meant for a small fraction of
	// the requests.
	Explore bool
	// TimeLeft is the time until the caller's deadline; 0 means no deadline. A plan
	// that is predicted to take longer doesn't meet the goal.
	TimeLeft time.Duration
	// NoCascade allows only Single plans, for requests that must stay on one version.
	NoCascade bool
}

// Choice is a plan with its expected cost, time and quality.
type Choice struct {
	Plan    Plan
	Cost    ident.MicroCents
	Time    time.Duration
	Quality float64
	// Lower is the quality that is compared with the target: the lower bound, or the
	// mean when exploring.
	Lower float64
	// MeetsGoal is true when Lower reaches the target and the plan is expected to end
	// in the time left. A plan that doesn't meet the goal is chosen only when none
	// does.
	MeetsGoal bool
}

// probeBin is the first bin of log-probabilities that a probe accepts; lower ones,
// below a mean log-probability of -0.5, escalate.
const probeBin = 5

const (
	// preferredWeight applies to the account's objective, cost or time, and otherWeight
	// to the other one. Both terms are relative to the cheapest and the fastest
	// candidate, which makes them comparable.
	preferredWeight = 0.9
	otherWeight     = 0.1
)

// Choose returns the best plan for a goal. It returns false when there is no
// candidate.
func Choose(cs []Candidate, g Goal) (Choice, bool) {
	if len(cs) == 0 {
		return Choice{}, false
	}
	if c, ok := probe(cs, g); ok {
		return c, true
	}
	s := minimums(cs)
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

// probe returns a cascade from the cheapest version with too few answers for cascades
// to the best version that it may escalate to. The escalation keeps the quality near
// the target while answers of the cheap version are observed.
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
		if b := bestEscalation(cs, *a); b != nil {
			first, then = a, b
		}
	}
	if first == nil {
		return Choice{}, false
	}
	x := cascade(*first, *then, probeBin, g)
	x.Cost = first.Cost + then.Cost
	x.Time = first.Time + then.Time
	return x, g.TimeLeft == 0 || x.Time <= g.TimeLeft
}

// bestEscalation returns the candidate with the highest lower bound that a may
// escalate to, nil for none.
func bestEscalation(cs []Candidate, a Candidate) *Candidate {
	var best *Candidate
	for i := range cs {
		b := &cs[i]
		if MayEscalate(a, *b) && (best == nil || b.Quality.Lower() > best.Quality.Lower()) {
			best = b
		}
	}
	return best
}

// NeedsProbe reports whether a candidate that could start a cascade has too few
// observed answers for one.
func NeedsProbe(cs []Candidate) bool {
	_, ok := probe(cs, Goal{Explore: true})
	return ok
}

// MayEscalate reports whether a weak answer of a may be replaced by an answer of b: b
// is a version of another model, or of a.EscalateTo if that is set, and costs more.
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

// cascade evaluates a cascade from a to b that escalates the answers in the bins below
// cut.
func cascade(a, b Candidate, cut int, g Goal) Choice {
	weak, good, variance := 0.0, 0.0, 0.0
	for i := range bins {
		p := a.Quality.shares[i]
		if i < cut {
			weak += p
			continue
		}
		good += p * a.Quality.binMean[i]
		variance += p * p * a.Quality.binVariance[i]
	}
	e, ok := b.EscalatedQuality[a.Version]
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
		Plan:    Cascade{First: a.Version, EscalateTo: b.Version, MinLogprob: binEdges[cut-1]},
		Cost:    a.Cost + ident.MicroCents(weak*float64(b.Cost)),
		Time:    a.Time + time.Duration(weak*float64(b.Time)),
		Quality: mean,
		Lower:   l,
	}
}

// baseline holds the least cost and the least time of the candidates, each at least 1,
// as the units of weightedScore.
type baseline struct {
	cost float64
	time float64
}

func minimums(cs []Candidate) baseline {
	s := baseline{cost: math.Inf(1), time: math.Inf(1)}
	for _, c := range cs {
		s.cost = min(s.cost, float64(c.Cost))
		s.time = min(s.time, float64(c.Time))
	}
	return baseline{cost: max(s.cost, 1), time: max(s.time, 1)}
}

// better reports whether a is preferred to b: a plan that meets the goal first, then
// the higher lower bound unless both meet it, then the lower weighted score.
func better(a, b Choice, g Goal, s baseline) bool {
	if a.MeetsGoal != b.MeetsGoal {
		return a.MeetsGoal
	}
	if !a.MeetsGoal && a.Lower != b.Lower {
		return a.Lower > b.Lower
	}
	return weightedScore(a, g, s) < weightedScore(b, g, s)
}

func weightedScore(c Choice, g Goal, s baseline) float64 {
	m, t := preferredWeight, otherWeight
	if g.Objective == envdoc.ObjectiveLatency {
		m, t = otherWeight, preferredWeight
	}
	return m*float64(c.Cost)/s.cost + t*float64(c.Time)/s.time
}
