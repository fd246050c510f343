package plan

import (
	"math"
	"sort"

	"tarragonvalve.example/core/ident"
)

const (
	// priorWeight is the number of ratings that the operator's estimate of a version is
	// worth.
	priorWeight = 20.0
	// predecessorWeight is the most ratings that a new version takes over from the
	// version that it replaces.
	predecessorWeight = 10.0
	// localWeight is the most ratings that an estimate for one account and task takes
	// over from the version's ratings overall.
	localWeight = 20.0
	// escalatedWeight is the number of ratings that a version's quality on first answers
	// is worth for its quality on escalated requests.
	escalatedWeight = 6.0
	// binWeight is the number of ratings that the prior is worth for one
	// log-probability bin.
	binWeight = 4.0
	// countWindow bounds the counts: beyond it they are halved, so that a change of
	// quality shows.
	countWindow = 2000.0
	// minAnswers is the least number of observed answers with which their distribution
	// over the bins is used.
	minAnswers = 30.0
)

// binEdges are the lower bounds of the bins of an answer's mean token log-probability;
// the first bin has none.
var binEdges = [...]float64{-1.6, -1.2, -0.9, -0.7, -0.5, -0.35, -0.2}

const bins = len(binEdges) + 1

func binOf(logprob float64) int {
	return sort.Search(len(binEdges), func(i int) bool { return binEdges[i] > logprob })
}

// Answer is an observed answer or its rating. Good is nil for the answer itself and
// set for its rating.
type Answer struct {
	Account ident.AccountID
	Task    ident.TaskID
	Version ident.VersionRef
	// EscalatedFrom is the version whose weak answer this one replaces; zero for a
	// first answer. Escalated requests are harder than others, so they are counted
	// separately.
	EscalatedFrom ident.VersionRef
	// Logprob is the answer's mean token log-probability.
	Logprob float64
	Good    *bool
}

type localKey struct {
	account  ident.AccountID
	task     ident.TaskID
	position position
}

// position is a version's position in a plan: first, or after the weak answer of
// another version.
type position struct {
	version       ident.VersionRef
	escalatedFrom ident.VersionRef
}

// counts holds the number of answers observed, rated good and rated bad in each bin.
type counts struct {
	seen [bins]float64
	good [bins]float64
	bad  [bins]float64
}

// QualityStats counts answers and ratings of each version, per client account and task
// and overall. It is not safe for concurrent use.
type QualityStats struct {
	local  map[localKey]*counts
	global map[position]*counts
}

// maxLocal bounds the (account, task, version) entries. Beyond it only the version's
// overall counts are used.
const maxLocal = 20_000

// NewQualityStats returns statistics without observations.
func NewQualityStats() *QualityStats {
	return &QualityStats{local: map[localKey]*counts{}, global: map[position]*counts{}}
}

// Observe counts an answer, or the rating of an answer that was counted before.
func (q *QualityStats) Observe(a Answer) {
	p := position{version: a.Version, escalatedFrom: a.EscalatedFrom}
	g, ok := q.global[p]
	if !ok {
		g = &counts{}
		q.global[p] = g
	}
	g.add(a)
	k := localKey{account: a.Account, task: a.Task, position: p}
	l, ok := q.local[k]
	if !ok && len(q.local) < maxLocal {
		l = &counts{}
		q.local[k] = l
	}
	if l != nil {
		l.add(a)
	}
}

func (c *counts) add(a Answer) {
	b := binOf(a.Logprob)
	switch {
	case a.Good == nil:
		c.seen[b]++
	case *a.Good:
		c.good[b]++
	default:
		c.bad[b]++
	}
	if sum(c.good)+sum(c.bad) > countWindow || sum(c.seen) > countWindow {
		for i := range bins {
			c.seen[i] /= 2
			c.good[i] /= 2
			c.bad[i] /= 2
		}
	}
}

// Prior is the expected quality of a version before it has ratings of its own.
type Prior struct {
	// Mean is the operator's estimate of the fraction of good answers.
	Mean float64
	// Predecessor is the version that this one replaces in a roll-out; zero for none.
	Predecessor ident.VersionRef
}

