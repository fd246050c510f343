package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pacer"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
)

const (
	// exchangeTimeout bounds one exchange, in time in which this router runs; information that arrives later is of little
	// use.
	exchangeTimeout = 500 * time.Millisecond
	// failedPeerPause is how long a peer isn't asked after a failure.
	failedPeerPause = 3 * time.Second
	// latePause is the least time between two exchanges of a router that is late, or with one, which leaves the processor
	// to requests. A notice that an upstream leaves passes two exchanges, and the upstream serves for 2 s more; a backlog
	// is used for place.BacklogTTL.
	latePause = 450 * time.Millisecond
)

// Peer is a router with which others exchange samples.
type Peer interface {
	// Address returns the address of the peer, which identifies it.
	Address() string
	// Exchange sends a message and returns the peer's reply. Its errors are those of the
	// connection.
	Exchange(ctx context.Context, m Message) (Reply, error)
}

// SampleStore provides this instance's samples and backlog and takes those of others.
type SampleStore interface {
	DrainSamples() []place.Sample
	MergeSamples(ss []place.Sample, now time.Time)
	Backlog() []place.Backlog
	SetRemoteBacklog(bs []place.Backlog, now time.Time)
}

// NoticeSet holds what upstreams announced: that they leave, and which rate of requests they take
// from all routers. It needs this router's share of these rates.
type NoticeSet interface {
	RecentlyLeaving(now time.Time) []fleet.Incarnation
	MergeLeaving(is []fleet.Incarnation, now time.Time)
	RecentLimits(now time.Time) []notice.StatedLimit
	MergeLimits(ls []notice.StatedLimit, now time.Time)
	SetShare(s pacer.Share)
}

// CrashSet holds what is known of prompts that crash upstreams.
type CrashSet interface {
	Report(now time.Time) poison.Report
	Merge(r poison.Report, now time.Time)
	SetRouters(n int)
}

// PinSet holds the sessions that stay with the old version of a roll-out.
type PinSet interface {
	Report(now time.Time) []pins.Pinned
	Merge(ps []pins.Pinned, now time.Time)
}

// Exchanger exchanges samples with the first peer that responds. Each router's peers are
// ordered so that exchanges form no cycle: each sample reaches a router once.
type Exchanger struct {
	name    string
	store   SampleStore
	notices NoticeSet
	crashes CrashSet
	pins    PinSet
	peers   []*peerState
	samples *SampleLog
	totals  *Totals
	ranking ranking
	log     zerolog.Logger
	// lateness returns how late this router's work runs.
	lateness late.Func
}

// peerState is a peer with the state of the exchange with it.
type peerState struct {
	Peer
	// sent and seen are the positions up to which the peer has this router's samples and
	// this router has the peer's.
	sent, seen Cursor
	failedAt   time.Time
}

// New returns an exchanger. name identifies this router; peers are in the order of
// preference.
func New(name string, b SampleStore, t NoticeSet, c CrashSet, e PinSet, peers []Peer, l zerolog.Logger) *Exchanger {
	n := &Exchanger{name: name, store: b, notices: t, crashes: c, pins: e, samples: NewSampleLog(), totals: NewTotals(), log: l}
	n.ranking.startedAt = time.Now()
	for _, p := range peers {
		n.peers = append(n.peers, &peerState{Peer: p})
	}
	n.ranking.root = len(peers) == 0
	if len(peers) > 0 {
		// Until a peer numbers this router, and with peers of an earlier version, which don't.
		n.ranking.rank = int(xxhash.Sum64String(name) % unnumberedRanks)
	}
	n.updateShare(n.ranking.startedAt)
	return n
}

// SetLateness makes this router exchange less often while its work runs late, as f returns. It must be called before Run
// and HandleMessage.
func (n *Exchanger) SetLateness(f late.Func) { n.lateness = f }

// ExpectOthers tells that the deployment has other routers. One that has no peer, and that none exchanges with, may be
// cut off, and counts with minRouters of them where a share must not be too large. It must be called before Run.
func (n *Exchanger) ExpectOthers() { n.ranking.leastBound = minRouters }

// pause returns the time until the next exchange for which at least p is due.
func (n *Exchanger) pause(p time.Duration) time.Duration {
	if n.lateness.Lateness() >= late.Level {
		return max(p, latePause)
	}
	return max(p, minPause)
}

// Name implements serve.Component.
func (n *Exchanger) Name() string { return "gossip" }

// Run exchanges samples until ctx ends.
func (n *Exchanger) Run(ctx context.Context) error {
	t := time.NewTimer(minPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			t.Reset(n.round(ctx))
		}
	}
}

