package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/sock"
)

// conn is one connection to an upstream. It is used by one goroutine at a time.
type conn struct {
	net.Conn
	// limiter bounds what r reads from the connection.
	limiter *quota.Reader
	r       *bufio.Reader
	address string
	// idleSince is when the connection became idle; it may be reused for idleTimeout from then.
	idleSince   time.Time
	idleTimeout time.Duration
	// reused is true if the connection carried an earlier request.
	reused bool
	// lastID is the id of the most recent request; it is empty before the first.
	lastID call.ID
}

// newConn wraps a connection to the upstream at address.
func newConn(n net.Conn, address string) *conn {
	b := quota.NewReader(n)
	return &conn{Conn: n, limiter: b, r: bufio.NewReaderSize(b, readBuffer), address: address}
}

// errUnexpected reports bytes that arrived on an idle connection.
var errUnexpected = errors.New("unexpected bytes on an idle connection")

// checkIdle returns nil if the idle connection is open and no bytes have arrived on it. It
// returns errUnexpected if there are bytes, which can't belong to the next request's
// response, and io.EOF if the upstream closed the connection. It doesn't block.
func (c *conn) checkIdle() error {
	if c.r.Buffered() > 0 {
		return errUnexpected
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	n, err := sock.Peek(s)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return err
	case n == 0:
		return io.EOF
	default:
		return errUnexpected
	}
}
