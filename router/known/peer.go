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
	// peerFirst and peerAgain bound the pause after a peer failed. It doubles with
	// each failure: instances that start together find each other soon.
	peerFirst = 250 * time.Millisecond
	peerAgain = 3 * time.Second
	// peerOld is the pause after a peer whose knowledge was too old: it hears of the
	// store's return first.
	peerOld = 300 * time.Millisecond
	// oldLife is how long a peer whose orders were too old is left alone by the other
	// topics: longer than the time between two questions for its orders.
	oldLife = time.Second
	// peerPoll is how often it is checked whether a peer may be asked again.
	peerPoll = 50 * time.Millisecond
	// startLimit bounds the time of a peer's answer to an instance that starts.
	startLimit = 100 * time.Millisecond
	// awayPause is the pause between reads of a store that is away while a peer
	// answers; thirty instances that each asked every 0.4 s made 850 calls in 8 s.
	awayPause = 1600 * time.Millisecond
)

// peerAge is the age of a peer's knowledge from which another source is asked: the
// wait of the topic at the store, what a watch may miss, and the way through a peer.
// A peer whose orders are too old has lost the store, whatever its other topics say.
var peerAge = map[Topic]time.Duration{
	TopicOrders:    1700 * time.Millisecond,
	TopicUpstreams: 4200 * time.Millisecond,
	TopicProgress:  3200 * time.Millisecond,
}

// ownAge is the age of own knowledge up to which a peer that failed is waited for
// before the store is asked.
var ownAge = map[Topic]time.Duration{
	TopicOrders:    time.Second,
	TopicUpstreams: 1200 * time.Millisecond,
	TopicProgress:  1500 * time.Millisecond,
}

// Peer is another instance that shares what it knows.
type Peer struct {
	Address string
	Source
}

// route chooses the peer of the next read: the first that has not failed of late.
// The zero value has no peers.
type route struct {
	peers  int
	failed map[int]failure
}

// failure is why a peer is not asked for a while.
type failure struct {
	until time.Time
	pause time.Duration
}

// next returns the peer to ask; false means the store.
func (r *route) next(now time.Time) (int, bool) {
	for i := range r.peers {
		if !now.Before(r.failed[i].until) {
			return i, true
		}
	}
	return 0, false
}

// fail keeps a peer from being asked for a while, longer each time.
func (r *route) fail(i int, now time.Time) {
	r.hold(i, min(max(2*r.failed[i].pause, peerFirst), peerAgain), now)
}

// hold keeps a peer from being asked for a given time.
func (r *route) hold(i int, pause time.Duration, now time.Time) {
	if r.failed == nil {
		r.failed = map[int]failure{}
	}
	r.failed[i] = failure{until: now.Add(pause), pause: pause}
}

// worked forgets a peer's failures.
func (r *route) worked(i int) { delete(r.failed, i) }

// direct reports whether the next read goes to the store.
func (r *route) direct() bool {
	_, ok := r.next(time.Now())
	return !ok
}

// askPeer reads from the first peer that knows enough. It reports false if the
// store must be asked.
func (f *follower) askPeer(ctx context.Context) (ReadResult, bool) {
	for ctx.Err() == nil {
		i, ok := f.route.next(time.Now())
		if !ok {
			return ReadResult{}, false
		}
		if f.topic != TopicOrders && f.isOld(i) {
			f.reached = time.Now()
			f.route.hold(i, peerOld, f.reached)
			continue
		}
		p, err := f.askOne(ctx, f.peers[i])
		if err == nil && p.Age < peerAge[f.topic] && p.Revision >= f.after {
			f.route.worked(i)
			f.whole = false
			f.setOld(i, false)
			return p, true
		}
		var h *HistoryLostError
		if errors.As(err, &h) && f.synced {
			// The peer's history is short; it still knows everything as of now.
			f.synced = false
			continue
		}
		if err == nil {
			f.reached = time.Now()
			f.route.hold(i, peerOld, f.reached)
			f.setOld(i, true)
		} else {
			f.route.fail(i, time.Now())
		}
		f.log.Info().AnErr("reason", err).Str("peer", f.peers[i].Address).Stringer("topic", f.topic).
			Dur("age", p.Age).Msg("peer not used for a while")
	}
	return ReadResult{}, false
}

// setOld records whether a peer's orders are too old.
func (f *follower) setOld(i int, old bool) {
	switch {
	case f.topic != TopicOrders:
	case old:
		f.old[i].Store(int64(f.now() + oldLife))
	default:
		f.old[i].Store(0)
	}
}

// isOld reports whether a peer's orders were too old of late.
func (f *follower) isOld(i int) bool {
	return f.now() < time.Duration(f.old[i].Load())
}

// awaitPeer waits a moment for a peer. It reports false once the store must be asked.
func (f *follower) awaitPeer(ctx context.Context) bool {
	if len(f.peers) == 0 || !f.synced || f.now() >= f.storeDue {
		return false
	}
	f.sleep(ctx, peerPoll)
	return true
}

func (f *follower) askOne(ctx context.Context, p Peer) (ReadResult, error) {
	ctx, stop := context.WithTimeout(ctx, peerWait+peerLimit)
	defer stop()
	f.sent = f.now()
	if !f.synced {
		return p.Snapshot(ctx, f.topic)
	}
	return p.Watch(ctx, f.topic, f.after, peerWait)
}

// askFirst reads a topic as of the start. A peer that is there costs no call of the
// store; instances that start together don't know anything yet, but the store does.
func (f *follower) askFirst(ctx context.Context) (ReadResult, bool) {
	if len(f.peers) > 0 {
		p, err := func() (ReadResult, error) {
			ctx, stop := context.WithTimeout(ctx, startLimit)
			defer stop()
			f.sent = f.now()
			return f.peers[0].Snapshot(ctx, f.topic)
		}()
		if err == nil && p.Age < peerAge[f.topic] {
			return p, true
		}
	}
	p, err := f.snapshot(ctx, firstLimit)
	return p, err == nil
}

// ReadsStore reports whether this instance reads the store itself.
func (n *Syncer) ReadsStore() bool {
	return len(n.peers) == 0
}
