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
	// maxBacklog bounds the upstreams in the backlog of one message; those with the most
	// work are kept.
	maxBacklog = 256
	// sizeTTL is how long the largest number of routers is used: a router that was cut
	// off must not use the shares of the others.
	sizeTTL = time.Minute
	// neighbourTTL is how long a neighbour that sends nothing keeps its place in the numbers of
	// routers: longer than the longest pause between its messages.
	neighbourTTL = 4 * time.Second
)

// Totals sums up the work that routers have sent and that has no response yet. Each
// neighbour sends the sum of the routers behind it, and gets a sum without these, so that
// nothing is counted twice as long as the routers form a tree. It is safe for concurrent
// use.
type Totals struct {
	mu         sync.Mutex
	neighbours map[string]neighbourTotal
	size       int
	sizeAt     time.Time
}

// neighbourTotal is what a neighbour sent last.
type neighbourTotal struct {
	backlog []place.Backlog
	routers int
	at      time.Time
}

// NewTotals returns totals without neighbours.
func NewTotals() *Totals {
	return &Totals{neighbours: map[string]neighbourTotal{}}
}

// Set replaces the backlog and the number of the routers behind a neighbour.
func (t *Totals) Set(neighbour string, bs []place.Backlog, routers int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.neighbours[neighbour] = neighbourTotal{backlog: bs, routers: routers, at: now}
	all := 0
	for n, s := range t.neighbours {
		switch age := now.Sub(s.at); {
		case age > neighbourTTL:
			delete(t.neighbours, n)
		case age <= place.BacklogTTL:
			all += s.routers
		}
	}
	if all >= t.size || now.Sub(t.sizeAt) > sizeTTL {
		t.size, t.sizeAt = all, now
	}
}

// Drop removes what a neighbour sent. A router that switches to another peer must not
// pass on what the previous peer sent: it would be counted twice.
func (t *Totals) Drop(neighbour string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.neighbours, neighbour)
}

// Size returns the largest number of routers within the last minute, including this one.
// It is at least 1.
func (t *Totals) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.size, 1)
}

// Before returns the number of routers behind the neighbours with lower names than the given one,
// without those for which skip returns true.
func (t *Totals) Before(neighbour string, skip func(neighbour string) bool, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for x, s := range t.neighbours {
		if x < neighbour && !skip(x) && now.Sub(s.at) <= neighbourTTL {
			n += s.routers
		}
	}
	return n
}

// Without returns the backlog of all neighbours but one, summed up for each upstream, and
// the number of routers that it includes.
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
