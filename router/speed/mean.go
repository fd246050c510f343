package speed

import (
	"math"
	"time"
)

const (
	// evidenceTime is the time constant with which observations lose weight. An upstream that has recovered counts as
	// such after two to three of them, also if few requests reach it.
	evidenceTime = 9 * time.Second
	// maxWeight bounds the weight of a mean, so that a changed upstream shows after as many observations.
	maxWeight = 20
	// decayInterval is the least time between two calculations of the decay.
	decayInterval = 50 * time.Millisecond
)

// clip bounds how far below and above the mean an observation counts, once the mean has the weight from. Before, the mean
// says too little to call anything an outlier.
type clip struct{ from, below, above float64 }

// Outliers are slower than usual: work takes 2.5 times as long for 15 % of the time, and every fifth interval between
// events contains the prompt of another request. They count up to above; unbounded, they would make steps look 1.3
// times as long as they are. One below is unlikely by chance, as nothing makes an upstream faster than it is but an error of
// the measurement: it takes weight from what was observed before, so that a recovered upstream is found by few trials.
var (
	promptClip = clip{from: 6, below: 0.5, above: 0.25}
	stepClip   = clip{from: 2, below: 0.3, above: 0.08}
	// paceClip bounds nothing: the mean of all reports is what is usual.
	paceClip = clip{from: math.Inf(1)}
)

// mean is a decaying mean of logarithms, in which outliers are bounded. Logarithms make a response that took ten times as
// long count no more than ten that took 0.8 times as long, and a clipped mean, other than a quantile, can be merged from
// weights and means in any order.
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
func (m *mean) add(x, weight float64, at int64, c clip) float64 {
	switch {
	case m.weight == 0:
		m.at = at
	case at-m.at >= int64(decayInterval):
		m.weight = m.weightAt(at)
		m.at = at
	case m.at-at >= int64(decayInterval):
		weight *= math.Exp(-float64(m.at-at) / float64(evidenceTime))
	}
	if m.weight >= c.from {
		if x < m.value-c.below {
			m.weight *= math.Exp(-weight)
		}
		x = min(max(x, m.value-c.below), m.value+c.above)
	}
	m.weight = min(m.weight+weight, maxWeight)
	if m.weight > 0 {
		m.value += (x - m.value) * min(weight/m.weight, 1)
	}
	return x
}

// add adds an observation of a weight above 0.
func (m *Mean) add(x, weight float64) {
	m.Weight += weight
	m.Value += (x - m.Value) * weight / m.Weight
}

// limits are the logarithms of the bounds of a quantity and of its prior.
type limits struct{ low, high, prior float64 }

var (
	tokenLimits   = limits{low: -math.Log(MaxPromptRate), high: -math.Log(MinPromptRate), prior: -math.Log(priorPromptRate)}
	stepLimits    = limits{low: math.Log(MinStep), high: math.Log(MaxStep)}
	idleLimits    = limits{low: math.Log(MinIdle), high: math.Log(MaxIdle), prior: math.Log(priorIdle)}
	runningLimits = limits{low: math.Log(MinRunning), high: math.Log(MaxRunning), prior: math.Log(priorRunning)}
	paceLimits    = limits{low: math.Log(MinPace), high: math.Log(MaxPace)}
	factorLimits  = limits{low: math.Log(MinFactor), high: math.Log(MaxFactor)}
)

// clamp returns x within the limits.
func (l limits) clamp(x float64) float64 { return min(max(x, l.low), l.high) }
