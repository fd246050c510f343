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

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/router/call"
)

const (
	// maxInlineBody is the size, in bytes, up to which a body is written before the response
	// is read. Longer bodies are written concurrently: the upstream may respond before it
	// has read all of the body.
	maxInlineBody = 4 << 10
	// maxWrongID bounds the responses to other requests that are skipped on one connection.
	maxWrongID = 2
	// maxHeaders bounds a response's headers together with the interim responses before it, in
	// bytes. Headers of the users' servers take under 1 KiB.
	maxHeaders = 16 << 10
	// maxSkippedBody bounds the body of a skipped response, in bytes.
	maxSkippedBody = 64 << 10
	// maxConnects bounds the connections that are tried for one request: the pool has checked each
	// kept one a moment before, so that a second one is rarely needed.
	maxConnects = 3
	// writeGrace is how long the goroutine that writes a long body may take to report its
	// end once the response has been read: on a busy machine it may be scheduled late.
	writeGrace = 10 * time.Millisecond
)

// Request is a request to an upstream.
type Request struct {
	// Address is the upstream's IP:PORT.
	Address string
	Method  string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds all headers but Host and Content-Length, the id among them.
	Header http.Header
	Body   []byte
	// ID is the id that the response must carry.
	ID call.ID
	// NonIdempotent requests avoid connections that have been idle for long.
	NonIdempotent bool
	// MaxConnections bounds this instance's connections to the upstream; 0 means no limit.
	MaxConnections int
	// Recheck is called right before the first byte is written; its error keeps the
	// request from being sent. It is called again if another connection must be used after it. It
	// may be nil.
	Recheck func() error
}

// NotSentError reports that no byte of a request was sent, so it did not run.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("send to %s: nothing was sent: %v", e.Address, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// NoResponseError reports that a request was sent, at least in part, and no valid
// response was received. The request may have run.
type NoResponseError struct {
	Address string
	// Reused is true if the connection carried an earlier request.
	Reused bool
	Err    error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("send to %s: no valid answer: %v", e.Address, e.Err)
}

func (e *NoResponseError) Unwrap() error { return e.Err }

// WrongIDError reports a response that belongs to another request.
type WrongIDError struct {
	// ID is the id that the response carries.
	ID call.ID
}

func (e *WrongIDError) Error() string {
	return fmt.Sprintf("the answer carries the id %q of another request", e.ID)
}

// Response is an upstream's response with its body unread. It must be ended by End, whether
// or not the body was read.
type Response struct {
	Status int
	Header http.Header
	// Meta holds the values read from Header.
	Meta call.Response
	// Length is the body's stated length in bytes, or -1.
	Length int64
	// Framed is false if only the end of the connection marks the end of the body.
	Framed bool

	exchange *exchange
	body     io.Reader
	// complete is true once the body was read to its end.
	complete bool
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// stopWatch stops closing the connection at the end of the request's context. It returns
	// false if the context has ended.
	stopWatch func() bool
	// written receives the result of writing the request; it is nil if that ended before
	// the response was read.
	written chan error
	// reusable is true as long as the connection can be reused afterwards.
	reusable bool
	closed   bool
}

// Send sends a request once and returns its response when the headers have arrived. The
// end of ctx closes the connection, also while the body is read. Errors are *NotSentError
// and *NoResponseError.
func (p *Pool) Send(ctx context.Context, m *Request) (*Response, error) {
	c, err := p.connect(ctx, m)
	if err != nil {
		return nil, &NotSentError{Address: m.Address, Err: err}
	}
	c.lastID = m.ID
	e := &exchange{pool: p, conn: c}
	e.stopWatch = context.AfterFunc(ctx, func() {
		// The upstream stops its work when the connection closes. Blocked reads and writes end too.
		c.Close()
	})
	a, err := e.roundTrip(m)
	if err != nil {
		if isExcess(err) {
			p.suspect(m.Address)
		}
		e.end(false, 0)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &NoResponseError{Address: m.Address, Reused: c.reused, Err: err}
	}
	return a, nil
}

