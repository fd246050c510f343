package speed

import "math"

const (
	// kneeRise is how much longer than the line through the steps below it a step must take to be markedly slower. Steps
	// get longer with each running request anyway, which the line contains.
	kneeRise = 1.3
	// kneeEvidence is the weight that a band needs to be compared: 8 intervals.
	kneeEvidence = 2.0
	// maxGrowth bounds the relative growth of a step with each running request that counts as usual.
	maxGrowth = 0.05
)

// kneeBand returns the first band from which steps are markedly slower than the line through those below, or bands. A band in
// which the upstream has no evidence is taken from the other upstreams of the service.
func (u *upstream) kneeBand(c *cell, now int64) int {
	var ys [bands]float64
	var known [bands]bool
	for b := range bands {
		if c.model.seen[b] || c.steps[b].weightAt(now) >= kneeEvidence {
			known[b] = true
			ys[b] = math.Exp(u.stepLog(c, b, now))
		}
	}
	for k := 1; k < bands; k++ {
		if !known[k] {
			continue
		}
		l, ok := fitLine(ys[:k], known[:k], u.slots)
		if ok && l.below(ys[:], known[:], k, u.slots) {
			return k
		}
	}
	return bands
}

// line is the time of a step by the number of running requests.
type line struct{ base, slope float64 }

// fitLine returns the line through the known bands; false if fewer than two are known.
func fitLine(ys []float64, known []bool, slots int) (line, bool) {
	var n, sx, sy, sxx, sxy float64
	for b, y := range ys {
		if known[b] {
			x := middle(b, slots)
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

// below reports whether all known bands from k on are markedly above the line.
func (l line) below(ys []float64, known []bool, k, slots int) bool {
	for b := k; b < bands; b++ {
		if known[b] && ys[b] < kneeRise*(l.base+l.slope*middle(b, slots)) {
			return false
		}
	}
	return true
}
