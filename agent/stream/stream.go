// Package stream keeps the output of running and recently ended attempts in bounded
// buffers, so that an entry that lost its connection can resume from a position.
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

// OverflowError reports an attempt whose output exceeds the limit of its buffer in bytes.
type OverflowError struct {
	Key   Key
	Limit int
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("buffer output of request %s attempt %d: more than %d bytes", e.Key.Request, e.Key.Attempt, e.Limit)
}

// dataOverhead is the approximate memory of one data frame without its text, in bytes.
const dataOverhead = 96

// Buffer holds the frames of one attempt. It is safe for concurrent use and may have any
// number of readers.
//
// A buffer is settled when it is final how much of its output was relayed: its end was
// sent, no entry reconnected within the grace period after the end, or it was removed.
type Buffer struct {
	key     Key
	account ident.AccountID
	limit   int
	cancel  func()
	now     func() time.Time
	total   *atomic.Int64 // bytes of all buffers of the store

	mu          sync.Mutex
	data        []*wire.Data
	bytes       int
	end         *wire.Frame
	endedAt     time.Time
	changed     chan struct{}
	readers     int
	unreadSince time.Time // start of the time without a reader; zero while one is attached
	endSent     bool      // a reader has sent the end
	sentFrames  uint64    // data frames, from the first, that were handed to a connection
	settled     chan struct{}
	isSettled   bool // whether settled is closed
}

// Key returns the attempt's key.
func (b *Buffer) Key() Key {
	return b.key
}

// Account returns the client account that the attempt belongs to.
func (b *Buffer) Account() ident.AccountID {
	return b.account
}

// Append adds a data frame. It returns an *OverflowError if the frame exceeds the limit, and
// ignores frames after the end.
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
	b.notify()
	return nil
}

// End ends the attempt with an End frame. It does nothing if the attempt has ended.
func (b *Buffer) End(e *wire.End) {
	b.setEnd(&wire.Frame{Body: &wire.Frame_End{End: e}})
}

// Refuse ends the attempt with a Refusal frame. It does nothing if the attempt has ended.
func (b *Buffer) Refuse(r *wire.Refusal) {
	b.setEnd(&wire.Frame{Body: &wire.Frame_Refusal{Refusal: r}})
}

func (b *Buffer) setEnd(f *wire.Frame) {
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
	b.notify()
}

// notify wakes up the readers. The caller holds mu.
func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Cancel asks the attempt to stop. The goroutine that runs the attempt then ends the buffer.
func (b *Buffer) Cancel() {
	b.cancel()
}

// Ended reports whether the buffer has its end.
func (b *Buffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end != nil
}

// Settled returns a channel that is closed when the buffer is settled.
func (b *Buffer) Settled() <-chan struct{} {
	return b.settled
}

// Relayed returns the number of tokens that were handed to a connection, and whether the
// end was handed over too.
func (b *Buffer) Relayed() (tokens uint32, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.data[:min(b.sentFrames, uint64(len(b.data)))] {
		tokens += d.GetTokens()
	}
	return tokens, b.endSent
}

// settle marks the buffer as settled. The caller holds mu.
func (b *Buffer) settle() {
	if !b.isSettled {
		b.isSettled = true
		close(b.settled)
	}
}

// Reader reads a buffer from a position. It is not safe for concurrent use.
type Reader struct {
	buffer *Buffer
	next   uint64
	closed bool
}

// Attach returns a reader that starts at a position. The frames before it count as
// relayed, since the entry has received them. Close the reader after use.
func (b *Buffer) Attach(position uint64) *Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
	b.unreadSince = time.Time{}
	b.sentFrames = max(b.sentFrames, position)
	return &Reader{buffer: b, next: position}
}

// Next returns the frames that the buffer has after the last call, whether the last of
// them ends the attempt, and a channel that is closed at the next change of the buffer. If
// the position is past the end of an ended attempt, it returns only the end.
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

// Sent records that all frames that Next has returned were handed to a connection. last
// reports whether they include the end of the attempt, which settles the buffer.
func (r *Reader) Sent(last bool) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentFrames = max(b.sentFrames, r.next)
	if last {
		b.endSent = true
		b.settle()
	}
}

// Close detaches the reader. Further calls do nothing.
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
		b.unreadSince = b.now()
	}
}

// action is what a sweep does with a buffer.
type action int

const (
	actionKeep action = iota
	actionCancel
	actionRemove
)

// nextAction returns what the time limits require at now.
func (b *Buffer) nextAction(now time.Time, o Options) action {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		if b.readers == 0 && now.Sub(b.endedAt) >= o.Retention {
			return actionRemove
		}
		return actionKeep
	}
	if !b.unreadSince.IsZero() && now.Sub(b.unreadSince) >= o.LinkGrace {
		return actionCancel
	}
	return actionKeep
}

// trySettle settles an ended buffer without readers if its end was sent or the grace period
// after its end is over. It reports whether it did; only such a buffer may be evicted.
func (b *Buffer) trySettle(now time.Time, grace time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil || b.readers > 0 {
		return false
	}
	if !b.endSent && now.Sub(b.endedAt) < grace {
		return false
	}
	b.settle()
	return true
}

// release subtracts the buffer's bytes from the store's total and settles the buffer.
func (b *Buffer) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.Add(-int64(b.bytes))
	b.settle()
}
