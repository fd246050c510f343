package speed

import "math"

const (
	// kneeRise is how much longer than the line through the steps below it a step must take to be markedly slower. Steps
	// get longer with each running request anyway, which the line contains.
	kneeRise = 1.3
	// kneeEvidence is the weight that an upstream's band needs to be compared, 8 intervals, and kneeAbove the weight that those
	// from the knee on need together, so that one stream in a disturbed period makes no knee.
	kneeEvidence = 2.0
	kneeAbove    = 6.0
	// ownBands is the number of bands with evidence from which an upstream's knee is found from these alone. With fewer, those
	// of the other upstreams of the service stand for the rest.
	ownBands = 4
	// maxGrowth bounds the relative growth of a step with each running request that counts as usual: a step that takes twice
	// as long with 50. A steeper line would take the knee for the usual growth.
	maxGrowth = 0.02
)

// curve holds the times of a step by band with their weights; a weight of 0 means unknown.
type curve struct {
	times, weights [bands]float64
	slots          int
}

// kneeBand returns the first band from which steps are markedly slower than the line through those below, or bands.
func (u *upstream) kneeBand(c *cell, now int64) int {
	own := curve{slots: u.slots}
	n := 0
	for b := range bands {
		if w := c.steps[b].weightAt(now); w >= kneeEvidence {
			own.times[b], own.weights[b] = math.Exp(c.steps[b].value), w
			n++
		}
	}
	if n < ownBands {
		for b := range bands {
			if own.weights[b] == 0 && c.model.seen[b] {
				own.times[b], own.weights[b] = math.Exp(c.model.steps[b]+u.factor), kneeAbove
			}
		}
	}
	for k := 1; k < bands; k++ {
		if own.weights[k] == 0 {
			continue
		}
		if l, ok := own.fitLine(k); ok && own.above(l, k) {
			return (own.lastBelow(k) + 1 + k) / 2
		}
	}
	return bands
}

// line is the time of a step by the number of running requests.
type line struct{ base, slope float64 }

// lastBelow returns the last known band below k. Between it and k the knee may be anywhere.
func (c *curve) lastBelow(k int) int {
	for k--; k > 0 && c.weights[k] == 0; k-- {
	}
	return k
}

// fitLine returns the line through the known bands below k; false if fewer than two are known.
func (c *curve) fitLine(k int) (line, bool) {
	var n, sx, sy, sxx, sxy float64
	for b := range k {
		if c.weights[b] > 0 {
			x, y := middle(b, c.slots), c.times[b]
			n++
			sx += x
			sy += y
			sxx += x * x
			sxy += x * y
		}
	}
	if n < 2 {
		return line{}, false
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	slope = min(max(slope, 0), maxGrowth*sy/n)
	return line{base: (sy - slope*sx) / n, slope: slope}, true
}

// above reports whether all known bands from k on are markedly above the line, with enough evidence.
func (c *curve) above(l line, k int) bool {
	all := 0.0
	for b := k; b < bands; b++ {
		if c.weights[b] > 0 && c.times[b] < kneeRise*(l.base+l.slope*middle(b, c.slots)) {
			return false
		}
		all += c.weights[b]
	}
	return all >= kneeAbove
}