// connect returns a connection to which the request may be written now. The recheck takes time, in
// which bytes or the upstream's close may arrive on a connection that was kept; then another is used.
func (p *Pool) connect(ctx context.Context, m *Request) (*conn, error) {
	var err error
	for range maxConnects {
		var c *conn
		if c, err = p.acquire(ctx, m); err != nil {
			return nil, err
		}
		if err = m.recheck(ctx); err != nil {
			p.discard(c)
			return nil, err
		}
		err = c.checkIdle()
		if err == nil || (!c.reused && !isExcess(err) && !errors.Is(err, errExtraAnswer)) {
			// The write finds the close of a new connection, and the loss is recorded for the upstream.
			return c, nil
		}
		p.reject(c, err)
	}
	return nil, err
}

// recheck returns why the request must not be sent, or nil. While a connection was set
// up time has passed, and the process may have been paused.
func (m *Request) recheck(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if m.Recheck == nil {
		return nil
	}
	return m.Recheck()
}

// roundTrip writes the request and reads the headers of its response. It skips up to
// maxWrongID responses to other requests.
func (e *exchange) roundTrip(m *Request) (*Response, error) {
	if err := e.write(m); err != nil {
		return nil, err
	}
	for range maxWrongID + 1 {
		if err := e.conn.awaitAnswer(); err != nil {
			return nil, err
		}
		a, err := e.readHeaders(m)
		if err != nil {
			return nil, err
		}
		if a.Meta.ID == m.ID {
			return a, nil
		}
		// A late or duplicate response to an earlier request; the expected one may follow.
		if !a.Framed {
			return nil, &WrongIDError{ID: a.Meta.ID}
		}
		e.conn.limiter.SetLimit("body of another request's answer", maxSkippedBody)
		if _, err := io.Copy(io.Discard, a.body); err != nil {
			return nil, errors.Join(&WrongIDError{ID: a.Meta.ID}, err)
		}
		e.reusable = false
	}
	return nil, errors.Join(errors.New("only answers to other requests came"), &ExcessError{Address: m.Address})
}

// write writes the request. If the body is longer than maxInlineBody, a goroutine does that
// and reports the result to written.
func (e *exchange) write(m *Request) error {
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
	e.reusable = true
	if len(m.Body) <= maxInlineBody {
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

// readHeaders reads the headers of the next response, past interim ones. The response may
// belong to another request.
func (e *exchange) readHeaders(m *Request) (*Response, error) {
	q := &http.Request{Method: m.Method}
	e.conn.limiter.SetLimit("head of an answer", maxHeaders)
	defer e.conn.limiter.ClearLimit()
	for {
		//nolint:bodyclose // the body is the rest of the connection, which Response.End closes or keeps
		r, err := inlet.ReadResponse(e.conn.r, q, e.conn.address)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			// Interim responses have no body (RFC 9110, section 15.2).
			continue
		}
		framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
		if r.Close || !framed {
			e.reusable = false
		}
		a := &Response{
			Status: r.StatusCode, Header: r.Header, Meta: e.pool.codec.ParseResponse(r.StatusCode, r.Header),
			Length: r.ContentLength, Framed: framed, exchange: e, body: r.Body,
		}
		return a, nil
	}
}

// Address returns the address of the upstream.
func (a *Response) Address() string { return a.exchange.conn.address }

// Read implements io.Reader for the body. Any error but io.EOF means that the body is
// incomplete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// End ends the exchange; further calls do nothing. The connection is kept for reuse if the
// body was read to its end and the request was written completely. Otherwise it is closed,
// which tells the upstream to stop its work.
func (a *Response) End() {
	a.exchange.end(a.complete && a.exchange.reusable, a.Meta.IdleTimeout)
}

// end returns the connection to the pool if keep is true and the connection is fit for
// reuse, and closes it otherwise. idle is the upstream's idle timeout; 0 means unstated.
func (e *exchange) end(keep bool, idle time.Duration) {
	if e.closed {
		return
	}
	e.closed = true
	intact := e.stopWatch()
	if keep && e.written != nil {
		select {
		case err := <-e.written:
			keep = err == nil
		case <-time.After(writeGrace):
			// The upstream responded before it had read the whole request.
			keep = false
		}
	}
	if !keep || !intact {
		e.pool.discard(e.conn)
		return
	}
	if err := e.conn.checkIdle(); err != nil {
		e.pool.reject(e.conn, err)
		return
	}
	e.pool.release(e.conn, idle)
}