// Estimate is the quality of a version's answers, overall and per log-probability bin.
type Estimate struct {
	// Mean is the expected fraction of good answers.
	Mean float64
	// Deviation is the standard deviation of Mean.
	Deviation float64
	// shares are the fractions of the answers that fall into each bin. They are set
	// only when binned.
	shares [bins]float64
	// binMean and binVariance are the mean and the variance of the quality of each
	// bin's answers.
	binMean     [bins]float64
	binVariance [bins]float64
	// binned is true when at least minAnswers answers were observed.
	binned bool
}

// Lower returns the mean less one standard deviation, as a bound that the true quality
// probably exceeds.
func (e Estimate) Lower() float64 {
	return e.Mean - e.Deviation
}

// Estimate returns the quality of a version's first answers for an account and task.
func (q *QualityStats) Estimate(a ident.AccountID, t ident.TaskID, v ident.VersionRef, p Prior) Estimate {
	mean, weight := p.Mean, priorWeight
	if o, ok := q.global[position{version: p.Predecessor}]; ok {
		good, bad := sum(o.good), sum(o.bad)
		w := min(good+bad, predecessorWeight)
		if w > 0 {
			mean = (mean*weight + good/(good+bad)*w) / (weight + w)
			weight += w
		}
	}
	return q.estimate(a, t, position{version: v}, mean, weight)
}

// EstimateEscalated returns the quality of a version's answers to requests that are
// escalated to it from the version weak. first is the version's quality on first answers;
// it serves as a prior with the weight of escalatedWeight ratings.
func (q *QualityStats) EstimateEscalated(a ident.AccountID, t ident.TaskID, v, weak ident.VersionRef, first Estimate) Estimate {
	return q.estimate(a, t, position{version: v, escalatedFrom: weak}, first.Mean, escalatedWeight)
}

func (q *QualityStats) estimate(a ident.AccountID, t ident.TaskID, p position, prior, weight float64) Estimate {
	all, ok := q.global[p]
	if !ok {
		all = &counts{}
	}
	l, ok := q.local[localKey{account: a, task: t, position: p}]
	if !ok {
		l = &counts{}
	}
	mean, w := posterior(prior, weight, sum(all.good), sum(all.bad))
	mean, w = posterior(mean, min(w, localWeight), sum(l.good), sum(l.bad))
	e := Estimate{Mean: mean, Deviation: math.Sqrt(mean * (1 - mean) / (w + 1))}
	e.fillBins(l, all, prior)
	return e
}

// fillBins estimates the bins, with the distribution of the account's own answers when
// there are enough of them, else of all answers. Mean and Deviation then follow from
// the bins: ratings have another distribution over the bins than answers, because weak
// answers are rated less often.
func (e *Estimate) fillBins(l, all *counts, prior float64) {
	seen := l
	if sum(seen.seen) < minAnswers {
		seen = all
	}
	n := sum(seen.seen)
	if n < minAnswers {
		return
	}
	e.binned = true
	mean, variance := 0.0, 0.0
	for i := range bins {
		e.shares[i] = seen.seen[i] / n
		m, w := posterior(prior, binWeight, all.good[i], all.bad[i])
		m, w = posterior(m, min(w, localWeight), l.good[i], l.bad[i])
		e.binMean[i] = m
		e.binVariance[i] = m * (1 - m) / (w + 1)
		mean += e.shares[i] * m
		variance += e.shares[i] * e.shares[i] * e.binVariance[i]
	}
	e.Mean = mean
	e.Deviation = math.Sqrt(variance)
}

// posterior updates a mean that has a weight with good and bad ratings, and returns
// the new mean and weight.
func posterior(mean, weight, good, bad float64) (float64, float64) {
	n := weight + good + bad
	return (mean*weight + good) / n, n
}

func sum(x [bins]float64) float64 {
	s := 0.0
	for _, v := range x {
		s += v
	}
	return s
}
