package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/sock"
)

// conn is one connection to an upstream. It is used by one goroutine at a time.
type conn struct {
	*inlet.Conn
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
	c := inlet.NewConn(n)
	b := quota.NewReader(c)
	return &conn{Conn: c, limiter: b, r: bufio.NewReaderSize(b, readBuffer), address: address}
}

// errExtraAnswer reports what begins as an answer on an idle connection. The id of an extra answer
// tells it from the next request's, so unlike other bytes it costs no request.
var errExtraAnswer = errors.New("an extra answer on an idle connection")

// statusPrefix is what each answer begins with.
const statusPrefix = "HTTP/"

// checkIdle returns nil if the idle connection is open and no bytes have arrived on it. Bytes
// can't belong to the next request's response: it returns errExtraAnswer if they begin as an
// answer, and an *ExcessError otherwise. It returns io.EOF if the upstream closed the connection.
// It doesn't block.
func (c *conn) checkIdle() error {
	if c.r.Buffered() > 0 {
		return c.unexpected()
	}
	s, ok := c.Conn.Conn.(syscall.Conn)
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
		return c.unexpected()
	}
}

// unexpected returns the error for bytes that have arrived on the idle connection. There must be
// at least one, so that it doesn't block.
func (c *conn) unexpected() error {
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	b, err := c.r.Peek(min(c.r.Buffered(), len(statusPrefix)))
	if err != nil {
		return err
	}
	if strings.HasPrefix(statusPrefix, string(b)) {
		return errExtraAnswer
	}
	return &ExcessError{Address: c.address}
}

// awaitAnswer waits for the first bytes of an answer. It returns an *ExcessError if the bytes are
// no answer though an earlier one on the connection was valid: the upstream had not ended that one.
func (c *conn) awaitAnswer() error {
	if !c.reused {
		return nil
	}
	b, err := c.r.Peek(len(statusPrefix))
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	case string(b) != statusPrefix:
		return &ExcessError{Address: c.address}
	default:
		return nil
	}
}

// isExcess reports whether err is due to bytes that belong to no answer.
func isExcess(err error) bool {
	var x *ExcessError
	return errors.As(err, &x)
}
