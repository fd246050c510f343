package agents

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/wire"
)

const (
	// maxStored bounds the stored batches that wait to be acknowledged. An agent
	// that gets no acknowledgement writes its receipts itself, which is harmless.
	maxStored = 256
	// ackTimeout bounds the acknowledgement of one batch to all agents.
	ackTimeout = time.Second
)

// Ledger buffers receipts until they are stored; *ledger.Buffer implements it.
type Ledger interface {
	Add(r ledger.Receipt) error
	// Full reports that no new chargeable request may start.
	Full() bool
}

// Acks acknowledges stored receipts to the agents that also hold them. Until a
// receipt is stored, it keeps the upstream that ran the attempt.
type Acks struct {
	set     *Set
	ledger  Ledger
	stored  chan []ledger.ID
	dropped atomic.Uint64

	mu     sync.Mutex
	origin map[ledger.ID]ident.UpstreamID
}

// NewAcks returns an Acks for the agents of a set. Bind must be called before the
// first receipt is added.
func NewAcks(s *Set) *Acks {
	return &Acks{set: s, stored: make(chan []ledger.ID, maxStored), origin: map[ledger.ID]ident.UpstreamID{}}
}

// Bind sets the ledger. It is separate from NewAcks, since the ledger needs Stored as its
// callback.
func (a *Acks) Bind(l Ledger) { a.ledger = l }

// Name implements serve.Component.
func (a *Acks) Name() string { return "acks" }

// Full reports that the ledger is full, so that no new chargeable request may start.
func (a *Acks) Full() bool { return a.ledger.Full() }

// Dropped returns how many stored batches were not acknowledged because maxStored
// batches waited.
func (a *Acks) Dropped() uint64 { return a.dropped.Load() }

// Add passes a receipt to the ledger and returns its error.
func (a *Acks) Add(r ledger.Receipt) error {
	if r.Upstream != "" {
		a.mu.Lock()
		a.origin[r.ID()] = r.Upstream
		a.mu.Unlock()
	}
	err := a.ledger.Add(r)
	if err != nil {
		a.mu.Lock()
		delete(a.origin, r.ID())
		a.mu.Unlock()
	}
	return err
}

// Stored queues the ids of a stored batch for acknowledgement. It never blocks; it
// drops the batch when the queue is full.
func (a *Acks) Stored(ids []ledger.ID) {
	select {
	case a.stored <- ids:
	default:
		a.dropped.Add(1)
		a.takeByUpstream(ids)
	}
}

// Run acknowledges stored batches until ctx ends, and then those still queued,
// within ackTimeout.
func (a *Acks) Run(ctx context.Context) error {
	for {
		select {
		case ids := <-a.stored:
			a.send(ctx, ids)
		case <-ctx.Done():
			a.drain(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// drain acknowledges the queued batches.
func (a *Acks) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for {
		select {
		case ids := <-a.stored:
			a.send(ctx, ids)
		default:
			return
		}
	}
}

// takeByUpstream groups receipt ids by upstream and removes them from origin.
func (a *Acks) takeByUpstream(ids []ledger.ID) map[ident.UpstreamID][]*wire.ReceiptId {
	out := map[ident.UpstreamID][]*wire.ReceiptId{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		u, ok := a.origin[id]
		if !ok {
			continue
		}
		delete(a.origin, id)
		out[u] = append(out[u], &wire.ReceiptId{RequestId: string(id.Request), Attempt: uint32(id.Attempt)})
	}
	return out
}

// send acknowledges a batch to all agents concerned in parallel. Errors are ignored:
// an agent without an acknowledgement writes its receipts itself.
func (a *Acks) send(ctx context.Context, ids []ledger.ID) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var w sync.WaitGroup
	for u, rs := range a.takeByUpstream(ids) {
		l := a.set.Link(u)
		if l == nil {
			continue
		}
		c, err := l.Conn()
		if err != nil {
			continue
		}
		w.Go(func() { _, _ = c.Agent.AckReceipts(ctx, &wire.AckReceiptsRequest{Ids: rs}) })
	}
	w.Wait()
}
