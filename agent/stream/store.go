package stream

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/core/wire"
)

// Options holds the limits of a Store.
type Options struct {
	// BufferBytes is the maximum output of one attempt in bytes.
	BufferBytes int
	// Attempts is the maximum number of buffers.
	Attempts int
	// TotalBytes is the output of all attempts in bytes above which no buffer is opened.
	TotalBytes int
	// Retention is how long an ended attempt is kept if the entry does not acknowledge it.
	Retention time.Duration
	// LinkGrace is how long an attempt without a reader waits for an entry to reconnect. Then
	// a running attempt is cancelled, and an ended one counts as settled.
	LinkGrace time.Duration
	Now       func() time.Time
}

// Default returns the limits of the design: 4 MiB for one attempt and a retention of 30 s.
// The total keeps the agent's memory below its limit of 128 MB.
func Default() Options {
	return Options{
		BufferBytes: 4 << 20,
		Attempts:    4096,
		TotalBytes:  64 << 20,
		Retention:   30 * time.Second,
		LinkGrace:   10 * time.Second,
		Now:         time.Now,
	}
}

// sweepInterval is the time between two sweeps. It is short against the time limits of
// 10 s and more.
const sweepInterval = time.Second

// FullError reports that the store has reached a limit and no buffer can be evicted.
type FullError struct {
	Attempts int
	Bytes    int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("make a stream buffer: %d attempts with %d bytes are kept already", e.Attempts, e.Bytes)
}

// Store holds the buffers of an agent. It is safe for concurrent use.
type Store struct {
	options Options
	total   atomic.Int64

	mu      sync.Mutex
	buffers map[Key]*Buffer
	evicted uint64
	refused uint64
}

// NewStore returns an empty store. Run applies its time limits.
func NewStore(o Options) *Store {
	return &Store{options: o, buffers: make(map[Key]*Buffer)}
}

// Name implements serve.Step.
func (s *Store) Name() string {
	return "stream"
}

// Open returns the buffer of an attempt and reports whether it is new. Only the caller
// that gets a new buffer may start the attempt. cancel stops the attempt; the store calls
// it for Cancel and for abandoned attempts. Open returns a *FullError when the store is
// full and no buffer is settled.
func (s *Store) Open(k Key, a ident.AccountID, cancel func()) (*Buffer, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buffers[k]; ok {
		return b, false, nil
	}
	if err := s.makeRoom(); err != nil {
		s.refused++
		return nil, false, err
	}
	b := &Buffer{
		key:     k,
		account: a,
		limit:   s.options.BufferBytes,
		cancel:  cancel,
		now:     s.options.Now,
		total:   &s.total,
		changed: make(chan struct{}),
		settled: make(chan struct{}),
	}
	b.unreadSince = s.options.Now()
	s.buffers[k] = b
	return b, true, nil
}

// makeRoom evicts settled buffers, in the order in which they ended, until the store is
// below its limits.
func (s *Store) makeRoom() error {
	for len(s.buffers) >= s.options.Attempts || s.total.Load() >= int64(s.options.TotalBytes) {
		b := s.oldestSettled(s.options.Now())
		if b == nil {
			return &FullError{Attempts: len(s.buffers), Bytes: s.total.Load()}
		}
		s.remove(b)
		s.evicted++
	}
	return nil
}

func (s *Store) remove(b *Buffer) {
	b.release()
	delete(s.buffers, b.key)
}

// oldestSettled returns the settled buffer that ended first, nil for none.
func (s *Store) oldestSettled(now time.Time) *Buffer {
	var out *Buffer
	for _, b := range s.buffers {
		if !b.trySettle(now, s.options.LinkGrace) {
			continue
		}
		if out == nil || b.endedAt.Before(out.endedAt) {
			out = b
		}
	}
	return out
}

// Find returns the buffer of an attempt and reports whether there is one.
func (s *Store) Find(k Key) (*Buffer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buffers[k]
	return b, ok
}

// Cancel stops an attempt. For an attempt without a buffer it creates one that ends with
// the refusal, so that a Run that arrives after its Cancel does not start the attempt. If
// the store is full, it does nothing.
func (s *Store) Cancel(k Key, r *wire.Refusal) {
	b, fresh, err := s.Open(k, "", func() {})
	if err != nil {
		return
	}
	if fresh {
		b.Refuse(r)
		return
	}
	b.Cancel()
}

// Acknowledge removes the buffer of an ended attempt that the entry has received in full.
// It ignores a running attempt.
func (s *Store) Acknowledge(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buffers[k]
	if ok && b.Ended() {
		s.remove(b)
	}
}

// Idle reports whether all attempts have ended and their buffers are settled.
func (s *Store) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for _, b := range s.buffers {
		if !b.trySettle(now, s.options.LinkGrace) {
			return false
		}
	}
	return true
}

// Counts returns the present number of buffers, and how many were evicted and refused
// since the start.
func (s *Store) Counts() (kept int, evicted, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buffers), s.evicted, s.refused
}

// Run calls Sweep at intervals until ctx ends. It implements serve.Step.
func (s *Store) Run(ctx context.Context) error {
	return serve.Every(ctx, sweepInterval, func(context.Context) { s.Sweep() })
}

// Sweep removes buffers after their retention, cancels running attempts without a reader
// after the grace period, and settles ended ones.
func (s *Store) Sweep() {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buffers {
		_ = b.trySettle(now, s.options.LinkGrace) // settles an ended buffer after the grace period
		switch b.nextAction(now, s.options) {
		case actionRemove:
			s.remove(b)
		case actionCancel:
			b.Cancel()
		case actionKeep:
		}
	}
}
