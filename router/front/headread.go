package front

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"time"

	"tarragonvalve.example/core/refuse"
)

const (
	// maxEmptyBytes is the number of bytes of empty lines that are skipped before a request. A server should skip at least
	// one (RFC 9112, section 2.2).
	maxEmptyBytes = 16
	// headPoll is how often a connection checks whether there is memory for more of its head.
	headPoll = 5 * time.Millisecond
	// headExtension is the time for bytes of a head that wait to be read when its time is over.
	headExtension = 200 * time.Millisecond
	// refusalTime bounds the time for the answer to a head that is refused.
	refusalTime = time.Second
)

// headLimits are the bounds of a head in force.
type headLimits struct {
	// bytes is the largest length of a head with the empty lines before it, time how long it may take from its first byte.
	bytes int
	time  time.Duration
}

// headRead is the state of the head that is being read from a connection. The fields but deadline, end and evicted belong
// to the goroutine that reads; those are guarded by clientConn.mu.
type headRead struct {
	limits headLimits
	// bytes, lines and empty are the numbers of bytes and lines read of the head, and of bytes of empty lines before it.
	bytes, lines, empty int
	// last holds the last bytes that were read from the connection; complete is true if it is new or they end with an
	// empty line, so that a line end which follows is no part of a head.
	complete bool
	last     [2]byte
	// err is returned by all reads after the head was refused.
	err error

	// deadline is that of reads as net/http and the handler set it, end that of the head; zero means none.
	deadline, end time.Time
	// extended is true if end was moved once.
	extended bool
	// evicted is true if the connection has to give way to others.
	evicted bool
	// ended is true from the end of a head until its answer has ended.
	ended bool
}

// cost is what the head takes in memory, in bytes, once it is parsed as far as it has been read.
func (r *headRead) cost() int64 { return int64(r.bytes*byteCost + r.lines*lineCost) }

// SetReadDeadline implements net.Conn. The deadline of a head stays in force beside it.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading.deadline = t
	return c.applyDeadline()
}

// applyDeadline sets the earlier one of both deadlines. c.mu must be held.
func (c *clientConn) applyDeadline() error {
	r := &c.reading
	t := r.deadline
	switch {
	case r.evicted:
		t = expired
	case !r.end.IsZero() && (t.IsZero() || r.end.Before(t)):
		t = r.end
	}
	return c.Conn.SetReadDeadline(t)
}

// evict has the connection closed unless its request has been read meanwhile.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != nil || c.reading.ended {
		return
	}
	c.reading.evicted = true
	c.applyDeadline() //nolint:errcheck,gosec // an error means that the connection is closed
}

// readHead reads bytes of a head within its bounds. It skips empty lines before the head. After a head that it refuses it
// returns os.ErrDeadlineExceeded, on which net/http closes the connection without an answer of its own.
func (c *clientConn) readHead(b []byte) (int, error) {
	r := &c.reading
	for r.err == nil {
		if r.bytes == 0 && r.empty == 0 {
			r.limits = c.ends.headLimits()
		}
		left := r.limits.bytes - r.bytes - r.empty
		if left <= 0 {
			return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, refuse.New(refuse.BadRequest, refuse.NotRun, "the head is longer than %d bytes", r.limits.bytes))
		}
		b = b[:min(len(b), left)]
		n, err := c.read(b)
		if n > 0 {
			c.startHead()
		}
		skipped := c.skipEmpty(b[:n])
		copy(b, b[skipped:n])
		n -= skipped
		r.add(b[:n])
		if r.empty > maxEmptyBytes {
			return 0, c.refuseHead(http.StatusBadRequest, refuse.New(refuse.BadRequest, refuse.NotRun, "too many empty lines before a request"))
		}
		switch {
		case n > 0 && !c.awaitHeadMemory():
			return 0, c.refuseTime()
		case n > 0:
			return n, err
		case err != nil && isTimeout(err) && c.extend():
		case err != nil && isTimeout(err):
			return 0, c.timedOut(err)
		case err != nil || skipped == 0:
			return 0, err
		}
	}
	return 0, r.err
}

// add counts bytes of a head.
func (r *headRead) add(b []byte) {
	r.bytes += len(b)
	r.lines += bytes.Count(b, []byte{'\n'})
	r.seen(b)
}

// seen records the last bytes that were read.
func (r *headRead) seen(b []byte) {
	for _, x := range b[max(len(b)-3, 0):] {
		r.complete = x == '\n' && (r.last[1] == '\n' || r.last == [2]byte{'\n', '\r'})
		r.last = [2]byte{r.last[1], x}
	}
}

