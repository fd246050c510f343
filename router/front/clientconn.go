package front

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ending"
)

// observedListener wraps the connections that it accepts in clientConn.
type observedListener struct {
	net.Listener

	ends *endReporter
	// refuse refuses the first request of a connection and closes it, or returns the bytes that it has read; nil refuses
	// none.
	refuse func(net.Conn) (head []byte, refused bool)
}

// Accept implements net.Listener.
func (l *observedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.refuse == nil {
			return l.ends.accepted(c, nil), nil
		}
		if head, refused := l.refuse(c); !refused {
			return l.ends.accepted(c, head), nil
		}
	}
}

// accepted returns the connection c, of which head has been read, and has another one closed if too many wait for their
// first request.
func (r *endReporter) accepted(c net.Conn, head []byte) *clientConn {
	x := &clientConn{Conn: c, ends: r, head: head, reading: headRead{complete: true}}
	if o := r.waiting.add(x); o != nil {
		o.evict()
	}
	return x
}

// clientConn is a client's connection that reports how it ended, if that was without a complete answer.
type clientConn struct {
	net.Conn

	ends *endReporter
	// head holds bytes that were read before the connection was served and are still to be returned by Read, which is not
	// called concurrently.
	head []byte

	mu sync.Mutex
	// exchange is the request in progress and its answer; nil between requests.
	exchange *exchange
	// unhandled is the number of bytes read since the last request that reached the handler.
	unhandled int
	// arrival is that of the request which is being read.
	arrival arrival
	// readErr is the error of the last read, writeErr that of the first write that failed.
	readErr, writeErr error
	// clientEnd is the error of the first read which shows that the client closed its sending side or reset the
	// connection. net/http may read on, which fails by another error.
	clientEnd error
	// status is that of an answer that net/http wrote by itself; 0 means none.
	status int
	// reading is the state of the head that is being read, waiter what its bytes have reserved.
	reading headRead
	waiter  waiter
	// refused is true once a head was refused, after which nothing more is read or sent.
	refused atomic.Bool
	// gaveWay is true if the connection was closed as too many wait for their requests.
	gaveWay bool
	// headCost is what the headers of the request in progress take in memory, in bytes.
	headCost int64
	// closedIdle is true from when on the connection is closed as idle, unless a request had been read.
	closedIdle bool
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.readPart(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.arrived()
	}
	c.unhandled += n
	c.readErr = err
	if c.clientEnd == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.clientEnd = err
	}
	return n, err
}

// readPart reads bytes of a head, or else of a body.
func (c *clientConn) readPart(b []byte) (int, error) {
	if c.readsHead() {
		return c.readHead(b)
	}
	n, err := c.read(b)
	c.reading.seen(b[:n])
	return n, err
}

// readsHead reports whether a head is being read. From its end on net/http reads one byte at a time to detect that the
// client has left, already before the handler begins.
func (c *clientConn) readsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == nil && !c.reading.ended
}

// read returns the bytes that were read before, or else reads from the connection.
func (c *clientConn) read(b []byte) (int, error) {
	if len(c.head) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.head)
	c.head = c.head[n:]
	return n, nil
}

// arrived records when the bytes that have just been read could have been. c.mu must be held.
func (c *clientConn) arrived() {
	now := time.Now()
	if c.exchange == nil && c.unhandled == 0 {
		c.arrival.begin(now, c.ends.arrivals.delay(c))
		return
	}
	c.arrival.more(now)
}

// Write implements net.Conn. After a head that was refused it drops what net/http answers to the rest of it.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.exchange == nil && c.status == 0 {
		c.status = responseStatus(b)
	}
	return n, err
}

const (
	// lingerTime bounds how long the close of a connection waits for the client to receive the answer.
	lingerTime = 5 * time.Second
	// lingerPoll is how often it checks for that at first; the time doubles up to lingerPollMax.
	lingerPoll    = 5 * time.Millisecond
	lingerPollMax = 100 * time.Millisecond
	// lingerBytes is the size of the rest of an answer, in bytes, from which on the close waits in any case. Less is
	// sent at once: it is the initial congestion window of RFC 6928.
	lingerBytes = 14_600
)

