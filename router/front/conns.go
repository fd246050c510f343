package front

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// connections tracks which clients' connections are idle. Its zero value is ready for use.
// It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]*connection
}

// connection is the state of an open connection.
type connection struct {
	// idleSince is when the connection became idle; it is zero while a request is served.
	idleSince time.Time
	// used is true once the connection has carried a request.
	used bool
	// ended is true if reads from the connection were ended while it was idle.
	ended bool
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// track is the server's ConnState hook. It records when connections become idle.
func (s *connections) track(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		if s.open == nil {
			s.open = map[net.Conn]*connection{}
		}
		s.open[c] = &connection{idleSince: time.Now()}
	case http.StateIdle:
		*s.open[c] = connection{idleSince: time.Now(), used: true}
	case http.StateActive:
		if s.open[c].ended {
			// The headers had been read when reads were ended; the body may follow. An error
			// means that the connection is closed, which the read of the body reports.
			c.SetReadDeadline(time.Time{}) //nolint:errcheck,gosec // see above
		}
		*s.open[c] = connection{used: true}
	default:
		delete(s.open, c)
	}
}

// endIdle ends the reads from connections that have been idle longer than limit, or have not carried a request for
// longer than unused, so that the server closes them. Unlike a close, that leaves a request that has been read
// meanwhile a connection for its answer. Connections with bytes to be read are left alone.
func (s *connections) endIdle(limit, unused time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, x := range s.open {
		l := limit
		if !x.used {
			l = unused
		}
		if x.idleSince.IsZero() || now.Sub(x.idleSince) <= l || hasInput(c) {
			continue
		}
		// An error means that the connection is closed already.
		x.ended = c.SetReadDeadline(expired) == nil
	}
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// hasInput reports whether bytes of a connection wait to be read. It doesn't block.
func hasInput(c net.Conn) bool {
	if x, ok := c.(*countedConn); ok {
		c = x.Conn
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err == nil && n > 0
	})
	return err == nil && waits
}