// skipEmpty returns the number of bytes of empty lines at the start of b, if no byte of the head came before.
func (c *clientConn) skipEmpty(b []byte) int {
	r := &c.reading
	if r.bytes > 0 || !r.complete {
		return 0
	}
	n := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	r.empty += n
	return n
}

// startHead sets the deadline of a head at its first byte.
func (c *clientConn) startHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := &c.reading; r.end.IsZero() && c.exchange == nil && !r.ended {
		r.end = time.Now().Add(r.limits.time)
		c.applyDeadline() //nolint:errcheck,gosec // the next read reports it
	}
}

// endHead ends the bounds of a head, as it has been read or its answer has ended. c.mu must be held.
func (c *clientConn) endHead() {
	r := &c.reading
	c.headCost = r.cost()
	r.bytes, r.lines, r.empty = 0, 0, 0
	if r.end.IsZero() && !r.evicted {
		return
	}
	r.end, r.evicted, r.extended = time.Time{}, false, false
	c.applyDeadline() //nolint:errcheck,gosec // the next read reports it
}

// awaitHeadMemory waits until there is memory for the head as far as it has been read, before net/http parses it. It
// returns false if the connection has to give way, or if the time of the head is over.
func (c *clientConn) awaitHeadMemory() bool {
	cost := c.reading.cost()
	for {
		fits, other := c.ends.waiting.read(c, cost)
		if fits {
			return true
		}
		if other != nil {
			other.evict()
		}
		c.mu.Lock()
		over := c.reading.evicted || (!c.reading.end.IsZero() && time.Now().After(c.reading.end))
		c.mu.Unlock()
		if over || c.ends.closed.Load() {
			return false
		}
		time.Sleep(headPoll)
	}
}

// isTimeout reports whether a read ended by its deadline.
func isTimeout(err error) bool {
	e, ok := err.(interface{ Timeout() bool })
	return ok && e.Timeout()
}

// extend gives a head whose time is over a little more, once, if bytes of it wait to be read: they may have come in time,
// while this process did not run.
func (c *clientConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.reading
	if r.extended || r.evicted || r.end.IsZero() || time.Now().Before(r.end) || !hasInput(c) {
		return false
	}
	r.extended = true
	r.end = time.Now().Add(headExtension)
	return c.applyDeadline() == nil
}

// timedOut refuses the head if the deadline of the read that failed with err was its own.
func (c *clientConn) timedOut(err error) error {
	c.mu.Lock()
	r := &c.reading
	own := r.evicted || (!r.end.IsZero() && !time.Now().Before(r.end))
	c.mu.Unlock()
	if !own {
		return err
	}
	return c.refuseTime()
}

// refuseTime refuses a head that did not arrive in time, or closes a connection that has to give way.
func (c *clientConn) refuseTime() error {
	c.mu.Lock()
	evicted := c.reading.evicted
	c.gaveWay = evicted
	c.mu.Unlock()
	if evicted {
		return c.refuseHead(http.StatusServiceUnavailable, refuse.New(refuse.Overloaded, refuse.NotRun, "too many connections wait for their requests").WithRetryAfter(retryStale))
	}
	return c.refuseHead(http.StatusRequestTimeout, refuse.New(refuse.RequestTimeout, refuse.NotRun, "the head did not arrive in %s", c.reading.limits.time).WithRetryAfter(retryStale))
}

// refuseHead answers a head that is refused and returns the error of all further reads. A connection without a byte of a
// request gets no answer.
func (c *clientConn) refuseHead(status int, e *refuse.Error) error {
	r := &c.reading
	r.err = os.ErrDeadlineExceeded
	c.refused.Store(true)
	if r.bytes+r.empty == 0 {
		return r.err
	}
	c.mu.Lock()
	if status == http.StatusRequestHeaderFieldsTooLarge || status == http.StatusBadRequest {
		c.status = status
	}
	c.mu.Unlock()
	body := refusalBody(e)
	retry := ""
	if e.RetryAfter > 0 {
		retry = "Retry-After: " + retryAfter(e) + "\r\n"
	}
	// An error means that the client has left.
	if c.SetWriteDeadline(time.Now().Add(refusalTime)) == nil {
		fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n%s",
			status, http.StatusText(status), len(body), retry, body)
	}
	return r.err
}