// Close implements net.Conn. The kernel resets a connection if bytes are unread at its close, or arrive later, and drops
// what it has not sent yet. The close first waits until the client has received the answer if that may happen. An
// answer that is cut, and that the end of its connection would make look complete, is reset.
func (c *clientConn) Close() error {
	defer c.ends.waiting.end(c)
	o, ok := tcpConn(c)
	if ok && c.endsInAnswer() && o.SetLinger(0) == nil {
		return c.Conn.Close()
	}
	if ok && !c.ends.closed.Load() && (hasInput(c) || unacknowledged(o) >= lingerBytes) {
		c.linger(o)
	}
	return c.Conn.Close()
}

// endsInAnswer reports whether the connection is closed in the middle of an answer that its end would complete.
func (c *clientConn) endsInAnswer() bool {
	x := c.current()
	return x != nil && x.closeDelimited && (x.cut.Load() || (c.ends.closed.Load() && x.outcome.Load() == nil))
}

// linger ends the sending side and waits until the client has received all bytes, at most for lingerTime.
func (c *clientConn) linger(o *net.TCPConn) {
	if o.CloseWrite() != nil {
		return
	}
	end, pause := time.Now().Add(lingerTime), lingerPoll
	for time.Now().Before(end) && !c.ends.closed.Load() && unacknowledged(o) > 0 {
		time.Sleep(pause)
		pause = min(2*pause, lingerPollMax)
	}
}

// responseStatus returns the status of the HTTP/1 response that begins with b, or 0.
func responseStatus(b []byte) int {
	const prefix, digits = "HTTP/1.1 ", 3
	if !bytes.HasPrefix(b, []byte(prefix)) || len(b) < len(prefix)+digits {
		return 0
	}
	n, err := strconv.Atoi(string(b[len(prefix) : len(prefix)+digits]))
	if err != nil {
		return 0
	}
	return n
}

// begin records a request that reached the handler.
func (c *clientConn) begin(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.headRefused = !c.ends.waiting.begin(c, c.headCost)
	c.exchange = x
	x.conn = c
	if c.unhandled > 0 {
		x.waited = c.arrival.waited(x.arrived)
		x.arrived = c.arrival.first
	}
	c.unhandled = 0
	c.closedIdle = false
}

// current returns the request in progress, or nil.
func (c *clientConn) current() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// setClosedIdle records that reads from the connection are ended as it is idle.
func (c *clientConn) setClosedIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedIdle = true
}

// headComplete ends the bounds of a head that has been read whole, before net/http reads on to detect that the client has
// left. The connection no longer has to give way to others.
func (c *clientConn) headComplete() {
	c.ends.waiting.whole(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading.ended = true
	c.endHead()
}

// stateChanged reports the end of the request in progress, and that of the connection, if it was not proper. It
// must be called by the server's ConnState hook.
func (c *clientConn) stateChanged(s http.ConnState) {
	if s == http.StateActive {
		c.headComplete()
		return
	}
	if s != http.StateIdle && s != http.StateClosed {
		return
	}
	c.ends.waiting.end(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.reading.ended = false
		c.endHead()
	}
	endAnswer(c, c.exchange)
	switch x := c.exchange; {
	case x != nil:
		if n, ok := x.incomplete(c.writeErr, c.clientEnd); ok {
			c.ends.report(n, x)
		}
	case s == http.StateClosed:
		if n, ok := c.unanswered(); ok {
			c.ends.report(n, nil)
		}
	}
	c.exchange = nil
	c.unhandled = 0
	c.status = 0
}

// reportOpen reports a request in progress right before the process closes its connection.
func (c *clientConn) reportOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.exchange; x != nil && x.outcome.Load() == nil {
		c.ends.report(end{cause: ending.ServerClosed}, x)
	}
}

// unanswered returns how the connection ended while no handler was at work, and false if the client closed it
// between two requests.
func (c *clientConn) unanswered() (end, bool) {
	begun := c.unhandled > 0
	switch {
	case begun && c.clientEnd != nil:
		// net/http answers headers that end early too.
		return end{cause: ending.ClientGone, err: c.clientEnd}, true
	case c.status >= http.StatusBadRequest:
		return end{cause: ending.ProtocolError, status: c.status}, true
	case c.gaveWay:
		return end{cause: ending.TooManyWaiting}, true
	case c.closedIdle && begun:
		return end{cause: ending.ClosedWhileIdle}, true
	case begun && errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return end{cause: ending.HeaderTimeout, err: c.readErr}, true
	case begun && c.ends.closed.Load():
		return end{cause: ending.ServerClosed}, true
	case c.closedIdle || c.ends.closed.Load():
		return end{cause: ending.Idle}, true
	default:
		return end{}, false
	}
}
