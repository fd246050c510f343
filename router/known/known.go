package known

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/clock"
)

const (
	// ordersWait, upstreamsWait and progressWait bound how long the store holds a
	// question without news. A key taken away must stop within 5 s, and requests
	// count for 3 s after contact was lost: the answers that prove freshness must
	// come often, also by way of two peers. The same answers show others that a
	// peer has lost the store, which they must know before a draining upstream's
	// 2 s are over. Only one router asks the store.
	ordersWait    = 450 * time.Millisecond
	upstreamsWait = 2500 * time.Millisecond
	progressWait  = 1500 * time.Millisecond
	// deafness is how long the store's watch may miss changes before it ends
	// (platform's page): an answer without news proves nothing of that time.
	deafness = 800 * time.Millisecond
	// gather is the pause after changes of upstreams, so that several that come
	// together cost one answer. Leaving upstreams serve for two seconds more.
	gather = 250 * time.Millisecond
	// answerLimit is how long an answer may take beyond the wait. A store
	// slowed eighty times takes 0.4 s.
	answerLimit = 1200 * time.Millisecond
	// firstLimit is the same for the first question, before peers are asked.
	firstLimit = 500 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// retryAway is the pause of the other topics while the store is away.
	retryAway = 700 * time.Millisecond
	// staleAfter is the age of an answer above which it is no evidence of freshness.
	staleAfter = 500 * time.Millisecond
)

// Syncer keeps the view current.
type Syncer struct {
	store Store
	// peers are read before the store, which has a price for each call.
	peers []Peer
	now   clock.Func
	log   zerolog.Logger
	logs  map[Topic]*recordLog

	view    atomic.Pointer[View]
	proved  atomic.Int64 // local time, in ns, as of which the orders are known
	updates chan update
	changed atomic.Pointer[chan struct{}]

	mu       sync.Mutex // guards evidence
	evidence clockEstimate
	// old says for each peer until when, in ns of the local clock, its knowledge
	// counts as old for all topics.
	old []atomic.Int64
}

// update is one answered read, handed to the control goroutine.
type update struct {
	topic    Topic
	changes  []Change
	snapshot bool
	returned bool
}

// New returns a node that knows nothing yet. It reads from the first peer that
// answers, and from the store if none does.
func New(s Store, peers []Peer, now clock.Func, l zerolog.Logger) *Syncer {
	n := &Syncer{store: s, peers: peers, now: now, log: l, updates: make(chan update), old: make([]atomic.Int64, len(peers))}
	n.logs = map[Topic]*recordLog{TopicOrders: {}, TopicUpstreams: {}, TopicProgress: {}}
	n.view.Store(newState().view())
	c := make(chan struct{})
	n.changed.Store(&c)
	n.proved.Store(-1)
	return n
}

// View returns the latest snapshot; it never blocks.
func (n *Syncer) View() *View {
	return n.view.Load()
}

// Changed returns a channel that is closed at the next change of the view.
func (n *Syncer) Changed() <-chan struct{} {
	return *n.changed.Load()
}

// ConfigAge returns how old the configuration may be at most. The second result is
// false until a configuration was read.
func (n *Syncer) ConfigAge() (time.Duration, bool) {
	p := n.proved.Load()
	if p < 0 {
		return 0, false
	}
	return n.now() - time.Duration(p), true
}

// StoreClock estimates the store's clock.
func (n *Syncer) StoreClock() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now() + n.evidence.offset, n.evidence.set
}

// SaveProgress writes the state of a roll-out under the condition that no one else did.
func (n *Syncer) SaveProgress(ctx context.Context, p canary.Progress, seen Revision) error {
	ctx, stop := context.WithTimeout(ctx, answerLimit)
	defer stop()
	return n.store.SaveProgress(ctx, p, seen)
}

// SaveTally writes what this instance saw of a new version.
func (n *Syncer) SaveTally(ctx context.Context, t canary.Tally) error {
	ctx, stop := context.WithTimeout(ctx, answerLimit)
	defer stop()
	return n.store.SaveTally(ctx, t)
}

// Name is the name of the step.
func (n *Syncer) Name() string { return "known" }

// Run follows the store until ctx ends.
func (n *Syncer) Run(ctx context.Context) error {
	var w sync.WaitGroup
	w.Go(func() { n.follow(ctx, TopicOrders, ordersWait, nil) })
	w.Go(func() { n.follow(ctx, TopicUpstreams, upstreamsWait, nil) })
	w.Go(func() { n.follow(ctx, TopicProgress, progressWait, n.rollingOut) })
	n.control(ctx)
	w.Wait()
	return nil
}

// rollingOut reports whether a roll-out is under way as far as is known.
func (n *Syncer) rollingOut() bool {
	v := n.View()
	for s, o := range v.Orders {
		p, ok := v.Progress[s]
		if !ok || p.Progress.Order != o.Revision || !p.Progress.Phase.Final() {
			return true
		}
	}
	return false
}

// control owns the state and publishes a view after each change.
func (n *Syncer) control(ctx context.Context) {
	s := newState()
	tick := time.NewTicker(returnGrace / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if s.expire(n.now()) {
				n.publish(s)
			}
		case u := <-n.updates:
			if n.take(s, u) {
				n.publish(s)
			}
		}
	}
}

