package front

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
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
	// keepIdle is how long idle connections stay open during a stop, so that
	// their clients get an answer that tells them to close.
	keepIdle = 5 * time.Second
	// stopMargin is left of the grace period for the exit itself.
	stopMargin = 600 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Server serves clients on one listener and drains them when it stops.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Gate     *Gate
	Node     *known.Node
	// Grace is the time between the signal to stop and the kill.
	Grace func() time.Duration
	Log   zerolog.Logger

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

// Name is the name of the step.
func (s *Server) Name() string { return "clients" }

// Run serves until ctx ends, and then until open requests have ended or the
// grace period is nearly over.
func (s *Server) Run(ctx context.Context) error {
	s.idle = map[net.Conn]time.Time{}
	h := &http.Server{
		Handler: s.Handler, ReadHeaderTimeout: headerLimit, MaxHeaderBytes: maxHeader,
		ConnState: s.track, ErrorLog: log.New(io.Discard, "", 0),
	}
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(s.Listener) }()
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-t.C:
			s.closeIdle(s.idleLimit())
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

// drain waits for the end of open requests.
func (s *Server) drain() {
	s.Gate.Stop()
	began := time.Now()
	s.Log.Info().Int("open", s.Gate.Open()).Msg("stopping: no longer ready")
	for {
		time.Sleep(stopPoll)
		past := time.Since(began)
		if past > s.Grace()-stopMargin {
			s.Log.Warn().Int("open", s.Gate.Open()).Msg("stopping: grace period over with requests open")
			return
		}
		if past > keepIdle {
			s.closeIdle(0)
			if s.Gate.Open() == 0 {
				s.Log.Info().Msg("stopping: all requests ended")
				return
			}
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

// track remembers since when a connection has been idle.
func (s *Server) track(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateIdle, http.StateNew:
		s.idle[c] = time.Now()
	default:
		delete(s.idle, c)
	}
}

// closeIdle closes connections that have been idle longer than limit.
func (s *Server) closeIdle(limit time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, t := range s.idle {
		if now.Sub(t) > limit {
			c.Close()
			delete(s.idle, c)
		}
	}
}
