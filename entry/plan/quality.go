package plan

import (
	"math"
	"sort"

	"tarragonvalve.example/core/ident"
)

const (
	// priorWeight is how many ratings the operator's estimate of a version counts for.
	priorWeight = 20.0
	// predecessorWeight is how many ratings a new version inherits at most from the version it replaces.
	predecessorWeight = 10.0
	// localWeight is how many ratings an account and task inherit at most from the version as a whole.
	localWeight = 20.0
	// afterWeight is how many ratings a version's quality on all requests counts for on escalated ones.
	afterWeight = 6.0
	// binWeight is how many ratings a log-probability bin inherits from its version.
	binWeight = 4.0
	// window bounds the weight of old ratings, so that a change of quality shows.
	window = 2000.0
	// minSeen is the number of answers before the distribution over bins is used for a cascade.
	minSeen = 30.0
)

// edges are the lower ends of the bins of an answer's mean token log-probability, but for the first bin.
var edges = [...]float64{-1.6, -1.2, -0.9, -0.7, -0.5, -0.35, -0.2}

const bins = len(edges) + 1

func binOf(logprob float64) int {
	return sort.Search(len(edges), func(i int) bool { return edges[i] > logprob })
}

// Answer is what is known of an accepted or tried answer. Good is nil until it was rated.
type Answer struct {
	Account ident.AccountID
	Task    ident.TaskID
	Version ident.VersionRef
	// EscalatedFrom is the version whose weak answer this one replaces; zero for a first
	// answer. Escalated requests are harder than others, so they are kept apart.
	EscalatedFrom ident.VersionRef
	Logprob       float64
	Good          *bool
}

type key struct {
	account ident.AccountID
	task    ident.TaskID
	place   place
}

// place is a version as the first of a plan or after the weak answer of another.
type place struct {
	version ident.VersionRef
	after   ident.VersionRef
}

// counts holds, for each bin, how many answers were seen and how they were rated.
type counts struct {
	seen [bins]float64
	good [bins]float64
	bad  [bins]float64
}

// QualityStats holds what ratings tell of each version, per client account and task
// and as a whole. The owner serializes its use.
type QualityStats struct {
	local  map[key]*counts
	global map[place]*counts
}

// maxLocal bounds the number of (account, task, version) entries; further ones use the version as a whole.
const maxLocal = 20_000

// NewQualityStats returns a state without ratings.
func NewQualityStats() *QualityStats {
	return &QualityStats{local: map[key]*counts{}, global: map[place]*counts{}}
}

// Observe records an answer, or its rating when it comes later.
func (q *QualityStats) Observe(a Answer) {
	p := place{version: a.Version, after: a.EscalatedFrom}
	g, ok := q.global[p]
	if !ok {
		g = &counts{}
		q.global[p] = g
	}
	g.add(a)
	k := key{account: a.Account, task: a.Task, place: p}
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
	if sum(c.good)+sum(c.bad) > window || sum(c.seen) > window {
		for i := range bins {
			c.seen[i] /= 2
			c.good[i] /= 2
			c.bad[i] /= 2
		}
	}
}

// Prior is what is known of a version without its own ratings.
type Prior struct {
	// Mean is the operator's estimate.
	Mean float64
	// Predecessor is the version that a roll-out replaces by this one; zero for none.
	Predecessor ident.VersionRef
}

// Estimate is the quality of a version's answers, as a whole and per bin.
type Estimate struct {
	Mean float64
	// Deviation is the standard deviation of Mean.
	Deviation float64
	// parts are the parts of answers per bin; only set when enough answers were seen.
	parts [bins]float64
	// bin and variance describe the quality of the answers of one bin.
	bin      [bins]float64
	variance [bins]float64
	binned   bool
}

// Lower returns a bound that the true quality is likely above.
func (e Estimate) Lower() float64 {
	return e.Mean - e.Deviation
}

// Estimate returns the quality of a version's first answers for an account and task.
func (q *QualityStats) Estimate(a ident.AccountID, t ident.TaskID, v ident.VersionRef, p Prior) Estimate {
	mean, weight := p.Mean, priorWeight
	if o, ok := q.global[place{version: p.Predecessor}]; ok {
		good, bad := sum(o.good), sum(o.bad)
		w := min(good+bad, predecessorWeight)
		if w > 0 {
			mean = (mean*weight + good/(good+bad)*w) / (weight + w)
			weight += w
		}
	}
	return q.estimate(a, t, place{version: v}, mean, weight)
}

// EstimateAfter returns the quality of a version's answers to requests that another
// version answered weakly. first is its quality on all requests, which counts
// for few ratings here.
func (q *QualityStats) EstimateAfter(a ident.AccountID, t ident.TaskID, v, weak ident.VersionRef, first Estimate) Estimate {
	return q.estimate(a, t, place{version: v, after: weak}, first.Mean, afterWeight)
}

func (q *QualityStats) estimate(a ident.AccountID, t ident.TaskID, p place, prior, weight float64) Estimate {
	all, ok := q.global[p]
	if !ok {
		all = &counts{}
	}
	l, ok := q.local[key{account: a, task: t, place: p}]
	if !ok {
		l = &counts{}
	}
	mean, w := update(prior, weight, sum(all.good), sum(all.bad))
	mean, w = update(mean, min(w, localWeight), sum(l.good), sum(l.bad))
	e := Estimate{Mean: mean, Deviation: math.Sqrt(mean * (1 - mean) / (w + 1))}
	e.fill(l, all, prior)
	return e
}

// fill estimates the bins from the account's own answers where there are enough,
// else from all. The mean then follows from the bins: ratings are not spread over
// the bins as answers are, since weak answers are rated less often.
func (e *Estimate) fill(l, all *counts, prior float64) {
	seen := l
	if sum(seen.seen) < minSeen {
		seen = all
	}
	n := sum(seen.seen)
	if n < minSeen {
		return
	}
	e.binned = true
	mean, variance := 0.0, 0.0
	for i := range bins {
		e.parts[i] = seen.seen[i] / n
		m, w := update(prior, binWeight, all.good[i], all.bad[i])
		m, w = update(m, min(w, localWeight), l.good[i], l.bad[i])
		e.bin[i] = m
		e.variance[i] = m * (1 - m) / (w + 1)
		mean += e.parts[i] * m
		variance += e.parts[i] * e.parts[i] * e.variance[i]
	}
	e.Mean = mean
	e.Deviation = math.Sqrt(variance)
}

// update joins a mean with a weight and rated answers.
func update(mean, weight, good, bad float64) (float64, float64) {
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
