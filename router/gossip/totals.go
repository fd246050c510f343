package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/place"
)

const (
	// maxBacklog bounds the upstreams stated in one message; those with the most work stay.
	maxBacklog = 256
	// sizeLife is how long the largest number of routers counts: one that was cut off
	// must not take the shares of the others.
	sizeLife = time.Minute
)

// Totals sums up the work that routers have sent and that has no answer yet. Each
// neighbour states the sum of what lies behind it; what it is told leaves that out,
// so nothing counts twice as long as neighbours form a tree. It is safe for
// concurrent use.
type Totals struct {
	mu         sync.Mutex
	neighbours map[string]stated
	size       int
	sizeAt     time.Time
}

// stated is what a neighbour said last.
type stated struct {
	backlog []place.Backlog
	routers int
	at      time.Time
}

// NewTotals returns sums of nothing.
func NewTotals() *Totals {
	return &Totals{neighbours: map[string]stated{}}
}

// Set replaces what a neighbour stated of the routers behind it.
func (t *Totals) Set(neighbour string, bs []place.Backlog, routers int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.neighbours[neighbour] = stated{backlog: bs, routers: routers, at: now}
	for n, s := range t.neighbours {
		if now.Sub(s.at) > place.BacklogTTL {
			delete(t.neighbours, n)
		}
	}
	all := 0
	for _, s := range t.neighbours {
		all += s.routers
	}
	if all >= t.size || now.Sub(t.sizeAt) > sizeLife {
		t.size, t.sizeAt = all, now
	}
}

// Drop forgets what a neighbour stated. A router that turns to another peer must not
// pass on what the one before said: both would be counted twice.
func (t *Totals) Drop(neighbour string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.neighbours, neighbour)
}

// Size returns the largest number of routers, this one among them, of the last minute.
func (t *Totals) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.size, 1)
}

// Without returns the sums over all neighbours but one, one for each upstream, and the
// number of routers that they speak for.
func (t *Totals) Without(neighbour string, now time.Time) (bs []place.Backlog, routers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[ident.UpstreamID]place.Backlog{}
	for n, s := range t.neighbours {
		if n == neighbour || now.Sub(s.at) > place.BacklogTTL {
			continue
		}
		routers += s.routers
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
	if len(out) > maxBacklog {
		slices.SortFunc(out, func(a, b place.Backlog) int { return cmp.Compare(b.Work, a.Work) })
		out = out[:maxBacklog]
	}
	return out, routers
}
