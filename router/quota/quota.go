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

// LongError reports a message over a bound.
type LongError struct {
	// What names the bound.
	What string
	// Limit is in bytes.
	Limit int64
}

func (e *LongError) Error() string {
	return fmt.Sprintf("%s longer than %d bytes", e.What, e.Limit)
}

// FullError reports that messages in progress take all the memory that they may.
type FullError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("messages in progress take the %d bytes that they may", e.Limit)
}

// Memory bounds the bytes of all messages that are held at a time. It is safe for
// concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a bound in bytes; 0 means none.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// Used returns the bytes held.
func (m *Memory) Used() int64 { return m.used.Load() }

// Message is the memory of one message. Its zero value holds nothing; it is used by one
// goroutine at a time.
type Message struct {
	memory *Memory
	bytes  int64
}

// Message returns an empty message.
func (m *Memory) Message() *Message {
	return &Message{memory: m}
}

// grow takes n bytes more.
func (m *Message) grow(n int64) error {
	if used := m.memory.used.Add(n); m.memory.limit > 0 && used > m.memory.limit {
		m.memory.used.Add(-n)
		return &FullError{Limit: m.memory.limit}
	}
	m.bytes += n
	return nil
}

// Free gives the message's bytes back; it may be called again.
func (m *Message) Free() {
	m.memory.used.Add(-m.bytes)
	m.bytes = 0
}

// ReadAll reads r to its end. It returns a *LongError if that takes more than limit
// bytes, which what names, a *FullError if there is no room, and errors of r.
func (m *Message) ReadAll(r io.Reader, what string, limit int64) ([]byte, error) {
	if err := m.grow(firstStep); err != nil {
		return nil, err
	}
	b := make([]byte, 0, firstStep)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if int64(len(b)) > limit {
			return nil, &LongError{What: what, Limit: limit}
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

// Limit bounds the bytes read from now on; what names them.
func (r *Reader) Limit(what string, limit int64) {
	r.what, r.limit, r.left = what, limit, limit
}

// Unlimit ends the bound.
func (r *Reader) Unlimit() { r.left = -1 }

// Read returns a *LongError once the bound is reached.
func (r *Reader) Read(b []byte) (int, error) {
	if r.left < 0 {
		return r.Reader.Read(b)
	}
	if r.left == 0 {
		return 0, &LongError{What: r.what, Limit: r.limit}
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.Reader.Read(b)
	r.left -= int64(n)
	return n, err
}
