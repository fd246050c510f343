package boot

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonvalve.example/core/inlet"
)

const (
	// firstRequestTimeout is how long a shutdown waits for the first request of a connection. net/http
	// waits as long for such connections.
	firstRequestTimeout = 5 * time.Second
	// drainPollInterval is how often a shutdown checks for connections without a request.
	drainPollInterval = 10 * time.Millisecond
)

// httpServer serves HTTP on a listener. Its shutdown answers the requests that it reads meanwhile.
type httpServer struct {
	listener net.Listener
	server   *http.Server
	// tls is set if the server's TLSConfig has the certificates of encrypted connections.
	tls bool

	unused unusedConns
	// waiting bounds the connections without a whole request; nil bounds none.
	waiting *inlet.Waiting
	// served is closed when the server accepts no connections any more; err is then why.
	served chan struct{}
	err    error
}

// start serves in a goroutine.
func (s *httpServer) start() {
	s.server.ConnState = s.track
	s.served = make(chan struct{})
	go func() {
		defer close(s.served)
		s.err = s.serve()
	}()
}

// track records the state of a connection.
func (s *httpServer) track(c net.Conn, st http.ConnState) {
	s.unused.track(c, st)
	if s.waiting != nil {
		s.waiting.Track(c, st)
	}
}

func (s *httpServer) serve() error {
	if s.tls {
		return s.server.ServeTLS(s.listener, "", "")
	}
	return s.server.Serve(s.listener)
}

// shutdown closes the listener, waits for the first requests of new connections and shuts the server
// down. http.Server.Shutdown alone drops a request that it reads after it was called.
func (s *httpServer) shutdown(ctx context.Context) error {
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	// Serve tracks a connection before it accepts the next one, so none is missed from here on.
	<-s.served
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.unused.waitFor(time.Now()) && ctx.Err() == nil {
		<-t.C
	}
	return s.server.Shutdown(ctx)
}

// unusedConns holds when the connections were accepted that have sent no request yet.
type unusedConns struct {
	mu       sync.Mutex
	accepted map[net.Conn]time.Time
}

// track records the state of a connection; it is a http.Server.ConnState.
func (u *unusedConns) track(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s != http.StateNew {
		delete(u.accepted, c)
		return
	}
	if u.accepted == nil {
		u.accepted = map[net.Conn]time.Time{}
	}
	u.accepted[c] = time.Now()
}

// waitFor reports whether a connection is unused and younger than firstRequestTimeout.
func (u *unusedConns) waitFor(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.accepted {
		if now.Sub(at) < firstRequestTimeout {
			return true
		}
	}
	return false
}
