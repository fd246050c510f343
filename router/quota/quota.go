// Package quota bounds the bytes that others make an instance hold.
package quota

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// firstStep is the size of the first buffer of a message; most are shorter.
	firstStep = 4 << 10
)

// TooLongError reports a message over a bound.
type TooLongError struct {
	// What names the bound.
	What string
	// Limit is in bytes.
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s longer than %d bytes", e.What, e.Limit)
}

// MemoryLimitError reports that messages in progress take all the memory that they may.
type MemoryLimitError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *MemoryLimitError) Error() string {
	return fmt.Sprintf("messages in progress take the %d bytes that they may", e.Limit)
}

// MemoryLimit bounds the bytes of all messages that are held at a time. It is safe for
// concurrent use.
type MemoryLimit struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryLimit returns a bound in bytes; 0 means none.
func NewMemoryLimit(limit int64) *MemoryLimit {
	return &MemoryLimit{limit: limit}
}

// Used returns the bytes held.
func (m *MemoryLimit) Used() int64 { return m.used.Load() }

// Reservation is the memory of one message. Its zero value holds nothing; it is used by one
// goroutine at a time.
type Reservation struct {
	memory *MemoryLimit
	bytes  int64
}

// NewReservation returns an empty message.
func (m *MemoryLimit) NewReservation() *Reservation {
	return &Reservation{memory: m}
}

// grow takes n bytes more.
func (m *Reservation) grow(n int64) error {
	if used := m.memory.used.Add(n); m.memory.limit > 0 && used > m.memory.limit {
		m.memory.used.Add(-n)
		return &MemoryLimitError{Limit: m.memory.limit}
	}
	m.bytes += n
	return nil
}

// Free gives the message's bytes back; it may be called again.
func (m *Reservation) Free() {
	m.memory.used.Add(-m.bytes)
	m.bytes = 0
}

// ReadAll reads r to its end. It returns a *LongError if that takes more than limit
// bytes, which what names, a *FullError if there is no room, and errors of r.
func (m *Reservation) ReadAll(r io.Reader, what string, limit int64) ([]byte, error) {
	if err := m.grow(firstStep); err != nil {
		return nil, err
	}
	b := make([]byte, 0, firstStep)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if int64(len(b)) > limit {
			return nil, &TooLongError{What: what, Limit: limit}
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if len(b) < cap(b) {
			continue
		}
		if err := m.grow(int64(cap(b))); err != nil {
			return nil, err
		}
		next := make([]byte, len(b), 2*cap(b))
		copy(next, b)
		b = next
	}
}

// Reader reads at most a number of bytes, which can be set anew.
type Reader struct {
	io.Reader

	what  string
	limit int64
	left  int64
}

// NewReader returns a reader without a bound.
func NewReader(r io.Reader) *Reader {
	return &Reader{Reader: r, left: -1}
}

// SetLimit bounds the bytes read from now on; what names them.
func (r *Reader) SetLimit(what string, limit int64) {
	r.what, r.limit, r.left = what, limit, limit
}

// ClearLimit ends the bound.
func (r *Reader) ClearLimit() { r.left = -1 }

// Read returns a *LongError once the bound is reached.
func (r *Reader) Read(b []byte) (int, error) {
	if r.left < 0 {
		return r.Reader.Read(b)
	}
	if r.left == 0 {
		return 0, &TooLongError{What: r.what, Limit: r.limit}
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.Reader.Read(b)
	r.left -= int64(n)
	return n, err
}
