package place

import (
	"math"
	"time"
)

const (
	// speedWeight is the weight of a new observation.
	speedWeight = 0.15
	// speedLife is the time constant with which an estimate without
	// observations returns to normal, so that a slow upstream is tried again.
	speedLife = 6 * time.Second
	minSpeed  = 0.5
	maxSpeed  = 12.0
)

// speed estimates how many times longer an upstream takes than nominal. The
// zero value is a normal upstream.
type speed struct {
	log float64 // logarithm of the factor
	at  time.Time
}

func (s *speed) value(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return math.Exp(s.log * math.Exp(-now.Sub(s.at).Seconds()/speedLife.Seconds()))
}

// logPace returns the logarithm of the time of an answer against its nominal time
// in ms. Averaging logarithms keeps one very late answer from hiding many normal ones.
func logPace(took time.Duration, nominal float64) float64 {
	f := float64(took) / float64(time.Millisecond) / max(nominal, 1)
	return math.Log(min(max(f, minSpeed), maxSpeed))
}

// add adds the mean logarithm of n answers' times.
func (s *speed) add(pace float64, n int, now time.Time) {
	if n <= 0 {
		return
	}
	keep := math.Pow(1-speedWeight, float64(n))
	s.log = math.Log(s.value(now))*keep + pace*(1-keep)
	s.at = now
}
