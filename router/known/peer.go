package known

import (
	"context"
	"errors"
	"time"
)

const (
	// peerWait bounds how long a peer holds a question without news. Its answer
	// proves freshness only as of the question, and costs nothing but time.
	peerWait = 150 * time.Millisecond
	// peerLimit is how long a peer's answer may take beyond the wait.
	peerLimit = 300 * time.Millisecond
	// peerAgain is when a peer that failed is asked again.
	peerAgain = 3 * time.Second
)

// peerAge is the age of a peer's knowledge from which another source is asked: the
// wait of the topic at the store, what a watch may miss, and the way through a peer.
var peerAge = map[Topic]time.Duration{
	TopicOrders:    2200 * time.Millisecond,
	TopicUpstreams: 4200 * time.Millisecond,
	TopicProgress:  3200 * time.Millisecond,
}

// Peer is another instance that shares what it knows.
type Peer struct {
	Address string
	Source
}

// route chooses the source of the next read: the first peer that has not failed
// of late, or the store. The zero value without peers reads from the store.
type route struct {
	peers  int
	failed map[int]time.Time
}

// next returns the peer to ask; false means the store.
func (r *route) next(now time.Time) (int, bool) {
	for i := range r.peers {
		if t, ok := r.failed[i]; !ok || now.Sub(t) >= peerAgain {
			return i, true
		}
	}
	return 0, false
}

// fail keeps a peer from being asked for a while.
func (r *route) fail(i int, now time.Time) {
	if r.failed == nil {
		r.failed = map[int]time.Time{}
	}
	r.failed[i] = now
}

// direct reports whether the next read goes to the store.
func (r *route) direct() bool {
	_, ok := r.next(time.Now())
	return !ok
}

// askPeer reads from the first peer that knows enough. It reports false if the
// store must be asked.
func (f *follower) askPeer(ctx context.Context) (Page, bool) {
	for ctx.Err() == nil {
		i, ok := f.route.next(time.Now())
		if !ok {
			return Page{}, false
		}
		p, err := f.askOne(ctx, f.peers[i])
		if err == nil && p.Age < peerAge[f.topic] && p.Revision >= f.after {
			return p, true
		}
		var h *HistoryLostError
		if errors.As(err, &h) && f.synced {
			// The peer's history is short; it still knows everything as of now.
			f.synced = false
			continue
		}
		f.route.fail(i, time.Now())
		f.log.Info().AnErr("reason", err).Str("peer", f.peers[i].Address).Stringer("topic", f.topic).
			Dur("age", p.Age).Msg("peer not used for a while")
	}
	return Page{}, false
}

func (f *follower) askOne(ctx context.Context, p Peer) (Page, error) {
	ctx, stop := context.WithTimeout(ctx, peerWait+peerLimit)
	defer stop()
	if !f.synced {
		return p.Snapshot(ctx, f.topic)
	}
	return p.Follow(ctx, f.topic, f.after, peerWait)
}

// Direct reports whether this instance reads the store itself.
func (n *Node) Direct() bool {
	return len(n.peers) == 0
}
