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
	// binWeight is how many ratings a log-probability bin inherits from its version.
	binWeight = 4.0
	// window bounds the weight of old ratings, so that a change of quality shows.
	window = 2000.0
	// minSeen is the number of answers before the distribution over bins is used for a cascade.
	minSeen = 50.0
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
	Logprob float64
	Good    *bool
}

type key struct {
	account ident.AccountID
	task    ident.TaskID
	version ident.VersionRef
}

// counts holds, for each bin, how many answers were seen and how they were rated.
type counts struct {
	seen [bins]float64
	good [bins]float64
	bad  [bins]float64
}

// Quality holds what ratings tell of each version, per client account and task
// and as a whole. The owner serializes its use.
type Quality struct {
	local  map[key]*counts
	global map[ident.VersionRef]*counts
}

// maxLocal bounds the number of (account, task, version) entries; further ones use the version as a whole.
const maxLocal = 20_000

// NewQuality returns a state without ratings.
func NewQuality() *Quality {
	return &Quality{local: map[key]*counts{}, global: map[ident.VersionRef]*counts{}}
}

// Observe records an answer, or its rating when it comes later.
func (q *Quality) Observe(a Answer) {
	g, ok := q.global[a.Version]
	if !ok {
		g = &counts{}
		q.global[a.Version] = g
	}
	g.add(a)
	k := key{account: a.Account, task: a.Task, version: a.Version}
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

// Estimate returns the quality of a version's answers for an account and task.
func (q *Quality) Estimate(a ident.AccountID, t ident.TaskID, v ident.VersionRef, p Prior) Estimate {
	mean, weight := p.Mean, priorWeight
	if o, ok := q.global[p.Predecessor]; ok {
		good, bad := sum(o.good), sum(o.bad)
		w := min(good+bad, predecessorWeight)
		if w > 0 {
			mean = (mean*weight + good/(good+bad)*w) / (weight + w)
			weight += w
		}
	}
	all := &counts{}
	if g, ok := q.global[v]; ok {
		all = g
	}
	mean, weight = update(mean, weight, sum(all.good), sum(all.bad))
	l, ok := q.local[key{account: a, task: t, version: v}]
	if !ok {
		l = &counts{}
	}
	mean, weight = update(mean, min(weight, localWeight), sum(l.good), sum(l.bad))
	e := Estimate{Mean: mean, Deviation: math.Sqrt(mean * (1 - mean) / (weight + 1))}
	e.fill(l, all)
	return e
}

// fill estimates the bins from the account's own answers where there are enough, else from all.
func (e *Estimate) fill(l, all *counts) {
	seen := l
	if sum(seen.seen) < minSeen {
		seen = all
	}
	n := sum(seen.seen)
	if n < minSeen {
		return
	}
	e.binned = true
	for i := range bins {
		e.parts[i] = seen.seen[i] / n
		m, w := update(e.Mean, binWeight, all.good[i], all.bad[i])
		if l != all {
			m, w = update(m, min(w, localWeight), l.good[i], l.bad[i])
		}
		e.bin[i] = m
		e.variance[i] = m * (1 - m) / (w + 1)
	}
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
