package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections knows the state of clients' connections. It is safe for concurrent use.
type connections struct {
	mu sync.Mutex
	// idle maps open connections to the time since which they wait for a request;
	// the time is zero while one is served.
	idle map[net.Conn]time.Time
	// closed holds connections that were closed while idle, until their end is
	// reported: a request may have been read at the same moment.
	closed map[net.Conn]bool
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// guard keeps requests off that were read from a connection that was closed at
// the same moment: their clients are told that nothing was read.
func (s *connections) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, ok := q.Context().Value(connKey{}).(net.Conn)
		if ok && s.wasClosed(c) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, q)
	})
}

func (s *connections) wasClosed(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[c]
}

// track is the server's ConnState hook.
func (s *connections) track(c net.Conn, st http.ConnState) {
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
			c.Close()
		}
	}
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}
