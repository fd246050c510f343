package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"tarragonvalve.example/router/call"
)

const (
	// inlineBody is the size up to which a body is written before the answer is
	// read. Longer ones are written meanwhile: the upstream may answer first.
	inlineBody = 4 << 10
	// maxForeign bounds the answers to other requests that are skipped on one connection.
	maxForeign = 2
	// maxHead bounds an answer's head with the interim answers before it, in bytes;
	// heads of the users' servers take under 1 KiB.
	maxHead = 16 << 10
	// maxSkipped bounds the body of a skipped answer.
	maxSkipped = 64 << 10
	// writeLag is how long the goroutine that writes a long body may take to report
	// that it is done, after the answer was read: on a busy machine it runs later.
	writeLag = 10 * time.Millisecond
)

// Message is a request to an upstream.
type Message struct {
	Address string
	Method  string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	ID     call.ID
	// Once is true for requests that may run only once.
	Once bool
	// Connections bounds this instance's connections to the upstream; 0 means no bound.
	Connections int
	// Permit is asked right before the first byte is written; its error keeps the
	// request from being sent. It may be nil.
	Permit func() error
}

// NotSentError reports that no byte of a request left, so it did not run.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("send to %s: nothing was sent: %v", e.Address, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that a request was sent, at least in part, and no valid
// answer came. It may have run.
type LostError struct {
	Address string
	// Reused is true when the connection had carried a request before.
	Reused bool
	Err    error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("send to %s: no valid answer: %v", e.Address, e.Err)
}

func (e *LostError) Unwrap() error { return e.Err }

// ForeignError reports an answer that belongs to another request.
type ForeignError struct {
	ID call.ID
}

func (e *ForeignError) Error() string {
	return fmt.Sprintf("the answer carries the id %q of another request", e.ID)
}

// Answer is an upstream's answer. Its body must be read to the end or given up by End.
type Answer struct {
	Status int
	Header http.Header
	Meta   call.Answer
	// Length is the body's stated length, or -1.
	Length int64
	// Framed is false when only the end of the connection ends the body.
	Framed bool

	exchange *exchange
	body     io.Reader
	ended    bool
}

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error // nil when the request was written before the answer was read
	keep    bool
	closed  bool
}

// Send sends a request once and returns the head of its answer. The end of ctx
// closes the connection, also while the body is read. Errors are
// *NotSentError, *LostError.
func (p *Pool) Send(ctx context.Context, m *Message) (*Answer, error) {
	c, err := p.get(ctx, m)
	if err != nil {
		return nil, &NotSentError{Address: m.Address, Err: err}
	}
	if err := m.permitted(ctx); err != nil {
		p.drop(c)
		return nil, &NotSentError{Address: m.Address, Err: err}
	}
	c.last = m.ID
	e := &exchange{pool: p, conn: c}
	e.stop = context.AfterFunc(ctx, func() {
		// Closing is what tells the upstream to stop; it also ends a blocked read or write.
		c.Close()
	})
	a, err := e.run(m)
	if err != nil {
		e.end(false, 0)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &LostError{Address: m.Address, Reused: c.reused, Err: err}
	}
	return a, nil
}

// permitted says why a request must not be sent after all. Getting a connection takes
// time, and the process may have been paused meanwhile.
func (m *Message) permitted(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if m.Permit == nil {
		return nil
	}
	return m.Permit()
}

func (e *exchange) run(m *Message) (*Answer, error) {
	if err := e.write(m); err != nil {
		return nil, err
	}
	for range maxForeign + 1 {
		a, err := e.read(m)
		if err != nil {
			return nil, err
		}
		if a.Meta.ID == m.ID {
			return a, nil
		}
		// The answer to an earlier request came late, or twice; ours may follow.
		if !a.Framed {
			return nil, &ForeignError{ID: a.Meta.ID}
		}
		e.conn.bytes.SetLimit("body of another request's answer", maxSkipped)
		if _, err := io.Copy(io.Discard, a.body); err != nil {
			return nil, errors.Join(&ForeignError{ID: a.Meta.ID}, err)
		}
		e.keep = false
	}
	return nil, errors.New("only answers to other requests came")
}

func (e *exchange) write(m *Message) error {
	var b bytes.Buffer
	b.Grow(1024 + len(m.Body))
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\n")
	if err := m.Header.Write(&b); err != nil {
		return err
	}
	if len(m.Body) > 0 || (m.Method != http.MethodGet && m.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	e.keep = true
	if len(m.Body) <= inlineBody {
		_, err := e.conn.Write(b.Bytes())
		return err
	}
	e.written = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(b.Bytes())
		e.written <- err
	}()
	return nil
}

func (e *exchange) read(m *Message) (*Answer, error) {
	q := &http.Request{Method: m.Method}
	e.conn.bytes.SetLimit("head of an answer", maxHead)
	defer e.conn.bytes.ClearLimit()
	for {
		//nolint:bodyclose // the body is the rest of the connection, which Answer.End closes or keeps
		r, err := http.ReadResponse(e.conn.r, q)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			// Interim answers carry no body (RFC 9110, section 15.2).
			continue
		}
		framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
		if r.Close || !framed {
			e.keep = false
		}
		a := &Answer{
			Status: r.StatusCode, Header: r.Header, Meta: e.pool.codec.Answer(r.StatusCode, r.Header),
			Length: r.ContentLength, Framed: framed, exchange: e, body: r.Body,
		}
		return a, nil
	}
}

// Read reads the body. Any error but io.EOF means that the body is incomplete.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// End ends the exchange. The connection is kept if the body was read to its
// end and the request was written whole; otherwise closing it cancels the work.
func (a *Answer) End() {
	a.exchange.end(a.ended && a.exchange.keep, a.Meta.Idle)
}

func (e *exchange) end(keep bool, idle time.Duration) {
	if e.closed {
		return
	}
	e.closed = true
	intact := e.stop()
	if keep && e.written != nil {
		select {
		case err := <-e.written:
			keep = err == nil
		case <-time.After(writeLag):
			// The upstream answered before it read the whole request.
			keep = false
		}
	}
	if !keep || !intact || e.conn.r.Buffered() > 0 {
		e.pool.drop(e.conn)
		return
	}
	e.pool.put(e.conn, idle)
}
