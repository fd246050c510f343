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
	// placeTTL is how long a router uses the number of routers that a peer stated, also if a peer
	// states a smaller one: a peer that has just started doesn't know the others yet.
	placeTTL = 10 * time.Second
	// startupTime is how long a router that has started counts at least minRouters: after
	// failedPeerPause, those that asked it before its restart ask it again.
	startupTime = failedPeerPause + time.Second
	minRouters  = 10
	// boundTTL is how long the largest number of routers bounds them. Routers that are cut off from each other count
	// only those on their side, and would together use a rate twice.
	boundTTL = time.Hour
)

// ranking is a router's place among all routers. Each router numbers those that exchange with it,
// behind its own rank, and passes the number of routers on as it got it: with different numbers,
// routers would divide limits differently and use the same slots. The router that has no peer has
// rank 0 and counts the routers. It is safe for concurrent use.
type ranking struct {
	mu        sync.Mutex
	startedAt time.Time
	rank      int
	// stated is what the peer stated last, at numberedAt. size is the largest number that it stated
	// within placeTTL, at sizeAt.
	stated, size       int
	numberedAt, sizeAt time.Time
	// root is true if the router has no peer, so that it numbers itself. leastBound is the least number of routers
	// that it then counts with while it knows no other; 0 means none.
	root       bool
	leastBound int
	// bound is the largest number of routers within boundTTL, found at boundAt; 0 until one is known.
	// firstNumbered is when a peer first stated a place.
	bound                  int
	boundAt, firstNumbered time.Time
}

// set takes over a place that a peer stated.
func (p *ranking) set(s pacer.Share, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rank, p.stated, p.numberedAt = s.Rank, s.Size, now
	if p.firstNumbered.IsZero() {
		p.firstNumbered = now
	}
	if s.Size >= p.size || now.Sub(p.sizeAt) > placeTTL {
		p.size, p.sizeAt = s.Size, now
	}
}

// ownShare returns the place by which this router divides limits. count is the number of routers as
// this router counts them.
func (p *ranking) ownShare(count int, now time.Time) pacer.Share {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := p.number(p.size, count, now)
	return pacer.Share{Rank: p.rank, Size: size, Bound: p.updateBound(size, now)}
}

// updateBound returns the number of routers that there are at most, given the present number; 0 if it isn't known.
// The caller holds the lock.
func (p *ranking) updateBound(size int, now time.Time) int {
	if p.root && size <= 1 {
		size = max(size, p.leastBound)
	}
	switch known := p.known(now); {
	case !known && p.bound == 0:
		return 0
	case size >= p.bound || (known && now.Sub(p.boundAt) > boundTTL):
		p.bound, p.boundAt = size, now
	}
	return p.bound
}

// known reports whether the number of routers is known: a peer states it, and its router has had startupTime to count
// those that started together with it. The caller holds the lock.
func (p *ranking) known(now time.Time) bool {
	if p.root {
		return now.Sub(p.startedAt) > startupTime
	}
	return !p.firstNumbered.IsZero() && now.Sub(p.firstNumbered) > startupTime && now.Sub(p.numberedAt) <= placeTTL
}

// statedShare returns the place from which this router numbers others, with the newest number of
// routers: the others keep a larger one themselves.
func (p *ranking) statedShare(count int, now time.Time) pacer.Share {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pacer.Share{Rank: p.rank, Size: p.number(p.stated, count, now)}
}

// number returns the number of routers by a peer, or the own count if no peer stated one. The
// caller holds the lock.
func (p *ranking) number(byPeer, count int, now time.Time) int {
	switch {
	case now.Sub(p.numberedAt) <= placeTTL:
		return byPeer
	case now.Sub(p.startedAt) <= startupTime:
		return max(count, minRouters)
	default:
		return count
	}
}
