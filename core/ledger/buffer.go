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

// Defaults of Options.
const (
	DefaultInterval = 2 * time.Second
	DefaultCapacity = 100_000
	DefaultMaxBatch = 500
)

// batchPause is the least time between two batch writes. It limits a process to 2
// writes per second, so that a table that comes back after an outage is not flooded
// with buffered receipts.
const batchPause = 500 * time.Millisecond

// writeTimeout bounds one batch write with all its repeats. A batch that is not stored
// by then is written again later.
const writeTimeout = 5 * time.Second

// reserveDivisor is the capacity divided by the reserve. The reserve is added to the
// capacity for requests that already run when Full first reports true, since their
// receipts must still be taken.
const reserveDivisor = 10

// Options configures a Buffer.
type Options struct {
	Instance ident.InstanceID
	Client   table.Client
	// Interval is the time between two tries to write the receipts that are due.
	Interval time.Duration
	// AckWait is how long a receipt waits for Ack before it is due: 0 at entries, 15 s
	// at agents, whose receipts entries normally acknowledge.
	AckWait time.Duration
	// Capacity is the number of buffered receipts at which Full reports true.
	Capacity int
	// MaxBatch bounds the number of receipts in a batch.
	MaxBatch int
	// OnStored is called with the ids of each stored batch. It may call the buffer's
	// methods except Flush, since no other batch is written meanwhile.
	OnStored func([]ID)
	Now      func() time.Time
}

// Buffer holds receipts until they are stored and writes them to the table in batches.
// It is safe for concurrent use.
type Buffer struct {
	o Options
	// wake starts a write before the next interval.
	wake chan struct{}
	// writing is a semaphore: the goroutine whose value it holds may write batches.
	writing chan struct{}

	mu      sync.Mutex
	queue   *list.List // of *pending, the oldest first
	byID    map[ID]*list.Element
	refused uint64

	// Guarded by writing. inFlight is the batch that is not known to be stored yet.
	sequence  uint64
	inFlight  *batch
	lastWrite time.Time
}

// pending is a buffered receipt with the time when it was added.
type pending struct {
	receipt Receipt
	added   time.Time
}

// New returns an empty buffer. Interval, Capacity and MaxBatch get their defaults if
// they are not positive, and Now is time.Now if it is nil.
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
		o:       o,
		wake:    make(chan struct{}, 1),
		writing: make(chan struct{}, 1),
		queue:   list.New(),
		byID:    map[ID]*list.Element{},
	}
}

// Name implements serve.Component.
func (b *Buffer) Name() string {
	return "ledger"
}

// Add buffers a receipt unless one with its ID is buffered, and sets its time if it has
// none. It returns a refusal LedgerFull when the capacity and the reserve are used up.
func (b *Buffer) Add(r Receipt) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.byID[r.ID()]; ok {
		return nil
	}
	if b.queue.Len() >= b.o.Capacity+b.o.Capacity/reserveDivisor {
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

// Full reports whether the capacity is used up, so that no new chargeable request may
// start.
func (b *Buffer) Full() bool {
	return b.Pending() >= b.o.Capacity
}

// Pending returns the number of receipts that are not stored yet.
func (b *Buffer) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Len()
}

// Refused returns how many receipts Add refused because the buffer was full.
func (b *Buffer) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Ack removes receipts that are stored in the table from the buffer.
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

// Run writes batches until ctx ends. A batch that could not be stored is written again
// after the next interval.
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
		// A batch that was not stored stays in b.inFlight and is written again at the next tick.
		_ = b.writeBatches(ctx, b.o.AckWait, b.o.MaxBatch)
	}
}

// Flush writes all receipts before a shutdown, also those that still wait for Ack. It
// stops at the first batch that could not be stored and returns its error.
func (b *Buffer) Flush(ctx context.Context) error {
	return b.writeBatches(ctx, 0, 1)
}

// writeBatches writes the receipts that were added at least ackWait ago. After the
// first batch it goes on only while at least minBatch receipts are due: smaller batches
// wait for the next interval, since the number of writes grows with the number of
// instances.
func (b *Buffer) writeBatches(ctx context.Context, ackWait time.Duration, minBatch int) error {
	select {
	case b.writing <- struct{}{}:
	case <-ctx.Done():
		return oops.In("ledger").Wrapf(ctx.Err(), "write receipts")
	}
	defer func() { <-b.writing }()
	for least := 1; ; least = minBatch {
		if b.inFlight == nil {
			next, err := b.nextBatch(ackWait, least)
			if next == nil || err != nil {
				return err
			}
			b.inFlight = next
		}
		if err := b.storeBatch(ctx); err != nil {
			return err
		}
	}
}

// nextBatch returns a batch of due receipts, or nil when fewer than least are due.
func (b *Buffer) nextBatch(ackWait time.Duration, least int) (*batch, error) {
	rs := b.dueReceipts(ackWait)
	if len(rs) < least {
		return nil, nil
	}
	b.sequence++
	return newBatch(b.o.Instance, b.sequence, rs, b.o.MaxBatch)
}

// dueReceipts returns up to MaxBatch receipts that were added at least ackWait ago, the
// oldest first.
func (b *Buffer) dueReceipts(ackWait time.Duration) []Receipt {
	b.mu.Lock()
	defer b.mu.Unlock()
	cutoff := b.o.Now().Add(-ackWait)
	var rs []Receipt
	for e := b.queue.Front(); e != nil && len(rs) < b.o.MaxBatch; e = e.Next() {
		p := e.Value.(*pending)
		if p.added.After(cutoff) {
			break
		}
		rs = append(rs, p.receipt)
	}
	return rs
}

// storeBatch writes b.inFlight. Its receipts stay buffered until they are stored.
func (b *Buffer) storeBatch(ctx context.Context) error {
	if err := b.waitPause(ctx); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := b.o.Client.PutWithRetry(c, b.inFlight.write)
	b.lastWrite = b.o.Now()
	if _, ok := table.AsConflict(err); ok {
		// Another process with this instance id wrote the row; the receipts go into a new row.
		b.inFlight = nil
		return nil
	}
	if err != nil {
		return oops.In("ledger").Wrapf(err, "store batch of %d receipts", len(b.inFlight.ids))
	}
	ids := b.inFlight.ids
	b.inFlight = nil
	b.Ack(ids)
	if b.o.OnStored != nil {
		b.o.OnStored(ids)
	}
	return nil
}

// waitPause waits until batchPause has passed since the last write.
func (b *Buffer) waitPause(ctx context.Context) error {
	d := batchPause - b.o.Now().Sub(b.lastWrite)
	if b.lastWrite.IsZero() || d <= 0 {
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
