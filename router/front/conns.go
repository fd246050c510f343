package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks which clients' connections are idle. Its zero value is ready for use.
// It is safe for concurrent use.
type connections struct {
	mu sync.Mutex
	// idle maps open connections to the time at which they became idle; the time is zero
	// while a request is served.
	idle map[net.Conn]time.Time
	// closed holds connections that closeIdle has closed, until the server reports their
	// end: a request may have been read from them at the same moment.
	closed map[net.Conn]bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the server's ConnContext hook. It makes the connection available to abortClosed.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abortClosed aborts requests that were read from a connection that closeIdle closed at the
// same moment: their clients see the connection end and assume that nothing ran.
func (s *connections) abortClosed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, ok := q.Context().Value(connKey{}).(net.Conn)
		if ok && s.wasClosed(c) {
			exchangeOf(q.Context()).crossed.Store(true)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, q)
	})
}

// wasClosed reports whether closeIdle has closed c.
func (s *connections) wasClosed(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[c]
}

// track is the server's ConnState hook. It records when connections become idle, and reports how they ended
// before they count as closed.
func (s *connections) track(c net.Conn, st http.ConnState) {
	if o, ok := c.(*clientConn); ok {
		o.stateChanged(st)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[net.Conn]time.Time{}
		s.closed = map[net.Conn]bool{}
	}
	switch st {
	case http.StateIdle, http.StateNew:
		s.idle[c] = time.Now()
	case http.StateActive:
		s.idle[c] = time.Time{}
	default:
		delete(s.idle, c)
		delete(s.closed, c)
	}
}

// closeIdle closes connections that have been idle longer than limit.
func (s *connections) closeIdle(limit time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, t := range s.idle {
		if !t.IsZero() && now.Sub(t) > limit {
			s.closed[c] = true
			if o, ok := c.(*clientConn); ok {
				o.setClosedIdle()
			}
			c.Close()
		}
	}
}

// reportOpen reports the requests in progress right before their connections are closed.
func (s *connections) reportOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		if o, ok := c.(*clientConn); ok {
			o.reportOpen()
		}
	}
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}
