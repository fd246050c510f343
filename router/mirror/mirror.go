package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/poison"
)

const (
	// ordersWait, upstreamsWait and progressWait are how long the store holds a read of a
	// topic that has no change. A revoked key must be refused within 5 s, and the users
	// count requests for 3 s after contact with the store was lost, so the responses that
	// prove freshness must be frequent, even if they arrive through two peers. They also
	// show other instances that a peer has lost the store, which these must notice within
	// the 2 s that a draining upstream keeps serving. Only one router reads from the store.
	ordersWait    = 450 * time.Millisecond
	upstreamsWait = 2500 * time.Millisecond
	progressWait  = 1500 * time.Millisecond
	// watchBlindTime is how long the store's watch may miss changes before it ends (see
	// the platform's page): a response without changes proves nothing about that time.
	watchBlindTime = 800 * time.Millisecond
	// upstreamsDebounce is the pause after changes of upstreams, so that several changes
	// need only one response. Leaving upstreams serve for 2 s more.
	upstreamsDebounce = 250 * time.Millisecond
	// responseTimeout is how long a response may take beyond the wait. A store that is
	// slowed down 80 times takes 0.4 s.
	responseTimeout = 1200 * time.Millisecond
	// firstReadTimeout bounds the store's response to the first read. If that fails, the
	// peers are asked.
	firstReadTimeout = 500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed read.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// outagePause is the pause of the other topics while the store is unavailable.
	outagePause = 700 * time.Millisecond
	// maxStaleness is how far the content of a response may lag behind its request; a
	// response with an older content is ignored.
	maxStaleness = 500 * time.Millisecond
)

// Syncer keeps a view of the store's content up to date.
type Syncer struct {
	store Store
	// peers are read before the store, whose calls have a price.
	peers []Peer
	now   clock.Func
	log   zerolog.Logger
	logs  map[Topic]*recordLog

	view atomic.Pointer[View]
	// era is the newest era of the store, progressEra that in which the progress was read last.
	era, progressEra LatestEra
	updates          chan update
	// ignored counts the rows that can't be decoded.
	ignored atomic.Uint64
	changed atomic.Pointer[chan struct{}]

	mu       sync.Mutex // guards estimate
	estimate clockEstimate
	// peerStaleUntil holds, for each peer, the local time in ns until which its content
	// counts as stale for all topics.
	peerStaleUntil []atomic.Int64
}

// update is the result of one read, passed to the goroutine that owns the state.
type update struct {
	topic   Topic
	changes []Change
	// asOf is the local time as of which the content is current.
	asOf        time.Duration
	snapshot    bool
	afterOutage bool
	// restored is true for the first content of a new era of the store.
	restored bool
	// era is that of the content.
	era Era
	// readAt is when the content was received.
	readAt time.Time
	// partial is true if the changes are not all that was read.
	partial bool
}

// New returns a syncer that has read nothing yet. It reads from the first peer that
// responds, and from the store if none does.
func New(s Store, peers []Peer, now clock.Func, l zerolog.Logger) *Syncer {
	n := &Syncer{store: s, peers: peers, now: now, log: l, updates: make(chan update), peerStaleUntil: make([]atomic.Int64, len(peers))}
	n.logs = map[Topic]*recordLog{TopicOrders: {}, TopicUpstreams: {}, TopicProgress: {}}
	n.view.Store(newStoreState().view())
	c := make(chan struct{})
	n.changed.Store(&c)
	return n
}

// View returns the latest snapshot; it never blocks.
func (n *Syncer) View() *View {
	return n.view.Load()
}

// Changed returns a channel that is closed when the view changes next.
func (n *Syncer) Changed() <-chan struct{} {
	return *n.changed.Load()
}

// ConfigAge returns the largest possible age of the configuration. The second result is
// false until the configuration was read.
func (n *Syncer) ConfigAge() (time.Duration, bool) {
	return n.View().ConfigAge(n.now())
}

// StoreClock returns an estimate of the store's clock. The second result is false until
// the store's clock was read.
func (n *Syncer) StoreClock() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now() + n.estimate.offset, n.estimate.set
}

