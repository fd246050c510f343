// Package flood sends HTTP responses in which one part goes on without end, as a faulty server does. Each sender is
// bounded in bytes and time.
package flood

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Part is the part of a response that has no end.
type Part string

// The parts of a response. SurplusBytes and SurplusAnswers follow a whole answer.
const (
	HeaderLine     Part = "header-line"
	HeaderLines    Part = "header-lines"
	Interim        Part = "interim-answers"
	BodyByLength   Part = "body-by-length"
	BodyByChunks   Part = "body-by-chunks"
	BodyByClose    Part = "body-by-close"
	ChunkExtension Part = "chunk-extension"
	Trailers       Part = "trailers"
	EventLine      Part = "event-line"
	EventLines     Part = "event-lines"
	SurplusBytes   Part = "surplus-bytes"
	SurplusAnswers Part = "surplus-answers"
)

// Parts returns all parts.
func Parts() []Part {
	return []Part{
		HeaderLine, HeaderLines, Interim, BodyByLength, BodyByChunks, BodyByClose, ChunkExtension, Trailers,
		EventLine, EventLines, SurplusBytes, SurplusAnswers,
	}
}

// EndsWhole reports whether a whole answer comes before the part without end.
func (p Part) EndsWhole() bool { return p == SurplusBytes || p == SurplusAnswers }

// statedLength is the length, in bytes, that the head of a BodyByLength states; no sender gets there.
const statedLength = 1 << 40

// Budget bounds the bytes of senders. It is safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.left.Store(n)
	return b
}

// take takes n bytes and reports whether they were left.
func (b *Budget) take(n int) bool { return b.left.Add(-int64(n)) >= 0 }

// Sender sends one response.
type Sender struct {
	Part Part
	// Head is the status line and the header lines, without the empty line. Empty means a status of 200.
	Head string
	// Body is the body of the whole answer before SurplusBytes and SurplusAnswers.
	Body string
	// Budget and Time bound what is sent. Senders may share a budget.
	Budget *Budget
	Time   time.Duration
	// Block is the number of bytes of a write, Pause the time between two.
	Block int
	Pause time.Duration
}

// Send sends the response to a connection and closes it: by a reset, so that no part looks complete, unless a whole
// answer came first. It returns the number of bytes sent and nil once the bound in bytes or in time is reached, else
// the error of the write that failed since the peer closed the connection.
func (s Sender) Send(c net.Conn) (sent int64, err error) {
	defer c.Close()
	end := time.Now().Add(s.Time)
	if err := c.SetWriteDeadline(end); err != nil {
		return 0, err
	}
	begin, unit := s.texts()
	block := strings.Repeat(unit, max(1, s.Block/len(unit)))
	if s.Part == BodyByChunks {
		block = fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	}
	for text := begin; s.Budget.take(len(text)); text = block {
		n, err := io.WriteString(c, text)
		sent += int64(n)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			break
		}
		if err != nil {
			return sent, err
		}
		if time.Now().Add(s.Pause).After(end) {
			break
		}
		time.Sleep(s.Pause)
	}
	if t, ok := c.(*net.TCPConn); ok && !s.Part.EndsWhole() {
		return sent, t.SetLinger(0)
	}
	return sent, nil
}

// texts returns what comes once, and what is then repeated.
func (s Sender) texts() (begin, unit string) {
	head := s.Head
	if head == "" {
		head = "HTTP/1.1 200 OK\r\n"
	}
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		events  = "Content-Type: text/event-stream\r\n\r\nid: 1\n"
		line    = "Line: x\r\n"
	)
	whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(s.Body), s.Body)
	switch s.Part {
	case HeaderLine:
		return head + "Line: ", "x"
	case HeaderLines:
		return head, line
	case Interim:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	case BodyByLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(statedLength)), "x"
	case BodyByChunks:
		return head + chunked, "x"
	case ChunkExtension:
		return head + chunked + "1;e=", "x"
	case Trailers:
		return head + chunked + "1\r\nx\r\n0\r\n", line
	case EventLine:
		return head + events + "data: ", "x"
	case EventLines:
		return head + events, "data: x\n"
	case SurplusBytes:
		return whole, "x"
	case SurplusAnswers:
		return whole, whole
	default: // BodyByClose
		return head + "\r\n", "x"
	}
}
