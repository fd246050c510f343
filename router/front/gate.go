package front

import (
	"sync/atomic"
	"time"

	"tarragonvalve.example/router/clock"
	"tarragonvalve.example/router/known"
)

const (
	// revokeMargin is subtracted from the bound on keys that were taken away: the
	// check and the send are not one moment.
	revokeMargin = 300 * time.Millisecond
	// streamsClose is how long after the begin of the stop new streams are still
	// accepted; later ones could not end within the grace period.
	streamsClose = 3 * time.Second
)

// Gate says what the instance may accept now. It is safe for concurrent use.
type Gate struct {
	node *known.Syncer
	now  clock.Func
	// revoke returns the time within which a key that was taken away must stop.
	revoke  func() time.Duration
	stopped atomic.Int64 // when the stop began, in ns; 0 before
	open    atomic.Int64 // requests in progress
}

// NewGate returns a gate. revoke returns the time within which a key that was
// taken away must stop.
func NewGate(n *known.Syncer, now clock.Func, revoke func() time.Duration) *Gate {
	return &Gate{node: n, now: now, revoke: revoke}
}

// Fresh reports whether the configuration is provably fresh enough for keys.
func (g *Gate) Fresh() bool {
	a, ok := g.node.ConfigAge()
	return ok && a < g.revoke()-revokeMargin
}

// Ready reports whether the instance shall get new connections.
func (g *Gate) Ready() bool {
	v := g.node.View()
	return !g.Stopping() && v.Document != nil && v.UpstreamsRead && g.Fresh()
}

// Stop begins the stop.
func (g *Gate) Stop() {
	g.stopped.CompareAndSwap(0, int64(g.now()))
}

// Stopping reports whether the stop has begun.
func (g *Gate) Stopping() bool {
	return g.stopped.Load() != 0
}

// Closed reports whether long requests are refused because the instance stops.
func (g *Gate) Closed() bool {
	s := g.stopped.Load()
	return s != 0 && g.now()-time.Duration(s) > streamsClose
}

// Open returns the number of requests in progress.
func (g *Gate) Open() int {
	return int(g.open.Load())
}

func (g *Gate) enter() { g.open.Add(1) }

func (g *Gate) leave() { g.open.Add(-1) }
