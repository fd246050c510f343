package gossip

import (
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/place"
)

// backlogLife is how long a neighbour's backlog counts without a newer one.
const backlogLife = 1500 * time.Millisecond

// Totals sums up the work that routers have sent and that has no answer yet. Each
// neighbour states the sum of what lies behind it; what it is told leaves that out,
// so nothing counts twice as long as neighbours form a tree. It is safe for
// concurrent use.
type Totals struct {
	mu         sync.Mutex
	neighbours map[string]stated
}

// stated is what a neighbour said last.
type stated struct {
	backlog []place.Backlog
	at      time.Time
}

// NewTotals returns sums of nothing.
func NewTotals() *Totals {
	return &Totals{neighbours: map[string]stated{}}
}

// Set replaces what a neighbour stated.
func (t *Totals) Set(neighbour string, bs []place.Backlog, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.neighbours[neighbour] = stated{backlog: bs, at: now}
	for n, s := range t.neighbours {
		if now.Sub(s.at) > backlogLife {
			delete(t.neighbours, n)
		}
	}
}

// Drop forgets what a neighbour stated. A router that turns to another peer must not
// pass on what the one before said: both would be counted twice.
func (t *Totals) Drop(neighbour string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.neighbours, neighbour)
}

// Without returns the sums over all neighbours but one, one for each upstream.
func (t *Totals) Without(neighbour string, now time.Time) []place.Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[ident.UpstreamID]place.Backlog{}
	for n, s := range t.neighbours {
		if n == neighbour || now.Sub(s.at) > backlogLife {
			continue
		}
		for _, b := range s.backlog {
			sum := sums[b.Upstream]
			sum.Upstream = b.Upstream
			sum.Work += b.Work
			sum.Attempts += b.Attempts
			sums[b.Upstream] = sum
		}
	}
	out := make([]place.Backlog, 0, len(sums))
	for _, b := range sums {
		out = append(out, b)
	}
	return out
}
