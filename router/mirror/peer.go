package mirror

import (
	"context"
	"errors"
	"time"

	"tarragonvalve.example/core/clock"
)

const (
	// peerWait is how long a peer holds a read that has no change. Its response proves
	// freshness only as of the request; a short wait has no price at a peer.
	peerWait = 150 * time.Millisecond
	// peerTimeout is how long a peer's response may take beyond the wait.
	peerTimeout = 300 * time.Millisecond
	// peerBackoffMin and peerBackoffMax bound the pause after a peer failed. The pause
	// doubles with each failure; its minimum is short so that instances that start
	// together find each other soon.
	peerBackoffMin = 250 * time.Millisecond
	peerBackoffMax = 3 * time.Second
	// stalePeerPause is the pause after a peer responded with stale content. It is short
	// because the peer notices the store's return first.
	stalePeerPause = 300 * time.Millisecond
	// stalePeerTTL is how long a peer with stale orders isn't used for the other topics.
	// It is longer than the time between two reads of its orders.
	stalePeerTTL = time.Second
	// peerPollInterval is the interval of checks whether a peer may be asked again.
	peerPollInterval = 50 * time.Millisecond
	// startPeerTimeout bounds a peer's response to an instance that starts.
	startPeerTimeout = 100 * time.Millisecond
	// outageReadPause is the pause between reads of an unavailable store while a peer
	// responds. With a pause of 0.4 s, 30 instances made 850 calls in 8 s.
	outageReadPause = 1600 * time.Millisecond
)

// maxPeerAge is the age from which a peer's content counts as stale: the wait of the
// topic at the store, the time that a watch may miss, and the delay of reading through a
// peer. A peer with stale orders has lost the store, even if its other topics are fresh.
var maxPeerAge = map[Topic]time.Duration{
	TopicOrders:    1700 * time.Millisecond,
	TopicUpstreams: 4200 * time.Millisecond,
	TopicProgress:  3200 * time.Millisecond,
}

// maxOwnAge is the age of this instance's content up to which it waits for a failed peer
// instead of reading from the store.
var maxOwnAge = map[Topic]time.Duration{
	TopicOrders:    time.Second,
	TopicUpstreams: 1200 * time.Millisecond,
	TopicProgress:  1500 * time.Millisecond,
}

// Peer is another instance that shares what it read from the store.
type Peer struct {
	Address string
	Source
}

// peerSelector selects the peer for the next read: the first that isn't paused. The zero
// value has no peers.
type peerSelector struct {
	peers  int
	paused map[int]peerPause
}

// peerPause is a pause in which a peer isn't asked.
type peerPause struct {
	until time.Time
	pause time.Duration
}

// next returns the index of the peer to ask. It returns false if the store must be read.
func (r *peerSelector) next(now time.Time) (int, bool) {
	for i := range r.peers {
		if !now.Before(r.paused[i].until) {
			return i, true
		}
	}
	return 0, false
}

// backOff pauses a peer after a failure. The pause doubles with each failure up to
// peerBackoffMax.
func (r *peerSelector) backOff(i int, now time.Time) {
	r.pauseFor(i, min(max(2*r.paused[i].pause, peerBackoffMin), peerBackoffMax), now)
}

// pauseFor pauses a peer for a given time.
func (r *peerSelector) pauseFor(i int, pause time.Duration, now time.Time) {
	if r.paused == nil {
		r.paused = map[int]peerPause{}
	}
	r.paused[i] = peerPause{until: now.Add(pause), pause: pause}
}

// succeeded clears a peer's pause.
func (r *peerSelector) succeeded(i int) { delete(r.paused, i) }

// toStore reports whether the next read goes to the store.
func (r *peerSelector) toStore() bool {
	_, ok := r.next(time.Now())
	return !ok
}

