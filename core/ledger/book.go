package ledger

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
)

// Default values of Options.
const (
	DefaultInterval = 2 * time.Second
	DefaultCapacity = 100_000
	DefaultMaxBatch = 500
)

// batchPause is the least time between two batches, so that a table that comes
// back is not flooded with buffered receipts: 2 batches per second per process.
const batchPause = 500 * time.Millisecond

// writeTimeout bounds the tries of one batch write before it is tried again later.
const writeTimeout = 5 * time.Second

// reservedPart is the part of the capacity that is added for requests that already
// run when the book reports that it is full: their receipts must still be taken.
const reservedPart = 10

// Options configures a Book.
type Options struct {
	Instance ident.InstanceID
	Client   table.Client
	// Interval is the longest time between batches.
	Interval time.Duration
	// AckWait is how long a receipt waits for Ack before it is written: 0 at entries,
	// 15 s at agents, whose receipts entries normally acknowledge.
	AckWait time.Duration
	// Capacity is the number of receipts not stored yet at which Full reports true.
	Capacity int
	// MaxBatch bounds the receipts of a batch.
	MaxBatch int
	// OnStored is called with the ids of each stored batch, outside of any lock.
	OnStored func([]ID)
	Now      func() time.Time
}

// Buffer buffers receipts and writes them in batches. It is safe for concurrent use.
type Buffer struct {
	o    Options
	wake chan struct{}
	// turn is held by the one writer of batches at a time.
	turn chan struct{}

	mu      sync.Mutex
	queue   *list.List // of *pending, the oldest first
	byID    map[ID]*list.Element
	refused uint64

	// The writer's own state, guarded by turn.
	sequence uint64
	open     *batch
	last     time.Time
}

type pending struct {
	receipt Receipt
	added   time.Time
}

// New returns an empty book.
func New(o Options) *Buffer {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = DefaultMaxBatch
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Buffer{
		o:     o,
		wake:  make(chan struct{}, 1),
		turn:  make(chan struct{}, 1),
		queue: list.New(),
		byID:  map[ID]*list.Element{},
	}
}

// Name implements serve.Step.
func (b *Buffer) Name() string {
	return "ledger"
}

// Add buffers a receipt. A receipt that is already buffered is not added again. It
// returns a refusal LedgerFull when the buffer, reserve included, is full.
func (b *Buffer) Add(r Receipt) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.byID[r.ID()]; ok {
		return nil
	}
	if b.queue.Len() >= b.o.Capacity+b.o.Capacity/reservedPart {
		b.refused++
		return refuse.New(refuse.LedgerFull, refuse.DidRun, "buffer receipt of %s: %d receipts wait", r.Request, b.queue.Len())
	}
	if r.At.IsZero() {
		r.At = b.o.Now()
	}
	b.byID[r.ID()] = b.queue.PushBack(&pending{receipt: r, added: b.o.Now()})
	if b.o.AckWait == 0 && b.queue.Len() >= b.o.MaxBatch {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return nil
}

// Full reports that no new chargeable request may start.
func (b *Buffer) Full() bool {
	return b.Pending() >= b.o.Capacity
}

// Pending returns the number of receipts that are not stored yet.
func (b *Buffer) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Len()
}

// Refused returns how many receipts did not fit into the buffer.
func (b *Buffer) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Ack drops receipts that another process stored.
func (b *Buffer) Ack(ids []ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if e, ok := b.byID[id]; ok {
			b.queue.Remove(e)
			delete(b.byID, id)
		}
	}
}

// Run writes batches until ctx ends. Failed writes are repeated until the table answers.
func (b *Buffer) Run(ctx context.Context) error {
	t := time.NewTicker(b.o.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		case <-t.C:
		}
		// A failed batch stays open and is written again at the next tick.
		_ = b.drain(ctx, b.o.AckWait, b.o.MaxBatch)
	}
}

// Flush writes all receipts, acknowledged or not yet due, before a shutdown. It
// returns the error of the first batch that could not be written.
func (b *Buffer) Flush(ctx context.Context) error {
	return b.drain(ctx, 0, 1)
}

// drain writes the receipts that were added at least hold ago. After the first batch
// it goes on only while at least least receipts are due: smaller batches wait for the
// next interval, since the number of writes grows with the fleet.
func (b *Buffer) drain(ctx context.Context, hold time.Duration, least int) error {
	select {
	case b.turn <- struct{}{}:
	case <-ctx.Done():
		return oops.In("ledger").Wrapf(ctx.Err(), "write receipts")
	}
	defer func() { <-b.turn }()
	for need := 1; ; need = least {
		if b.open == nil {
			next, err := b.next(hold, need)
			if next == nil || err != nil {
				return err
			}
			b.open = next
		}
		if err := b.store(ctx); err != nil {
			return err
		}
	}
}

func (b *Buffer) next(hold time.Duration, need int) (*batch, error) {
	rs := b.due(hold)
	if len(rs) < need {
		return nil, nil
	}
	b.sequence++
	return newBatch(b.o.Instance, b.sequence, rs, b.o.MaxBatch)
}

func (b *Buffer) due(hold time.Duration) []Receipt {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.o.Now().Add(-hold)
	var rs []Receipt
	for e := b.queue.Front(); e != nil && len(rs) < b.o.MaxBatch; e = e.Next() {
		p := e.Value.(*pending)
		if p.added.After(limit) {
			break
		}
		rs = append(rs, p.receipt)
	}
	return rs
}

// store writes the open batch. Its receipts stay buffered until they are stored.
func (b *Buffer) store(ctx context.Context) error {
	if err := b.pause(ctx); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := b.o.Client.PutWithRetry(c, b.open.write)
	b.last = b.o.Now()
	if _, ok := table.AsConflict(err); ok {
		// Another process uses this instance id; the receipts go into a new row.
		b.open = nil
		return nil
	}
	if err != nil {
		return oops.In("ledger").Wrapf(err, "store batch of %d receipts", len(b.open.ids))
	}
	ids := b.open.ids
	b.open = nil
	b.Ack(ids)
	if b.o.OnStored != nil {
		b.o.OnStored(ids)
	}
	return nil
}

func (b *Buffer) pause(ctx context.Context) error {
	d := batchPause - b.o.Now().Sub(b.last)
	if b.last.IsZero() || d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return oops.In("ledger").Wrapf(ctx.Err(), "write receipts")
	case <-t.C:
		return nil
	}
}
