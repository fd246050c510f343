package front

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/known"
)

const (
	// defaultIdle is the idle time of clients' connections before a configuration is known.
	defaultIdle = 15 * time.Second
	// idleSweep is how often idle connections are checked.
	idleSweep = time.Second
	// headerLimit bounds the time for a request's head.
	headerLimit = 10 * time.Second
	maxHeader   = 64 << 10
	// keepIdle is how long the listener and idle connections stay open during a
	// stop: the balancer needs two missed checks, a second apart, and clients of
	// kept connections get an answer that tells them to close.
	keepIdle = 5 * time.Second
	// noticePart bounds it to a part of the grace period, for deployments with a short one.
	noticePart = 0.625
	// stopMargin is left of the grace period for the exit itself.
	stopMargin = 600 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Server serves clients on one listener and drains them when it stops.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Gate     *Gate
	Node     *known.Syncer
	// Grace returns the time between the signal to stop and the kill.
	Grace func() time.Duration
	// Refused counts a connection that is turned away.
	Refused func()
	Log     zerolog.Logger

	conns connections
}

// Name is the name of the step.
func (s *Server) Name() string { return "clients" }

// Run serves until ctx ends, and then until open requests have ended or the
// grace period is nearly over.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler: s.conns.guard(s.Handler), ReadHeaderTimeout: headerLimit, MaxHeaderBytes: maxHeader,
		ConnState: s.conns.track, ConnContext: withConn, ErrorLog: log.New(io.Discard, "", 0),
	}
	l, err := limitClients(s.Listener, s.Refused)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(l) }()
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-t.C:
			s.conns.closeIdle(s.idleLimit())
		case <-ctx.Done():
			s.drain()
			return s.end(h)
		}
	}
}

func (s *Server) end(h *http.Server) error {
	err := h.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain waits until no connection is left. The listener is closed first and idle
// connections after it, so no request is read that would then be given up.
func (s *Server) drain() {
	s.Gate.Stop()
	began := time.Now()
	notice := min(keepIdle, time.Duration(float64(s.Grace())*noticePart))
	s.Log.Info().Int("open", s.Gate.Open()).Msg("stopping: no longer ready")
	closed := false
	for {
		time.Sleep(stopPoll)
		past := time.Since(began)
		if past > s.Grace()-stopMargin {
			s.Log.Warn().Int("open", s.Gate.Open()).Msg("stopping: grace period over with requests open")
			return
		}
		if past <= notice {
			continue
		}
		if !closed {
			closed = true
			if err := s.Listener.Close(); err != nil {
				s.Log.Warn().Err(err).Msg("stopping: listener not closed")
			}
		}
		s.conns.closeIdle(0)
		if s.conns.count() == 0 && s.Gate.Open() == 0 {
			s.Log.Info().Msg("stopping: all requests ended")
			return
		}
	}
}

func (s *Server) idleLimit() time.Duration {
	d := s.Node.View().Document
	if d == nil || d.Limits.Idle <= 0 {
		return defaultIdle
	}
	return d.Limits.Idle
}