// SaveProgress writes the progress of a roll-out if its row still has the revision seen.
// It returns a *ConflictError if it hasn't.
func (n *Syncer) SaveProgress(ctx context.Context, p canary.Progress, seen Revision) error {
	ctx, stop := clock.WithTimeout(ctx, responseTimeout)
	defer stop()
	return n.store.SaveProgress(ctx, p, seen)
}

// SaveTrials writes the trials of quarantines if their row still has the revision seen. It returns a
// *ConflictError if it hasn't, and has then read the row: nothing else does without a roll-out in progress.
func (n *Syncer) SaveTrials(ctx context.Context, t poison.Trials, seen Revision) error {
	ctx, stop := clock.WithTimeout(ctx, responseTimeout)
	defer stop()
	err := n.store.SaveTrials(ctx, t, seen)
	var c *ConflictError
	if errors.As(err, &c) {
		return errors.Join(err, n.readTrials(ctx))
	}
	return err
}

// readTrials reads the trials of quarantines from the store.
func (n *Syncer) readTrials(ctx context.Context) error {
	p, err := n.store.Snapshot(ctx, TopicProgress)
	if err != nil {
		return err
	}
	u := update{topic: TopicProgress, partial: true}
	for _, c := range n.store.Decode(TopicProgress, p.Records) {
		if x, ok := c.(TrialsChanged); ok {
			u.changes = append(u.changes, x)
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case n.updates <- u:
		return nil
	}
}

// SaveTally writes what this instance counted for a new version.
func (n *Syncer) SaveTally(ctx context.Context, t canary.Tally) error {
	ctx, stop := clock.WithTimeout(ctx, responseTimeout)
	defer stop()
	return n.store.SaveTally(ctx, t)
}

// Name implements serve.Component.
func (n *Syncer) Name() string { return "known" }

// Run reads the store's topics until ctx ends.
func (n *Syncer) Run(ctx context.Context) error {
	var w sync.WaitGroup
	w.Go(func() { n.watchTopic(ctx, TopicOrders, ordersWait, nil) })
	w.Go(func() { n.watchTopic(ctx, TopicUpstreams, upstreamsWait, nil) })
	w.Go(func() { n.watchTopic(ctx, TopicProgress, progressWait, n.rolloutInProgress) })
	n.processUpdates(ctx)
	w.Wait()
	return nil
}

// rolloutInProgress reports whether an ordered roll-out has no final progress in the store, or whether
// that is unknown since the store came back from a copy.
func (n *Syncer) rolloutInProgress() bool {
	v := n.View()
	if len(v.Orders) > 0 && n.progressEra.Get() < n.era.Get() {
		return true
	}
	for s, o := range v.Orders {
		p, ok := v.Progress[s]
		if !ok || p.Progress.Order != o.Revision || !p.Progress.Phase.Final() || p.Lost {
			return true
		}
	}
	return false
}

// processUpdates owns the state and publishes a view after each change.
func (n *Syncer) processUpdates(ctx context.Context) {
	s := newStoreState()
	tick := time.NewTicker(outageGrace / 4)
	defer tick.Stop()
	cold := map[ident.UpstreamID]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if s.expire(n.now()) {
				n.publish(s)
			}
		case u := <-n.updates:
			changed := n.applyUpdate(s, u)
			switch renewed := s.renewOrders(u); {
			case changed:
				n.publish(s)
			case renewed:
				n.publishAge(s)
			}
		}
		n.logCold(cold, time.Now())
	}
}

