package gossip

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
)

const (
	// tradeLimit bounds one exchange; a later answer is worth little.
	tradeLimit = 500 * time.Millisecond
	// failedPause is when a peer that failed is asked again.
	failedPause = 3 * time.Second
)

// Peer is a router that others exchange samples with.
type Peer interface {
	// Address names the peer.
	Address() string
	// Trade hands samples over and returns the peer's. Its errors are those of the connection.
	Exchange(ctx context.Context, m Message) (Reply, error)
}

// SampleStore keeps the samples of own answers and learns from those of others.
type SampleStore interface {
	DrainSamples() []place.Sample
	MergeSamples(ss []place.Sample, now time.Time)
	Backlog() []place.Backlog
	SetRemoteBacklog(bs []place.Backlog, now time.Time)
}

// LeavingSet keeps the upstreams that said that they leave.
type LeavingSet interface {
	RecentlyLeaving(now time.Time) []fleet.Incarnation
	MergeLeaving(is []fleet.Incarnation, now time.Time)
}

// Exchanger exchanges samples with the first peer that answers. Peers are ordered so
// that no exchange goes in a circle: each sample reaches a router once.
type Exchanger struct {
	name    string
	book    SampleStore
	notices LeavingSet
	peers   []*contact
	samples *SampleLog
	totals  *Totals
	log     zerolog.Logger
}

// contact is what is known of a peer.
type contact struct {
	Peer
	// sent and seen are the positions up to which each side knows the other.
	sent, seen Cursor
	failed     time.Time
}

// New returns a node.
func New(name string, b SampleStore, t LeavingSet, peers []Peer, l zerolog.Logger) *Exchanger {
	n := &Exchanger{name: name, book: b, notices: t, samples: NewSampleLog(), totals: NewTotals(), log: l}
	for _, p := range peers {
		n.peers = append(n.peers, &contact{Peer: p})
	}
	return n
}

// Name is the name of the step.
func (n *Exchanger) Name() string { return "gossip" }

// Run exchanges samples until ctx ends.
func (n *Exchanger) Run(ctx context.Context) error {
	t := time.NewTimer(shortestPause)
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

// round publishes own samples, trades with one peer, and returns the time until the next round.
func (n *Exchanger) round(ctx context.Context) time.Duration {
	now := time.Now()
	n.samples.Add(n.name, n.book.DrainSamples(), now)
	n.totals.Set(n.name, n.book.Backlog(), 1, now)
	for _, c := range n.peers {
		if !c.failed.IsZero() && now.Sub(c.failed) < failedPause {
			continue
		}
		return n.trade(ctx, c, now)
	}
	return shortestPause
}

// trade exchanges with one peer and returns the time until the next round.
func (n *Exchanger) trade(ctx context.Context, c *contact, now time.Time) time.Duration {
	ctx, stop := context.WithTimeout(ctx, tradeLimit)
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
	})
	if err != nil {
		c.failed = now
		n.log.Info().Err(err).Str("peer", c.Address()).Msg("samples not exchanged, peer not used for a while")
		return shortestPause
	}
	if !c.failed.IsZero() {
		c.failed = time.Time{}
		n.log.Info().Str("peer", c.Address()).Msg("samples exchanged again")
	}
	c.sent, c.seen = sent, a.Next
	n.notices.MergeLeaving(a.Leaving, now)
	n.learn(c.Address(), a.Samples, a.Backlog, a.Routers)
	return max(a.Pause, shortestPause)
}

// HandleMessage answers a message of another router.
func (n *Exchanger) HandleMessage(m Message) Reply {
	now := time.Now()
	a := Reply{Pause: n.samples.Pause(m.Sender, now), Leaving: n.notices.RecentlyLeaving(now)}
	n.notices.MergeLeaving(m.Leaving, now)
	a.Samples, a.Next = n.samples.After(m.After, m.Sender, now)
	n.totals.Set(n.name, n.book.Backlog(), 1, now)
	a.Backlog, a.Routers = n.totals.Without(m.Sender, now)
	n.learn(m.Sender, m.Samples, m.Backlog, m.Routers)
	return a
}

// learn takes what a neighbour said.
func (n *Exchanger) learn(from string, ss []place.Sample, bs []place.Backlog, routers int) {
	now := time.Now()
	n.samples.Add(from, ss, now)
	n.book.MergeSamples(ss, now)
	n.totals.Set(from, bs, routers, now)
	others, _ := n.totals.Without(n.name, now)
	n.book.SetRemoteBacklog(others, now)
}

// RouterCount returns the number of routers that share limits, this one among them: the
// largest that was known in the last minute.
func (n *Exchanger) RouterCount() int {
	return n.totals.Size()
}
