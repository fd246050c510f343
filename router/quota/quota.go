// Package quota bounds the memory that clients and upstreams make an instance use.
package quota

import (
	"errors"
	"fmt"
	"io"
)

const (
	// initialBuffer is the size, in bytes, of the first buffer of a message; most
	// messages are shorter. It is also the room for an ordinary answer that is reserved before its
	// request is sent: the users' plain answers have some hundred bytes.
	initialBuffer = 4 << 10
)

// TooLongError reports a message that exceeds a limit.
type TooLongError struct {
	// What names the part of the message that is limited.
	What string
	// Limit is in bytes.
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s longer than %d bytes", e.What, e.Limit)
}

// ReadAll reads r to its end and reserves the memory for it. It returns a *TooLongError
// with the name what if r has more than limit bytes, a *MemoryLimitError if the memory
// limit is reached, and errors of r.
func (m *Reservation) ReadAll(r io.Reader, what string, limit int64) ([]byte, error) {
	if err := m.grow(initialBuffer); err != nil {
		return nil, err
	}
	b := make([]byte, 0, initialBuffer)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if int64(len(b)) > limit {
			return nil, &TooLongError{What: what, Limit: limit}
		}
		if err == io.EOF {
			return b, m.complete()
		}
		if err != nil {
			return nil, errors.Join(m.complete(), err)
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

// Reader reads from another reader up to a limit that can be changed.
type Reader struct {
	io.Reader

	what  string
	limit int64
	// remaining is the number of bytes that may still be read, -1 without a limit.
	remaining int64
}

// NewReader returns a reader without a limit.
func NewReader(r io.Reader) *Reader {
	return &Reader{Reader: r, remaining: -1}
}

// SetLimit limits the bytes that are read from now on; what names them in errors.
func (r *Reader) SetLimit(what string, limit int64) {
	r.what, r.limit, r.remaining = what, limit, limit
}

// ClearLimit removes the limit.
func (r *Reader) ClearLimit() { r.remaining = -1 }

// Read returns a *TooLongError once the limit is reached.
func (r *Reader) Read(b []byte) (int, error) {
	if r.remaining < 0 {
		return r.Reader.Read(b)
	}
	if r.remaining == 0 {
		return 0, &TooLongError{What: r.what, Limit: r.limit}
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.Reader.Read(b)
	r.remaining -= int64(n)
	return n, err
}
