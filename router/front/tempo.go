package front

import (
	"sync"
	"time"

	"tarragonvalve.example/router/routes"
)

const (
	// tempoWindow is how long the slowest request of a route counts at least, and at most twice as long.
	tempoWindow = 30 * time.Second
	// minTimed is the number of requests from which on a route's tempo is known.
	minTimed = 5
	// tempoMargin is the factor by which a request may take longer than the slowest of its route.
	tempoMargin = 2
	// maxTimedRoutes bounds the routes whose tempo is kept; beyond it, all are forgotten.
	maxTimedRoutes = 4096
)

// tempo records how long the requests of routes have taken lately. Its zero value is ready for use. It is safe for
// concurrent use.
type tempo struct {
	mu     sync.Mutex
	routes map[routes.ID]*timing
}

// timing holds the slowest and fastest requests of a route in the current window and the one before.
type timing struct {
	since                  time.Time
	slowest, slowestBefore time.Duration
	// fastest are the shortest times of answers; 0 means that there was none.
	fastest, fastestBefore   time.Duration
	requests, requestsBefore int
}

// record records that a request of a route took some time, and whether it was answered.
func (t *tempo) record(r routes.ID, took time.Duration, answered bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil || len(t.routes) >= maxTimedRoutes {
		t.routes = map[routes.ID]*timing{}
	}
	x := t.routes[r]
	if x == nil {
		x = &timing{since: now}
		t.routes[r] = x
	}
	x.advance(now)
	x.slowest = max(x.slowest, took)
	x.requests++
	if answered && (x.fastest == 0 || took < x.fastest) {
		x.fastest = took
	}
}

// advance begins a new window if the current one is over.
func (x *timing) advance(now time.Time) {
	past := now.Sub(x.since)
	if past < tempoWindow {
		return
	}
	x.slowestBefore, x.fastestBefore, x.requestsBefore = x.slowest, x.fastest, x.requests
	if past >= 2*tempoWindow {
		x.slowestBefore, x.fastestBefore, x.requestsBefore = 0, 0, 0
	}
	x.since, x.slowest, x.fastest, x.requests = now, 0, 0, 0
}

// expected returns how long a request of a route may take by the slowest lately, or false if too few are known.
func (t *tempo) expected(r routes.ID, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.routes[r]
	if x == nil {
		return 0, false
	}
	x.advance(now)
	return tempoMargin * max(x.slowest, x.slowestBefore), x.requests+x.requestsBefore >= minTimed
}

// fastest returns the shortest time in which a request of a route was answered lately, or 0 if too few are known.
func (t *tempo) fastest(r routes.ID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.routes[r]
	if x == nil {
		return 0
	}
	x.advance(now)
	switch {
	case x.requests+x.requestsBefore < minTimed:
		return 0
	case x.fastest == 0:
		return x.fastestBefore
	case x.fastestBefore == 0:
		return x.fastest
	default:
		return min(x.fastest, x.fastestBefore)
	}
}