func (n *Syncer) take(s *state, u update) bool {
	now := n.now()
	if u.returned {
		s.returned(now)
	}
	changed := false
	if u.snapshot && u.topic == TopicUpstreams {
		changed = s.reset(u.changes, now)
	}
	if u.topic == TopicProgress && !s.progressRead {
		s.progressRead = true
		changed = true
	}
	for _, c := range u.changes {
		if s.apply(c, now) {
			changed = true
			n.record(c)
		}
	}
	return changed
}

func (n *Syncer) publish(s *state) {
	n.view.Store(s.view())
	next := make(chan struct{})
	close(*n.changed.Swap(&next))
}

// follow reads one topic until ctx ends. While needed is set and false it waits
// for the view to change.
func (n *Syncer) follow(ctx context.Context, t Topic, wait time.Duration, needed func() bool) {
	f := follower{Syncer: n, topic: t, wait: wait, route: route{peers: len(n.peers)}, first: true}
	f.pause = &backoff.ExponentialBackOff{
		InitialInterval: retryFirst, MaxInterval: retryMost, Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	f.pause.Reset()
	for ctx.Err() == nil {
		c := n.Changed()
		if needed != nil && !needed() {
			select {
			case <-ctx.Done():
			case <-c:
			}
			continue
		}
		f.read(ctx)
	}
}

// follower is the state of reading one topic.
type follower struct {
	*Syncer
	topic  Topic
	wait   time.Duration
	synced bool
	after  Revision
	lost   bool
	pause  *backoff.ExponentialBackOff
	route  route
	// sent is when the last question was sent.
	sent time.Duration
	// first is true until the topic was read once.
	first bool
	// whole is true if the store must be read whole: after an outage its history may
	// lack removals.
	whole bool
	// storeDue is the time from which the store is asked if no peer answers.
	storeDue time.Duration
	// reached is when a peer last answered with knowledge that was too old.
	reached time.Time
}

func (f *follower) read(ctx context.Context) {
	p, err := f.ask(ctx)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.pause.Reset()
	asOf := f.asOf(f.sent, p)
	if p.Revision < f.after || asOf < f.sent-p.Age-staleAfter {
		f.log.Warn().Stringer("topic", f.topic).Dur("behind", f.sent-asOf).Uint64("revision", uint64(p.Revision)).Msg("stale answer of the store ignored")
		f.sleep(ctx, retryMost)
		return
	}
	f.logs[f.topic].take(p, asOf)
	u := update{topic: f.topic, changes: f.store.Decode(f.topic, p.Records), snapshot: p.Snapshot, returned: f.lost}
	select {
	case <-ctx.Done():
		return
	case f.updates <- u:
	}
	if f.lost {
		f.lost = false
		f.log.Info().Str("dependency", "store").Stringer("topic", f.topic).Msg("dependency regained")
	}
	if f.topic == TopicOrders {
		f.proved.Store(max(f.proved.Load(), int64(asOf)))
	}
	if f.topic == TopicUpstreams && f.synced && len(p.Records) > 0 && f.route.direct() {
		f.sleep(ctx, gather)
	}
	f.synced, f.first, f.whole = true, false, false
	f.after = p.Revision
	f.storeDue = asOf + ownAge[f.topic]
}

// asOf returns the local time at which an answer was current at the latest.
func (f *follower) asOf(sent time.Duration, p ReadResult) time.Duration {
	received := f.now()
	if !p.Snapshot && p.Age == 0 {
		// The store's watch answers at the end of its wait. It may be received later:
		// the machine may have been suspended meanwhile.
		sent = max(sent, min(received, sent+f.wait)-deafness)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.AsOf(sent, received, p.StoreClock) - p.Age
}

func (f *follower) ask(ctx context.Context) (ReadResult, error) {
	if f.first {
		if p, ok := f.askFirst(ctx); ok {
			return p, nil
		}
	}
	for ctx.Err() == nil {
		if p, ok := f.askPeer(ctx); ok {
			return p, nil
		}
		if !f.awaitPeer(ctx) {
			break
		}
	}
	if !f.synced || f.whole {
		return f.snapshot(ctx, answerLimit)
	}
	ctx, stop := context.WithTimeout(ctx, f.wait+answerLimit)
	defer stop()
	f.sent = f.now()
	return f.store.Watch(ctx, f.topic, f.after, f.wait)
}

func (f *follower) snapshot(ctx context.Context, limit time.Duration) (ReadResult, error) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	f.sent = f.now()
	return f.store.Snapshot(ctx, f.topic)
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var h *HistoryLostError
	if errors.As(err, &h) {
		f.synced = false
		f.log.Info().Stringer("topic", f.topic).Uint64("after", uint64(f.after)).Msg("history of the store lost, reading everything")
		return
	}
	if !f.lost {
		f.lost = true
		f.log.Warn().Err(err).Str("dependency", "store").Stringer("topic", f.topic).Msg("dependency lost")
	}
	f.whole = true
	d := f.pause.NextBackOff()
	if time.Since(f.reached) < answerLimit {
		// The peer reads the store as well, and answers when it is back.
		f.storeDue = f.now() + awayPause/2 + rand.N(awayPause)
	}
	if f.topic != TopicOrders {
		// While the store is away, one topic finds out when it returns.
		d = f.untilBack(d)
	}
	f.sleep(ctx, d)
}

// untilBack returns how long a less important topic pauses after a failure:
// longer while the orders can't be read either.
func (f *follower) untilBack(d time.Duration) time.Duration {
	if a, ok := f.ConfigAge(); !ok || a > ordersWait+answerLimit {
		return retryAway
	}
	return d
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