// applyUpdate applies the result of a read to the state and reports whether the view
// changed.
func (n *Syncer) applyUpdate(s *storeState, u update) bool {
	now := n.now()
	if u.afterOutage || u.restored {
		s.outageEnded(now)
	}
	changed := false
	if u.snapshot && u.topic == TopicUpstreams {
		changed = s.reset(u.changes, now)
	}
	if u.snapshot && u.topic == TopicOrders {
		changed = s.resetEvacuations(u, now)
	}
	if u.topic == TopicProgress && !u.partial && !s.progressRead {
		s.progressRead = true
		changed = true
	}
	changes, kept := u.withoutKept()
	for _, c := range kept {
		changed = s.keepEvacuation(c, now) || changed
	}
	if u.restored {
		changed = true
		changes = s.withoutDoubted(changes, now, u.readAt)
		if u.topic == TopicProgress {
			s.markLost(changes)
		}
	}
	for _, c := range changes {
		c = s.withCold(s.bounded(c), u.readAt)
		repeated := s.onlyColdChanged(c)
		if _, ok := c.(InvalidRecord); ok {
			n.ignored.Add(1)
			n.logChange(c)
		}
		if s.apply(c, now) {
			changed = true
			if !repeated {
				n.logChange(c)
			}
		}
	}
	return changed
}

// IgnoredRows returns how many rows of the store were read and ignored as they can't be decoded. What was known
// before stays in force.
func (n *Syncer) IgnoredRows() uint64 { return n.ignored.Load() }

// publish replaces the view and wakes those that wait for a change.
func (n *Syncer) publish(s *storeState) {
	v := s.view()
	n.logEvacuations(n.view.Swap(v).Evacuated, v.Evacuated)
	next := make(chan struct{})
	close(*n.changed.Swap(&next))
}

// publishAge replaces the view by one that differs only in the age of the configuration. It wakes nobody.
func (n *Syncer) publishAge(s *storeState) {
	v := *n.View()
	v.ordersAsOf, v.ordersRead = s.ordersAsOf, s.ordersRead
	n.view.Store(&v)
}

