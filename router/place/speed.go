package place

import (
	"time"

	"tarragonvalve.example/router/fleet"
)

// Speed is how fast an upstream is relative to others of its service.
type Speed struct {
	// Factor is how many times longer than usual work takes there.
	Factor float64
	// Crowding is how many times longer than below its knee work takes there with the requests that run now; 1 below it.
	Crowding float64
}

// promptRate returns the number of prompt tokens that an upstream of the service usually processes per ms.
func (q *Query) promptRate() float64 {
	if q.PromptRate > 0 {
		return q.PromptRate
	}
	return prefillTokensPerMs / q.tokenTime()
}

// speed returns how fast an upstream with the load l, which may be nil, is.
func (q *Query) speed(u *fleet.Upstream, l *upstreamLoad, now time.Time) Speed {
	if q.Speed == nil {
		return Speed{Factor: 1, Crowding: 1}
	}
	n := 0
	if l != nil {
		n = l.running(now)
	}
	return q.Speed(u, n)
}
