package speed

import (
	"math"
	"time"
)

const (
	// evidenceTime is the time constant with which observations lose weight. An upstream that has recovered counts as
	// such after two to three of them, also if few requests reach it.
	evidenceTime = 12 * time.Second
	// maxWeight bounds the weight of a mean, so that a changed upstream shows after as many observations.
	maxWeight = 40
	// clipFrom is the weight from which an observation counts at most as clipAt from the mean; before, the mean says too little
	// to call anything an outlier. clipAt is ln 1.65: a period in which work takes 2.5 times as long, 15 % of the time,
	// then moves the mean by 8 % instead of 14 % and by 1.3 % for each response. A lasting change by 1.8 still gets through.
	clipFrom = 8
	clipAt   = 0.5
	// decayInterval is the least time between two calculations of the decay.
	decayInterval = 50 * time.Millisecond
)

// mean is a decaying mean of logarithms, in which outliers count at most as clipAt. Logarithms make a response that took ten
// times as long count no more than ten that took 0.8 times as long, and a clipped mean, other than a quantile, can be
// merged from counts and means in any order.
type mean struct {
	value, weight float64
	// at is the time to which weight has decayed, in ns.
	at int64
}

// weightAt returns the weight of the observations at a time.
func (m *mean) weightAt(now int64) float64 {
	if m.weight == 0 || now <= m.at {
		return m.weight
	}
	return m.weight * math.Exp(-float64(now-m.at)/float64(evidenceTime))
}

// add adds an observation x of a weight that was made at a time, and returns x as it was counted. One that is older
// than the latest counts less, by its age.
func (m *mean) add(x, weight float64, at int64) float64 {
	switch {
	case m.weight == 0:
		m.at = at
	case at-m.at >= int64(decayInterval):
		m.weight = m.weightAt(at)
		m.at = at
	case m.at-at >= int64(decayInterval):
		weight *= math.Exp(-float64(m.at-at) / float64(evidenceTime))
	}
	if m.weight >= clipFrom {
		x = min(max(x, m.value-clipAt), m.value+clipAt)
	}
	m.weight = min(m.weight+weight, maxWeight)
	if m.weight > 0 {
		m.value += (x - m.value) * min(weight/m.weight, 1)
	}
	return x
}

// sum is a mean since the last exchange.
type sum struct {
	Weight, Mean float64
}

func (s *sum) add(x, weight float64) {
	s.Weight += weight
	if s.Weight > 0 {
		s.Mean += (x - s.Mean) * weight / s.Weight
	}
}

// clamp returns the logarithm of x within bounds.
func clampLog(x, low, high float64) float64 {
	return math.Log(min(max(x, low), high))
}
