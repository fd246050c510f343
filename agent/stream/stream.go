// Package stream keeps the output of running and recent attempts in bounded
// buffers, so that an entry whose link broke can continue from a position.
package stream

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// Key identifies one attempt of one request.
type Key struct {
	Request ident.RequestID
	Attempt ident.Attempt
}

// OverflowError reports an attempt whose output exceeds its buffer.
type OverflowError struct {
	Key   Key
	Limit int
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("buffer output of request %s attempt %d: more than %d bytes", e.Key.Request, e.Key.Attempt, e.Limit)
}

// dataOverhead approximates the memory of one data frame beside its text.
const dataOverhead = 96

// Buffer holds the frames of one attempt. It is safe for concurrent use, and
// any number of readers may follow it.
type Buffer struct {
	key     Key
	account ident.AccountID
	limit   int
	cancel  func()
	now     func() time.Time
	total   *atomic.Int64 // bytes of all buffers of the store

	mu       sync.Mutex
	data     []*wire.Data
	bytes    int
	end      *wire.Frame
	endedAt  time.Time
	changed  chan struct{}
	readers  int
	lonelyAt time.Time // when the last reader left; zero while one is attached
	sent     bool      // a reader has sent the last frame
	passed   uint64    // data frames that were handed to a connection
	settled  chan struct{}
	over     bool // settled is closed
}

// Key returns the attempt's key.
func (b *Buffer) Key() Key {
	return b.key
}

// Account returns the client account that the attempt belongs to.
func (b *Buffer) Account() ident.AccountID {
	return b.account
}

// Append adds a data frame. It returns an *OverflowError at the bound; frames
// after the end are ignored.
func (b *Buffer) Append(d *wire.Data) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return nil
	}
	n := len(d.GetText()) + dataOverhead
	if b.bytes+n > b.limit {
		return &OverflowError{Key: b.key, Limit: b.limit}
	}
	b.bytes += n
	b.total.Add(int64(n))
	b.data = append(b.data, d)
	b.wake()
	return nil
}

// End ends the attempt with an End or a Refusal; only the first call counts.
func (b *Buffer) End(e *wire.End) {
	b.finish(&wire.Frame{Body: &wire.Frame_End{End: e}})
}

// Refuse ends the attempt with a refusal; only the first end counts.
func (b *Buffer) Refuse(r *wire.Refusal) {
	b.finish(&wire.Frame{Body: &wire.Frame_Refusal{Refusal: r}})
}

func (b *Buffer) finish(f *wire.Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	f.RequestId = string(b.key.Request)
	f.Attempt = uint32(b.key.Attempt)
	f.Position = uint64(len(b.data))
	b.end = f
	b.endedAt = b.now()
	b.wake()
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Cancel stops the attempt; the attempt's own goroutine ends the buffer.
func (b *Buffer) Cancel() {
	b.cancel()
}

// Ended reports whether the attempt has ended.
func (b *Buffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end != nil
}

// Settled returns a channel that is closed when it is known how much of an ended
// attempt was relayed: its end was sent, or no entry came back for it in time.
func (b *Buffer) Settled() <-chan struct{} {
	return b.settled
}

// Relayed returns the number of tokens that were handed to a connection and
// whether the end was.
func (b *Buffer) Relayed() (tokens uint32, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.data[:min(b.passed, uint64(len(b.data)))] {
		tokens += d.GetTokens()
	}
	return tokens, b.sent
}

func (b *Buffer) settle() {
	if !b.over {
		b.over = true
		close(b.settled)
	}
}

// Reader follows a buffer from a position.
type Reader struct {
	buffer *Buffer
	next   uint64
	closed bool
}

// Attach returns a reader that starts at a position. Close it after use.
func (b *Buffer) Attach(from uint64) *Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
	b.lonelyAt = time.Time{}
	b.passed = max(b.passed, from)
	return &Reader{buffer: b, next: from}
}

// Next returns the frames that are there, whether the last of them ends the
// attempt, and a channel that is closed at the next change. A position past
// the end of a finished attempt gets only the last frame.
func (r *Reader) Next() (frames []*wire.Frame, last bool, changed <-chan struct{}) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	for r.next < uint64(len(b.data)) {
		frames = append(frames, &wire.Frame{
			RequestId: string(b.key.Request),
			Attempt:   uint32(b.key.Attempt),
			Position:  r.next,
			Body:      &wire.Frame_Data{Data: b.data[r.next]},
		})
		r.next++
	}
	if b.end != nil {
		return append(frames, b.end), true, b.changed
	}
	return frames, false, b.changed
}

// Position returns the position of the next data frame.
func (r *Reader) Position() uint64 {
	return r.next
}

// Sent notes that all frames that Next returned were handed to a connection,
// the last one of the attempt included if last is true.
func (r *Reader) Sent(last bool) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passed = max(b.passed, r.next)
	if last {
		b.sent = true
		b.settle()
	}
}

// Close detaches the reader.
func (r *Reader) Close() {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	b.readers--
	if b.readers == 0 {
		b.lonelyAt = b.now()
	}
}

// phase says what the store should do with a buffer.
type phase int

const (
	phaseKeep phase = iota
	phaseAbandon
	phaseForget
)

func (b *Buffer) phase(now time.Time, o Options) phase {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		if b.readers == 0 && now.Sub(b.endedAt) >= o.Retention {
			return phaseForget
		}
		return phaseKeep
	}
	if !b.lonelyAt.IsZero() && now.Sub(b.lonelyAt) >= o.LinkGrace {
		return phaseAbandon
	}
	return phaseKeep
}

// done reports whether nothing waits for this buffer any more: it has ended,
// and either its end was sent or no entry has come back for it in time.
func (b *Buffer) done(now time.Time, grace time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil || b.readers > 0 {
		return false
	}
	if !b.sent && now.Sub(b.endedAt) < grace {
		return false
	}
	b.settle()
	return true
}

// release gives the buffer's bytes back to the store's total.
func (b *Buffer) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.Add(-int64(b.bytes))
	b.settle()
}
