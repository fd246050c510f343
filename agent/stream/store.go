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

// Options are the bounds of a Store.
type Options struct {
	// BufferBytes bounds the output of one attempt.
	BufferBytes int
	// Attempts bounds the number of buffers.
	Attempts int
	// TotalBytes bounds the output of all attempts together.
	TotalBytes int
	// Retention is how long an ended attempt is kept without an acknowledgement.
	Retention time.Duration
	// LinkGrace is how long a running attempt goes on without a reader.
	LinkGrace time.Duration
	Now       func() time.Time
}

// Default returns the bounds that the design fixes: 4 MiB and 30 s. The total
// keeps an agent within its 128 MB.
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

// sweepInterval is fine enough for limits of many seconds.
const sweepInterval = time.Second

// FullError reports that no buffer could be made.
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

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	return &Store{options: o, buffers: make(map[Key]*Buffer)}
}

// Name is the step's name.
func (s *Store) Name() string {
	return "stream"
}

// Open returns the buffer of an attempt and whether it is new. An attempt that
// is known already is never started a second time. It returns a *FullError
// when all places are taken by attempts that are still needed.
func (s *Store) Open(k Key, a ident.AccountID, cancel func()) (*Buffer, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buffers[k]; ok {
		return b, false, nil
	}
	if err := s.room(); err != nil {
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
	b.lonelyAt = s.options.Now()
	s.buffers[k] = b
	return b, true, nil
}

// room evicts settled buffers, those longest ended first, until one more fits.
func (s *Store) room() error {
	for len(s.buffers) >= s.options.Attempts || s.total.Load() >= int64(s.options.TotalBytes) {
		victim := s.oldest(s.options.Now())
		if victim == nil {
			return &FullError{Attempts: len(s.buffers), Bytes: s.total.Load()}
		}
		s.forget(victim)
		s.evicted++
	}
	return nil
}

func (s *Store) forget(b *Buffer) {
	b.release()
	delete(s.buffers, b.key)
}

func (s *Store) oldest(now time.Time) *Buffer {
	var out *Buffer
	for _, b := range s.buffers {
		if !b.done(now, s.options.LinkGrace) {
			continue
		}
		if out == nil || b.endedAt.Before(out.endedAt) {
			out = b
		}
	}
	return out
}

// Find returns the buffer of an attempt.
func (s *Store) Find(k Key) (*Buffer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buffers[k]
	return b, ok
}

// Cancel stops an attempt. For an attempt that is not known it leaves an ended
// buffer with the refusal, so that a Run that arrives late does not start.
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

// Acknowledge drops an ended attempt that the entry has received whole.
func (s *Store) Acknowledge(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buffers[k]
	if ok && b.Ended() {
		s.forget(b)
	}
}

// Idle reports whether no attempt is running or has an end that still has to be sent.
func (s *Store) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for _, b := range s.buffers {
		if !b.done(now, s.options.LinkGrace) {
			return false
		}
	}
	return true
}

// Counts returns the number of buffers, of evicted ones and of refused ones.
func (s *Store) Counts() (kept int, evicted, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buffers), s.evicted, s.refused
}

// Run forgets old attempts and cancels abandoned ones until the context ends.
func (s *Store) Run(ctx context.Context) error {
	return serve.Every(ctx, sweepInterval, func(context.Context) { s.Sweep() })
}

// Sweep applies the time limits once.
func (s *Store) Sweep() {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buffers {
		_ = b.done(now, s.options.LinkGrace) // settles what no entry came back for
		switch b.phase(now, s.options) {
		case phaseForget:
			s.forget(b)
		case phaseAbandon:
			b.Cancel()
		case phaseKeep:
		}
	}
}
