package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/mirror"
)

const (
	// defaultIdleTimeout is the idle timeout of clients' connections if the configuration sets
	// none, or has not been read yet.
	defaultIdleTimeout = 15 * time.Second
	// idleCheckInterval is how often connections are checked for the idle timeout.
	idleCheckInterval = time.Second
	// headerTimeout bounds the time in which a client sends a request's headers, from their first byte, if the
	// configuration sets none.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's headers, in bytes, if the configuration sets none.
	maxHeaderBytes = 64 << 10
	// maxConfiguredHeader is the largest such size that a configuration can set.
	maxConfiguredHeader = 1 << 20
	// keepOpen is how long the listener and idle connections stay open during a shutdown.
	// A load balancer stops sending after two failed health checks, a second apart, and
	// clients that reuse a connection get a response that tells them to close it.
	keepOpen = 5 * time.Second
	// keepOpenFraction bounds keepOpen to a fraction of the grace period, for deployments with
	// a short one.
	keepOpenFraction = 0.625
	// acceptTime bounds the wait for the end of the accept loop at the end of a drain.
	acceptTime = 200 * time.Millisecond
	// exitMarginFraction is the part of the time between the end of a drain and that of the grace period which is kept
	// for the exit of the process.
	exitMarginFraction = 0.25
	// firstRequestTime is how long a drain waits for the first request of a new connection.
	firstRequestTime = 500 * time.Millisecond
	// drainPoll is how often a shutdown checks for open connections.
	drainPoll = 20 * time.Millisecond
)

// Server serves clients on one listener and drains it when it stops.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Gate     *Gate
	Syncer   *mirror.Syncer
	// Refused is called for each connection that is closed because too many are open.
	Refused func()
	// Ended is called for each connection that ends without a complete answer.
	Ended func(ending.Cause)
	// Refuse refuses the first request of a connection and closes it, or returns the bytes that it has read. Nil refuses
	// none.
	Refuse func(net.Conn) (head []byte, refused bool)
	// RequestID returns the id in a request's headers.
	RequestID func(http.Header) call.ID
	Log       zerolog.Logger

	conns connections
	// listenerClosed is true once Run has closed the listener.
	listenerClosed bool
}

// Name implements serve.Component.
func (s *Server) Name() string { return "clients" }

// Run serves until ctx ends, and then until all requests have ended or the grace period is
// nearly over. It returns an error if the listener fails before that.
func (s *Server) Run(ctx context.Context) error {
	base, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	l, err := limitConnections(s.Listener, s.Refused, logger.WarnFunc(s.Log, "connection not accepted"))
	if err != nil {
		return err
	}
	ends := &endReporter{
		gate: s.Gate, count: s.Ended, requestID: s.RequestID, log: s.Log, arrivals: arrivals{overdue: s.Gate.lateness.Overdue},
		waiting: newWaiting(l.limit), headLimits: s.headLimits,
	}
	// clientConn bounds the time and the bytes of heads.
	h := &http.Server{ //nolint:gosec // see above
		BaseContext: func(net.Listener) context.Context { return base },
		Handler:     ends.handler(s.Handler), MaxHeaderBytes: maxConfiguredHeader,
		ConnState: s.conns.track, ConnContext: withConn, ErrorLog: logger.ErrorLog(s.Log, "clients' HTTP server reported an error"),
	}
	served := make(chan error, 1)
	go func() { served <- h.Serve(&observedListener{Listener: l, ends: ends, refuse: s.Refuse}) }()
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case err := <-served:
			return err
		case <-t.C:
			s.conns.endIdle(s.idleTimeout(), s.idleTimeout())
		case <-ctx.Done():
			if !s.drain(served) {
				s.closeListener(served, acceptTime)
				s.abort(cancel)
			}
			ends.closed.Store(true)
			s.conns.reportOpen()
			return s.closeAll(h)
		}
	}
}

// closeAll closes the listener, if it is still open, and all connections.
func (s *Server) closeAll(h *http.Server) error {
	s.logLeft(s.Log.Info(), "stopping: connections are closed")
	err := h.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain waits until no connection is left, at most until stopMargin before the end of the
// grace period, and reports whether it succeeded. It closes the listener before idle connections, so
// that no request is read and then abandoned. served receives the end of the accept loop.
func (s *Server) drain(served <-chan error) bool {
	s.Gate.Stop()
	keep := min(keepOpen, time.Duration(float64(s.Gate.grace())*keepOpenFraction))
	s.Log.Info().Int("open", s.Gate.InFlight()).Msg("stopping: no longer ready")
	for {
		time.Sleep(drainPoll)
		past, _ := s.Gate.stoppedFor()
		if past > s.Gate.drainTime() {
			return false
		}
		if past <= keep {
			continue
		}
		s.closeListener(served, s.Gate.drainTime()-past)
		if s.drained() {
			s.logLeft(s.Log.Info(), "stopping: all requests ended")
			return true
		}
	}
}

// closeListener closes the listener and waits, at most for limit, until the accept loop has ended: only then are all
// accepted connections counted. Further calls do nothing.
func (s *Server) closeListener(served <-chan error, limit time.Duration) {
	if s.listenerClosed {
		return
	}
	s.listenerClosed = true
	if err := s.Listener.Close(); err != nil {
		s.Log.Warn().Err(err).Msg("stopping: listener not closed")
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case err := <-served:
		s.Log.Info().AnErr("reason", err).Msg("stopping: listener closed")
	case <-t.C:
		s.Log.Warn().Msg("stopping: accept loop not ended")
	}
}

// drained has idle connections closed and reports whether neither connections nor requests are left.
func (s *Server) drained() bool {
	s.conns.endIdle(0, firstRequestTime)
	return s.conns.count() == 0 && s.Gate.InFlight() == 0
}

// abort ends the requests in progress, so that their clients are told rather than cut off, and waits until
// they are answered, at most until the process has to exit.
func (s *Server) abort(cancel context.CancelCauseFunc) {
	s.logLeft(s.Log.Warn(), "stopping: grace period over with requests open")
	cancel(errDrained)
	grace := s.Gate.grace()
	limit := grace - time.Duration(exitMarginFraction*float64(grace-s.Gate.drainTime()))
	for !s.drained() {
		if past, _ := s.Gate.stoppedFor(); past > limit {
			return
		}
		time.Sleep(drainPoll)
	}
}

// logLeft logs the connections and requests that are left in a shutdown, and the time since it began.
func (s *Server) logLeft(e *zerolog.Event, message string) {
	past, _ := s.Gate.stoppedFor()
	e.Int("connections", s.conns.count()).Int("open", s.Gate.InFlight()).Dur("since-stop", past).Msg(message)
}

// idleTimeout returns the idle timeout of clients' connections.
func (s *Server) idleTimeout() time.Duration {
	d := s.Syncer.View().Document
	if d == nil || d.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return d.Limits.IdleTimeout
}

// headLimits returns the bounds of a request's headers.
func (s *Server) headLimits() headLimits {
	l := headLimits{bytes: maxHeaderBytes, time: headerTimeout}
	d := s.Syncer.View().Document
	if d == nil {
		return l
	}
	if d.Limits.MaxHeader > 0 {
		l.bytes = int(min(d.Limits.MaxHeader, maxConfiguredHeader))
	}
	if d.Limits.HeaderTimeout > 0 {
		l.time = d.Limits.HeaderTimeout
	}
	return l
}
