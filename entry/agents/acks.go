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
	// ackLimit bounds one acknowledgement.
	ackLimit = time.Second
)

// Book is the part of ledger.Buffer that takes receipts.
type Book interface {
	Add(r ledger.Receipt) error
	Full() bool
}

// Acks tells agents which receipts are stored. It remembers which upstream each
// receipt came from until its batch is stored.
type Acks struct {
	set     *Set
	book    Book
	stored  chan []ledger.ID
	dropped atomic.Uint64

	mu     sync.Mutex
	origin map[ledger.ID]ident.UpstreamID
}

// NewAcks returns acknowledgements for the agents of a set. Bind must be called
// before the first receipt.
func NewAcks(s *Set) *Acks {
	return &Acks{set: s, stored: make(chan []ledger.ID, maxStored), origin: map[ledger.ID]ident.UpstreamID{}}
}

// Bind sets the book that the receipts go to.
func (a *Acks) Bind(b Book) { a.book = b }

// Name is the name of the step.
func (a *Acks) Name() string { return "acks" }

// Full reports that no new chargeable request may start.
func (a *Acks) Full() bool { return a.book.Full() }

// Dropped returns the stored batches that were not acknowledged because too many waited.
func (a *Acks) Dropped() uint64 { return a.dropped.Load() }

// Add passes a receipt to the book.
func (a *Acks) Add(r ledger.Receipt) error {
	if r.Upstream != "" {
		a.mu.Lock()
		a.origin[r.ID()] = r.Upstream
		a.mu.Unlock()
	}
	err := a.book.Add(r)
	if err != nil {
		a.mu.Lock()
		delete(a.origin, r.ID())
		a.mu.Unlock()
	}
	return err
}

// Stored takes the ids of a stored batch; it never blocks.
func (a *Acks) Stored(ids []ledger.ID) {
	select {
	case a.stored <- ids:
	default:
		a.dropped.Add(1)
		a.take(ids)
	}
}

// Run acknowledges until the context ends, and then what is left.
func (a *Acks) Run(ctx context.Context) error {
	for {
		select {
		case ids := <-a.stored:
			a.send(ctx, ids)
		case <-ctx.Done():
			a.rest(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (a *Acks) rest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ackLimit)
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

// take groups ids by upstream and forgets them.
func (a *Acks) take(ids []ledger.ID) map[ident.UpstreamID][]*wire.ReceiptId {
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

func (a *Acks) send(ctx context.Context, ids []ledger.ID) {
	ctx, cancel := context.WithTimeout(ctx, ackLimit)
	defer cancel()
	var w sync.WaitGroup
	for u, rs := range a.take(ids) {
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
