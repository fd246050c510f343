package admit

import "time"

const (
	// pauseAfter is how long a queue must stand before the router says that it isn't ready, and up to twice as long.
	pauseAfter = time.Second
	// minPause and maxPause bound how long it says so.
	minPause = time.Second
	maxPause = 2 * time.Second
	// restFactor is the least time between two pauses, as a multiple of the first: routers are ready for most of the
	// time, so that those which are late at once don't leave their load to the others.
	restFactor = 15
)

// Pause decides when a router with a standing queue asks for no new connections. Its zero value is ready for use.
type Pause struct {
	// began is when the queue began to stand; zero if none does.
	began time.Time
	// from and until bound the latest pause, or the next; no other begins before next.
	from, until, next time.Time
}

// Update records whether a queue stands at now. random, in [0, 1), keeps routers that are late at once from pausing
// together.
func (p *Pause) Update(now time.Time, standing bool, random float64) {
	if !standing {
		if now.Before(p.from) {
			p.next = time.Time{}
		}
		p.began, p.until = time.Time{}, time.Time{}
		return
	}
	if p.began.IsZero() {
		p.began = now
	}
	if now.Before(p.next) {
		return
	}
	length := minPause + time.Duration(random*float64(maxPause-minPause))
	p.from = p.began.Add(pauseAfter + time.Duration(random*float64(pauseAfter)))
	if p.from.Before(now) {
		p.from = now
	}
	p.until = p.from.Add(length)
	p.next = p.until.Add(restFactor * length)
}

// Paused reports whether the router asks for no new connections at now. A pause ends early if the queue is gone.
func (p *Pause) Paused(now time.Time) bool {
	return !now.Before(p.from) && now.Before(p.until)
}