// round adds this instance's samples to the log, exchanges with one peer, and returns the
// time until the next round.
func (n *Exchanger) round(ctx context.Context) time.Duration {
	now := time.Now()
	n.samples.Add(n.name, n.store.DrainSamples(), now)
	n.totals.Set(n.name, n.store.Backlog(), 1, now)
	n.updateShare(now)
	for _, c := range n.peers {
		if !c.failedAt.IsZero() && now.Sub(c.failedAt) < failedPeerPause {
			continue
		}
		return n.exchange(ctx, c, now)
	}
	return minPause
}

// exchange exchanges samples with one peer and returns the time until the next round.
func (n *Exchanger) exchange(ctx context.Context, c *peerState, now time.Time) time.Duration {
	ctx, stop := clock.WithTimeout(ctx, exchangeTimeout)
	defer stop()
	for _, o := range n.peers {
		if o != c {
			n.totals.Drop(o.Address())
		}
	}
	ss, sent := n.samples.After(c.sent, c.Address(), now)
	bs, routers := n.totals.Without(c.Address(), now)
	a, err := c.Exchange(ctx, Message{
		Sender: n.name, Samples: ss, Backlog: bs, Routers: routers, After: c.seen, Leaving: n.notices.RecentlyLeaving(now),
		Limits: n.notices.RecentLimits(now), Crashes: n.crashes.Report(now),
		Pinned: n.pins.Report(now),
	})
	if err != nil {
		c.failedAt = now
		n.log.Info().Err(clock.TimeoutOr(ctx, err)).Str("peer", c.Address()).Msg("samples not exchanged, peer paused")
		return minPause
	}
	if !c.failedAt.IsZero() {
		c.failedAt = time.Time{}
		n.log.Info().Str("peer", c.Address()).Msg("samples exchanged again")
	}
	c.sent, c.seen = sent, a.Next
	if a.Share != nil {
		n.ranking.set(*a.Share, now)
	}
	n.notices.MergeLeaving(a.Leaving, now)
	n.notices.MergeLimits(a.Limits, now)
	n.crashes.Merge(a.Crashes, now)
	n.pins.Merge(a.Pinned, now)
	n.merge(c.Address(), a.Samples, a.Backlog, a.Routers)
	return n.pause(a.Pause)
}

// HandleMessage merges the message of another router and returns the reply.
func (n *Exchanger) HandleMessage(m Message) Reply {
	now := time.Now()
	a := Reply{Pause: n.pause(n.samples.Pause(m.Sender, now)), Leaving: n.notices.RecentlyLeaving(now), Limits: n.notices.RecentLimits(now), Crashes: n.crashes.Report(now), Pinned: n.pins.Report(now)}
	n.notices.MergeLeaving(m.Leaving, now)
	n.notices.MergeLimits(m.Limits, now)
	n.crashes.Merge(m.Crashes, now)
	n.pins.Merge(m.Pinned, now)
	a.Samples, a.Next = n.samples.After(m.After, m.Sender, now)
	n.totals.Set(n.name, n.store.Backlog(), 1, now)
	a.Backlog, a.Routers = n.totals.Without(m.Sender, now)
	own := n.ranking.statedShare(n.RouterCount(), now)
	a.Share = &pacer.Share{Rank: own.Rank + 1 + n.totals.Before(m.Sender, n.numbersItself, now), Size: own.Size}
	n.merge(m.Sender, m.Samples, m.Backlog, m.Routers)
	return a
}

// merge takes over the samples, the backlog and the number of routers that a neighbour sent.
func (n *Exchanger) merge(sender string, ss []place.Sample, bs []place.Backlog, routers int) {
	now := time.Now()
	n.samples.Add(sender, ss, now)
	n.store.MergeSamples(ss, now)
	n.totals.Set(sender, bs, routers, now)
	others, _ := n.totals.Without(n.name, now)
	n.store.SetRemoteBacklog(others, now)
	n.updateShare(now)
}

// updateShare sets this router's share of the rates that upstreams state, and the number of routers.
func (n *Exchanger) updateShare(now time.Time) {
	s := n.ranking.ownShare(n.RouterCount(), now)
	n.notices.SetShare(s)
	n.crashes.SetRouters(s.Size)
}

// numbersItself reports whether an entry of the totals has a rank that this router doesn't assign:
// its own entry and those of its peers.
func (n *Exchanger) numbersItself(neighbour string) bool {
	return neighbour == n.name || slices.ContainsFunc(n.peers, func(p *peerState) bool { return p.Address() == neighbour })
}

// RouterCount returns the number of routers that share limits, including this one: the
// largest number within the last minute.
func (n *Exchanger) RouterCount() int {
	return n.totals.Size()
}