// watchTopic reads a topic repeatedly until ctx ends. If needed is not nil and returns
// false, it waits for a change of the view first.
func (n *Syncer) watchTopic(ctx context.Context, t Topic, wait time.Duration, needed func() bool) {
	f := topicWatcher{Syncer: n, topic: t, wait: wait, peerChoice: peerSelector{peers: len(n.peers)}, firstRead: true}
	f.pause = &backoff.ExponentialBackOff{
		InitialInterval: retryMin, MaxInterval: retryMax, Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
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

// topicWatcher is the state of reading one topic.
type topicWatcher struct {
	*Syncer
	topic Topic
	wait  time.Duration
	// synced is true while changes after the revision after can be requested; otherwise a
	// snapshot is needed.
	synced bool
	after  Revision
	// storeLost is true from a failed read until the next successful one.
	storeLost bool
	// pause gives the pauses after failed reads.
	pause      *backoff.ExponentialBackOff
	peerChoice peerSelector
	// sentAt is when the last request was sent, by the local clock.
	sentAt time.Duration
	// firstRead is true until the topic was read once.
	firstRead bool
	// needSnapshot is true if the next read from the store must be a snapshot: after an
	// outage the store's history may lack removals.
	needSnapshot bool
	// storeReadAt is the local time from which the store is read if no peer responds.
	storeReadAt time.Duration
	// stalePeerAt is when a peer last responded with stale content.
	stalePeerAt time.Time
}

// read reads the topic once and passes the result on. After a failure it pauses.
func (f *topicWatcher) read(ctx context.Context) {
	p, err := f.query(ctx)
	if err != nil {
		f.handleError(ctx, err)
		return
	}
	f.pause.Reset()
	asOf := f.asOf(f.sentAt, p)
	if p.Revision < f.after || asOf < f.sentAt-p.Age-maxStaleness {
		f.log.Warn().Stringer("topic", f.topic).Dur("behind", f.sentAt-asOf).Uint32("era", uint32(p.Revision.Era())).
			Uint64("version", p.Revision.Version()).Msg("stale response ignored")
		f.sleep(ctx, retryMax)
		return
	}
	f.era.Record(p.Revision.Era())
	if f.topic == TopicProgress {
		f.progressEra.Record(p.Revision.Era())
	}
	restored := f.after != 0 && p.Revision.Era() > f.after.Era()
	if restored && f.topic == TopicOrders {
		f.logs[f.topic].keepDocuments(&p, f.store)
		f.logs[f.topic].keepEvacuations(p, f.store, asOf)
	}
	f.logs[f.topic].add(p, asOf)
	u := update{topic: f.topic, changes: f.store.Decode(f.topic, p.Records), asOf: asOf, era: p.Revision.Era(), readAt: time.Now(), snapshot: p.Snapshot, afterOutage: f.storeLost, restored: restored}
	if restored {
		f.log.Warn().Str("dependency", "store").Stringer("topic", f.topic).Uint32("era", uint32(p.Revision.Era())).
			Uint64("version", p.Revision.Version()).Uint64("known", f.after.Version()).Msg("the store came back from an older copy")
	}
	select {
	case <-ctx.Done():
		return
	case f.updates <- u:
	}
	if f.storeLost {
		f.storeLost = false
		f.log.Info().Str("dependency", "store").Stringer("topic", f.topic).Msg("dependency regained")
	}
	if f.topic == TopicUpstreams && f.synced && len(p.Records) > 0 && f.peerChoice.toStore() {
		f.sleep(ctx, upstreamsDebounce)
	}
	f.synced, f.firstRead, f.needSnapshot = true, false, false
	f.after = p.Revision
	f.storeReadAt = asOf + maxOwnAge[f.topic]
}

// asOf returns the local time as of which a response is current.
func (f *topicWatcher) asOf(sent time.Duration, p ReadResult) time.Duration {
	received := f.now()
	if !p.Snapshot && p.Age == 0 {
		// The store responds to a watch at the end of its wait. The response may be received
		// later if the machine was suspended meanwhile.
		sent = max(sent, min(received, sent+f.wait)-watchBlindTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.estimate.AsOf(sent, received, p.StoreClock) - p.Age
}

// query reads the topic from a peer, or from the store if no peer responds in time.
func (f *topicWatcher) query(ctx context.Context) (ReadResult, error) {
	if f.firstRead {
		if p, ok := f.readFirst(ctx); ok {
			return p, nil
		}
	}
	for ctx.Err() == nil {
		if p, ok := f.readPeer(ctx); ok {
			return p, nil
		}
		if !f.waitForPeer(ctx) {
			break
		}
	}
	if !f.synced || f.needSnapshot {
		return f.snapshot(ctx, responseTimeout)
	}
	ctx, stop := clock.WithTimeout(ctx, f.wait+responseTimeout)
	defer stop()
	f.sentAt = f.now()
	return f.store.Watch(ctx, f.topic, f.after, f.wait)
}

// snapshot reads all rows of the topic from the store.
func (f *topicWatcher) snapshot(ctx context.Context, limit time.Duration) (ReadResult, error) {
	ctx, stop := clock.WithTimeout(ctx, limit)
	defer stop()
	f.sentAt = f.now()
	return f.store.Snapshot(ctx, f.topic)
}

// handleError prepares a snapshot if the store's history is lost. After any other error it
// records the outage and pauses.
func (f *topicWatcher) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var h *HistoryLostError
	if errors.As(err, &h) {
		f.synced = false
		f.log.Info().Stringer("topic", f.topic).Uint32("era", uint32(f.after.Era())).Uint64("after", f.after.Version()).Msg("store history lost, reading a snapshot")
		return
	}
	if !f.storeLost {
		f.storeLost = true
		f.log.Warn().Err(err).Str("dependency", "store").Stringer("topic", f.topic).Msg("dependency lost")
	}
	f.needSnapshot = true
	d := f.pause.NextBackOff()
	if time.Since(f.stalePeerAt) < responseTimeout {
		// The peer reads the store as well and responds again once the store is back.
		f.storeReadAt = f.now() + outageReadPause/2 + rand.N(outageReadPause)
	}
	if f.topic != TopicOrders {
		// During an outage, the reads of one topic are enough to notice the store's
		// return.
		d = f.pauseDuringOutage(d)
	}
	f.sleep(ctx, d)
}

// pauseDuringOutage returns how long a topic other than the orders pauses after a failed
// read: longer than d while the orders can't be read either.
func (f *topicWatcher) pauseDuringOutage(d time.Duration) time.Duration {
	if a, ok := f.ConfigAge(); !ok || a > ordersWait+responseTimeout {
		return outagePause
	}
	return d
}

// sleep pauses for d or until ctx ends.
func (f *topicWatcher) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
