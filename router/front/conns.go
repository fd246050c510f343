package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tarragonvalve.example/router/sock"
)

// connections tracks which clients' connections are idle. Its zero value is ready for use.
// It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]*idleState
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the server's ConnContext hook. It makes the connection available to endReporter.handler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// idleState is how an open connection is used.
type idleState struct {
	// idleSince is when the connection became idle; it is zero while a request is served.
	idleSince time.Time
	// used is true once the connection has carried a request.
	used bool
	// ended is true if reads from the connection were ended while it was idle.
	ended bool
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// track is the server's ConnState hook. It records when connections become idle, and reports how they ended
// before they count as closed.
func (s *connections) track(c net.Conn, st http.ConnState) {
	if o, ok := c.(*clientConn); ok {
		o.stateChanged(st)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		if s.open == nil {
			s.open = map[net.Conn]*idleState{}
		}
		s.open[c] = &idleState{idleSince: time.Now()}
	case http.StateIdle:
		*s.open[c] = idleState{idleSince: time.Now(), used: true}
	case http.StateActive:
		if s.open[c].ended {
			// The headers had been read when reads were ended; the body may follow. An error
			// means that the connection is closed, which the read of the body reports.
			c.SetReadDeadline(time.Time{}) //nolint:errcheck,gosec // see above
		}
		*s.open[c] = idleState{used: true}
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
		if o, ok := c.(*clientConn); ok {
			o.setClosedIdle()
		}
		// An error means that the connection is closed already.
		x.ended = c.SetReadDeadline(expired) == nil
	}
}

// reportOpen reports the requests in progress right before their connections are closed.
func (s *connections) reportOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if o, ok := c.(*clientConn); ok {
			o.reportOpen()
		}
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
	o, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return false
	}
	n, err := sock.Peek(o)
	return n > 0 && err == nil
}

// unacknowledged returns the number of sent bytes that the peer has not acknowledged, or 0 if it can't be found out.
func unacknowledged(c *net.TCPConn) int {
	n, err := sock.Unacknowledged(c)
	if err != nil {
		return 0
	}
	return n
}

// unwrap returns the connection of the operating system in c.
func unwrap(c net.Conn) net.Conn {
	for {
		switch x := c.(type) {
		case *clientConn:
			c = x.Conn
		case *countedConn:
			c = x.Conn
		default:
			return c
		}
	}
}
