// Package place chooses an upstream for an attempt from what this instance sent,
// what upstreams reported, where prefixes are likely cached, and where they stand.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/retry"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
)

const (
	// reportLife is how long an upstream's report of its load counts.
	reportLife = 2 * time.Second
	// domainCost is the predicted loss, in ms, of leaving the failure domain.
	domainCost = 120.0
	// runningCost is the slow-down, in ms, by each request that runs beside.
	runningCost = 12.0
	// waitingCost is the loss, in ms, by each request that waits ahead.
	waitingCost = 60.0
	// prefillPerMs is the number of prompt tokens that an engine reads in a ms.
	prefillPerMs = 92.0
)

// Query describes the attempt to place.
type Query struct {
	Service ident.ServiceID
	Domain  ident.DomainID
	// Accept reports whether an upstream may be used at all; nil accepts all.
	Accept func(u *fleet.Upstream) bool
	// Exclude names upstreams already tried.
	Exclude []ident.UpstreamID
	// Affinity names what upstreams may have cached; it is empty without a shared prefix.
	Affinity string
	// Cached is the number of prompt tokens that a hit saves.
	Cached ident.Tokens
	// Pace is the time of a token relative to the reference model; 0 counts as 1.
	Pace float64
}

// Choice is a chosen upstream and why.
type Choice struct {
	Upstream *fleet.Upstream
	// Cost is the predicted delay in ms.
	Cost float64
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Affine is true for the upstream that the prefix prefers.
	Affine bool
}

type load struct {
	own      int
	sent     int // sent since the report
	reported call.Load
	at       time.Time
}

// Book keeps the load of upstreams as this instance knows it. It is safe for
// concurrent use.
type Book struct {
	mu       sync.Mutex
	loads    map[ident.UpstreamID]*load
	outliers *retry.Outliers
}

// New returns an empty book.
func New() *Book {
	return &Book{loads: map[ident.UpstreamID]*load{}, outliers: retry.NewOutliers()}
}

// Pick returns the upstream with the lowest predicted delay. It returns false if
// none may be used. Upstreams that keep failing are used only if no other is left.
func (b *Book) Pick(us []*fleet.Upstream, q Query, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	home := b.home(us, q)
	best := Choice{}
	worst := true
	for _, u := range us {
		if u.Draining || (q.Accept != nil && !q.Accept(u)) || excluded(q.Exclude, u.ID) {
			continue
		}
		best.Candidates++
		c := b.cost(u, q, home, now)
		ejected := b.outliers.Ejected(u.ID, now)
		if best.Upstream == nil || (worst && !ejected) || (ejected == worst && c < best.Cost) {
			best.Upstream, best.Cost, best.Affine = u, c, u == home
			worst = ejected
		}
	}
	return best, best.Upstream != nil
}

// home returns the upstream that a prefix prefers. All instances of a failure
// domain choose the same one by rendezvous hashing, without a message.
func (b *Book) home(us []*fleet.Upstream, q Query) *fleet.Upstream {
	if q.Affinity == "" {
		return nil
	}
	var best *fleet.Upstream
	var top uint64
	near := false
	for _, u := range us {
		if u.Draining || (q.Accept != nil && !q.Accept(u)) {
			continue
		}
		n := u.Domain == q.Domain
		h := xxhash.Sum64String(q.Affinity + "\x00" + string(u.ID))
		if best == nil || (n && !near) || (n == near && h > top) {
			best, top, near = u, h, n
		}
	}
	return best
}

func (b *Book) cost(u *fleet.Upstream, q Query, home *fleet.Upstream, now time.Time) float64 {
	running, waiting := b.work(u, now)
	c := float64(running)*runningCost + float64(waiting)*waitingCost
	if u.Domain != q.Domain {
		c += domainCost
	}
	if home != nil && u != home {
		pace := q.Pace
		if pace == 0 {
			pace = 1
		}
		c += float64(q.Cached) / prefillPerMs * pace
	}
	return c
}

// work estimates the running and waiting requests of an upstream.
func (b *Book) work(u *fleet.Upstream, now time.Time) (running, waiting int) {
	l := b.loads[u.ID]
	if l == nil {
		return 0, 0
	}
	running = l.own
	if now.Sub(l.at) < reportLife {
		running = max(l.own, l.reported.Running+l.sent)
		waiting = l.reported.Waiting
	}
	if u.Slots > 0 && running > u.Slots {
		waiting += running - u.Slots
		running = u.Slots
	}
	return running, waiting
}

// Start records an attempt.
func (b *Book) Start(id ident.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	l.own++
	l.sent++
}

// End records the end of an attempt.
func (b *Book) End(id ident.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		l.own--
	}
}

// Reported records an upstream's report of its load.
func (b *Book) Reported(id ident.UpstreamID, r call.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		l.reported, l.at, l.sent = r, now, 0
	}
}

// Judge records whether an attempt ended well, among n upstreams of the service.
func (b *Book) Judge(id ident.UpstreamID, ok bool, n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.outliers.Success(id)
		return
	}
	b.outliers.Failure(id, n, now)
}

// Forget drops what is known of upstreams that are gone and carry nothing of ours.
func (b *Book) Forget(l *fleet.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := l.All()
	for id, x := range b.loads {
		if listed[id] == nil && x.own <= 0 {
			delete(b.loads, id)
		}
	}
	b.outliers.Forget(func(id ident.UpstreamID) bool { return listed[id] != nil })
}

func excluded(ids []ident.UpstreamID, id ident.UpstreamID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
