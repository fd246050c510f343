// Package inlet reads answers and events of peers. Each bound is stated before the first
// byte is read, so that a peer that sends without end can't exhaust memory.
package inlet

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
)

const (
	// MaxHeadBytes bounds the head of an answer together with the interim answers before it,
	// in bytes. It is the bound that entries set for the heads of requests.
	MaxHeadBytes = 64 << 10
	// MaxInterim bounds the number of interim answers (1xx, RFC 9110, section 15.2) before a
	// final one. Services send at most a 100 and a few 103.
	MaxInterim = 16
)

// Part names the part of an answer that a bound applies to.
type Part string

// Parts of answers.
const (
	// Head is the head of an answer together with the interim answers before it.
	Head Part = "head"
	// Interim is the number of interim answers.
	Interim Part = "interim-answers"
	// Body is the body of an answer.
	Body Part = "body"
	// Event is a server-sent event: all lines up to the blank one.
	Event Part = "event"
)

// Parts returns all parts.
func Parts() []Part {
	return []Part{Head, Interim, Body, Event}
}

// TooLongError reports that a part of a peer's answer exceeds its bound.
type TooLongError struct {
	Part Part
	// Limit is in bytes, and for Interim a number of answers.
	Limit int64
	// Peer is the address or URL of the peer.
	Peer string
}

func (e *TooLongError) Error() string {
	if e.Part == Interim {
		return fmt.Sprintf("%s sent more than %d interim answers", e.Peer, e.Limit)
	}
	return fmt.Sprintf("the %s of the answer of %s exceeds %d bytes", e.Part, e.Peer, e.Limit)
}

// Bounds are the bounds of a head.
type Bounds struct {
	// HeadBytes bounds the bytes of the head and of the interim answers before it.
	HeadBytes int64
	// Interim bounds the number of interim answers.
	Interim int
}

// Default returns the bounds MaxHeadBytes and MaxInterim.
func Default() Bounds {
	return Bounds{HeadBytes: MaxHeadBytes, Interim: MaxInterim}
}

// Reader reads the answers on one connection. It isn't safe for concurrent use.
type Reader struct {
	*bufio.Reader

	source *source
	peer   string
}

// NewReader returns a reader of the answers in r, which come from peer.
func NewReader(r io.Reader, peer string) *Reader {
	s := &source{Reader: r, remaining: -1}
	return &Reader{Reader: bufio.NewReader(s), source: s, peer: peer}
}

// Response reads the head of the final answer to q and skips interim ones. It returns a
// *TooLongError for a head that exceeds the bounds, and the errors of ReadResponse. Bytes that an
// earlier call read ahead (at most 4 KiB) are not counted. The body is read without a bound; see ReadAll.
func (r *Reader) Response(q *http.Request, b Bounds) (*http.Response, error) {
	r.source.remaining = b.HeadBytes
	defer func() { r.source.remaining = -1 }()
	for n := 0; ; n++ {
		a, err := ReadResponse(r.Reader, q, r.peer)
		if r.source.exceeded {
			return nil, &TooLongError{Part: Head, Limit: b.HeadBytes, Peer: r.peer}
		}
		if err != nil || a.StatusCode >= http.StatusOK {
			return a, err
		}
		if n == b.Interim {
			return nil, &TooLongError{Part: Interim, Limit: int64(b.Interim), Peer: r.peer}
		}
	}
}

// source reads at most remaining bytes; a negative value means no bound.
type source struct {
	io.Reader

	remaining int64
	// exceeded is true once a byte beyond the bound was asked for.
	exceeded bool
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if s.remaining < 0 {
		return s.Reader.Read(b)
	}
	if s.remaining == 0 {
		s.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	if int64(len(b)) > s.remaining {
		b = b[:s.remaining]
	}
	n, err := s.Reader.Read(b)
	s.remaining -= int64(n)
	return n, err
}

// ReadAll reads a body to its end. It returns a *TooLongError if the body has more than
// limit bytes, and errors of r.
func ReadAll(r io.Reader, peer string, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, &TooLongError{Part: Body, Limit: limit, Peer: peer}
	}
	return b, nil
}

// LimitBody returns a body that fails with a *TooLongError once more than limit bytes of b
// were read.
func LimitBody(b io.ReadCloser, peer string, limit int64) io.ReadCloser {
	return &limitedBody{ReadCloser: b, peer: peer, limit: limit, remaining: limit}
}

// limitedBody reads at most remaining bytes.
type limitedBody struct {
	io.ReadCloser

	peer             string
	limit, remaining int64
	// err is set once the bound was exceeded.
	err error
}

// Read implements io.Reader. It asks for one byte beyond the bound, which tells a body of
// exactly the limit from a longer one.
func (l *limitedBody) Read(b []byte) (int, error) {
	if l.err != nil {
		return 0, l.err
	}
	if int64(len(b)) > l.remaining+1 {
		b = b[:l.remaining+1]
	}
	n, err := l.ReadCloser.Read(b)
	if int64(n) > l.remaining {
		n = int(l.remaining)
		l.err = &TooLongError{Part: Body, Limit: l.limit, Peer: l.peer}
		err = l.err
	}
	l.remaining -= int64(n)
	return n, err
}