// readPeer reads from the first peer whose content is fresh. It returns false if none is
// left and the store must be read. It asks each peer once, and one of them for a snapshot, and none
// after one that failed if it is time to read the store: the pauses of failed peers may end while
// others hold their responses, so that there would always be one to ask.
func (f *topicWatcher) readPeer(ctx context.Context) (ReadResult, bool) {
	for range len(f.peers) + 1 {
		if ctx.Err() != nil {
			break
		}
		i, ok := f.peerChoice.next(time.Now())
		if !ok {
			return ReadResult{}, false
		}
		if f.topic != TopicOrders && f.peerStale(i) {
			f.stalePeerAt = time.Now()
			f.peerChoice.pauseFor(i, stalePeerPause, f.stalePeerAt)
			continue
		}
		p, err := f.queryPeer(ctx, f.peers[i])
		if err == nil && p.Age < maxPeerAge[f.topic] && p.Revision >= f.after {
			f.peerChoice.succeeded(i)
			f.needSnapshot = false
			f.setPeerStale(i, false)
			return p, true
		}
		var h *HistoryLostError
		if errors.As(err, &h) && f.synced {
			// The peer's log is compacted beyond our revision, but it can send a snapshot.
			f.synced = false
			continue
		}
		if err == nil {
			f.stalePeerAt = time.Now()
			f.peerChoice.pauseFor(i, stalePeerPause, f.stalePeerAt)
			f.setPeerStale(i, true)
		} else {
			f.peerChoice.backOff(i, time.Now())
		}
		f.log.Info().AnErr("reason", err).Str("peer", f.peers[i].Address).Stringer("topic", f.topic).
			Dur("age", p.Age).Msg("peer paused, its read failed or returned stale content")
		if f.synced && f.now() >= f.storeReadAt {
			break
		}
	}
	return ReadResult{}, false
}

// setPeerStale records whether a peer's orders are stale.
func (f *topicWatcher) setPeerStale(i int, stale bool) {
	switch {
	case f.topic != TopicOrders:
	case stale:
		f.peerStaleUntil[i].Store(int64(f.now() + stalePeerTTL))
	default:
		f.peerStaleUntil[i].Store(0)
	}
}

// peerStale reports whether a peer's orders were stale at most stalePeerTTL ago.
func (f *topicWatcher) peerStale(i int) bool {
	return f.now() < time.Duration(f.peerStaleUntil[i].Load())
}

// waitForPeer pauses for peerPollInterval. It returns false without a pause if the store
// must be read now.
func (f *topicWatcher) waitForPeer(ctx context.Context) bool {
	if len(f.peers) == 0 || !f.synced || f.now() >= f.storeReadAt {
		return false
	}
	f.sleep(ctx, peerPollInterval)
	return true
}

// queryPeer reads the changes of the topic from a peer, or a snapshot if needed. The time-out counts only time in which
// this process ran: an answer that came meanwhile is no failure of the peer.
func (f *topicWatcher) queryPeer(ctx context.Context, p Peer) (ReadResult, error) {
	ctx, stop := clock.WithTimeout(ctx, peerWait+peerTimeout)
	defer stop()
	f.sentAt = f.now()
	r, err := f.readFrom(ctx, p)
	if err != nil {
		err = clock.TimeoutOr(ctx, err)
	}
	return r, err
}

func (f *topicWatcher) readFrom(ctx context.Context, p Peer) (ReadResult, error) {
	if !f.synced {
		return p.Snapshot(ctx, f.topic)
	}
	return p.Watch(ctx, f.topic, f.after, peerWait)
}

// readFirst reads a topic when the instance starts, from the first peer or else from the
// store. A peer that responds in time saves a call of the store. Peers that start at the
// same time have read nothing yet, so the store follows at once.
func (f *topicWatcher) readFirst(ctx context.Context) (ReadResult, bool) {
	if len(f.peers) > 0 {
		p, err := func() (ReadResult, error) {
			ctx, stop := clock.WithTimeout(ctx, startPeerTimeout)
			defer stop()
			f.sentAt = f.now()
			return f.peers[0].Snapshot(ctx, f.topic)
		}()
		if err == nil && p.Age < maxPeerAge[f.topic] {
			return p, true
		}
	}
	p, err := f.snapshot(ctx, firstReadTimeout)
	return p, err == nil
}

// ReadsStore reports whether this instance reads only from the store, because it has no
// peers.
func (n *Syncer) ReadsStore() bool {
	return len(n.peers) == 0
}
