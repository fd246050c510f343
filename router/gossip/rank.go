package gossip

import (
	"sync"
	"time"

	"tarragonvalve.example/router/pacer"
)

const (
	// unnumberedRanks is the number of ranks among which a router without a rank chooses by its
	// name: many more than there are routers.
	unnumberedRanks = 1 << 20
	// placeTTL is how long a router uses the number of routers that a peer stated. A router that no
	// peer numbers any longer counts itself.
	placeTTL = 10 * time.Second
)

// ranking is a router's place among all routers. Each router numbers those that exchange with it,
// behind its own rank, and passes the number of routers on as it got it: with different numbers,
// routers would divide limits differently and use the same slots. The router that has no peer has
// rank 0 and counts the routers. It is safe for concurrent use.
type ranking struct {
	mu   sync.Mutex
	rank int
	// size is what the peer stated at numberedAt.
	size       int
	numberedAt time.Time
}

// set takes over a place that a peer stated.
func (p *ranking) set(s pacer.Share, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rank, p.size, p.numberedAt = s.Rank, s.Size, now
}

// share returns the place. count is the number of routers as this router counts them.
func (p *ranking) share(count int, now time.Time) pacer.Share {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.numberedAt) > placeTTL {
		return pacer.Share{Rank: p.rank, Size: count}
	}
	return pacer.Share{Rank: p.rank, Size: p.size}
}
