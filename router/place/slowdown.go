package place

import (
	"math"
	"time"
)

const (
	// slowdownWeight is the weight of a new observation in the moving average.
	slowdownWeight = 0.15
	// slowdownDecay is the time constant with which an estimate without new observations
	// returns to 1, so that a slow upstream is tried again.
	slowdownDecay = 6 * time.Second
	// minSlowdown and maxSlowdown bound the slowdown of one observation.
	minSlowdown = 0.5
	maxSlowdown = 12.0
)

// slowdown is a moving average of how many times longer than nominal an upstream takes.
// The zero value is an upstream that takes the nominal time.
type slowdown struct {
	logFactor float64 // natural logarithm of the slowdown at the time at
	at        time.Time
}

// value returns the slowdown at a time.
func (s *slowdown) value(now time.Time) float64 { return s.valueFrom(1, now) }

// valueFrom returns the slowdown at a time of an upstream at which work usually takes factor times as long as at others. An
// estimate without new observations returns to that.
func (s *slowdown) valueFrom(factor float64, now time.Time) float64 {
	if s.at.IsZero() {
		return factor
	}
	usual := math.Log(factor)
	return math.Exp(usual + (s.logFactor-usual)*math.Exp(-now.Sub(s.at).Seconds()/slowdownDecay.Seconds()))
}

// logSlowdown returns the natural logarithm of the time of a response divided by its
// nominal time, bounded by minSlowdown and maxSlowdown. The mean of logarithms
// keeps one very late response from outweighing many normal ones.
func logSlowdown(took, nominal time.Duration) float64 {
	f := float64(took) / float64(max(nominal, time.Millisecond))
	return math.Log(min(max(f, minSlowdown), maxSlowdown))
}

// add adds n responses; logFactor is the mean of their logSlowdown.
func (s *slowdown) add(logFactor float64, n int, now time.Time) {
	if n <= 0 {
		return
	}
	keep := math.Pow(1-slowdownWeight, float64(n))
	s.logFactor = math.Log(s.value(now))*keep + logFactor*(1-keep)
	s.at = now
}
