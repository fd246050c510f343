package guard

import "math"

// Counts are numbers of observations: all of them, and the bad ones. They may be weighted.
type Counts struct {
	Bad, All float64
}

// Add returns the counts with one more observation. All stays at most window: older observations
// lose weight.
func (c Counts) Add(bad bool, window float64) Counts {
	if c.All >= window {
		f := (window - 1) / c.All
		c.Bad *= f
		c.All *= f
	}
	c.All++
	if bad {
		c.Bad++
	}
	return c
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Bad: c.Bad + o.Bad, All: c.All + o.All}
}

// Minus returns the counts without those of o.
func (c Counts) Minus(o Counts) Counts {
	return Counts{Bad: c.Bad - o.Bad, All: c.All - o.All}
}

// Excess returns the evidence, the value of the e-process, that c has a higher rate of bad
// observations than the reference r has, with its margin for signal s. It is 1 without
// observations. Unlike a Guard it doesn't depend on their order, so that counts of several
// instances can be added.
func Excess(s Signal, c, r Counts) float64 {
	p := r.upper(s)
	sum := 0.0
	for _, b := range betFractions {
		l := b / p
		sum += math.Exp(c.Bad*math.Log(1+l*(1-p)) + (c.All-c.Bad)*math.Log(1-l*p))
	}
	return sum / float64(len(betFractions))
}

// Quantile estimates a quantile of values in constant memory: each value moves the estimate by a
// factor. The zero value is not usable; see NewQuantile.
type Quantile struct {
	q        float64
	estimate float64
	n        float64
}

// NewQuantile returns an estimate of the quantile q, between 0 and 1, without values.
func NewQuantile(q float64) Quantile { return Quantile{q: q} }

// Observe adds a positive value.
func (q *Quantile) Observe(v float64) {
	q.n++
	if q.estimate == 0 {
		q.estimate = v
		return
	}
	// The step shrinks with the number of values to a minimum that follows slow changes.
	s := max(0.5/math.Sqrt(q.n), 0.01)
	if v > q.estimate {
		q.estimate *= 1 + s*q.q
	} else {
		q.estimate *= 1 - s*(1-q.q)
	}
}

// Value returns the estimate, 0 with fewer than minReference values.
func (q *Quantile) Value() float64 {
	if q.n < minReference {
		return 0
	}
	return q.estimate
}
