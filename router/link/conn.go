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
)

// conn is one connection to an upstream. It is used by one goroutine at a time.
type conn struct {
	net.Conn
	// bytes bounds what r reads from the connection.
	bytes   *quota.Reader
	r       *bufio.Reader
	address string
	// usedAt is when the connection became idle; idle is how long the upstream keeps it then.
	usedAt time.Time
	idle   time.Duration
	reused bool
	// last is the id of the request before.
	last call.ID
}

func newConn(n net.Conn, address string) *conn {
	b := quota.NewReader(n)
	return &conn{Conn: n, bytes: b, r: bufio.NewReaderSize(b, readBuffer), address: address}
}

// errUnexpected reports bytes on a connection that waits for no answer.
var errUnexpected = errors.New("bytes without a request")

// silent returns nil if an idle connection is open and nothing has arrived on
// it. Bytes that arrived belong to no request.
func (c *conn) silent() error {
	if c.r.Buffered() > 0 {
		return errUnexpected
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = errUnexpected
		case n == 0 && e == nil:
			state = io.EOF
		case errors.Is(e, syscall.EAGAIN):
		default:
			state = e
		}
		return true
	})
	if err != nil {
		return err
	}
	return state
}
