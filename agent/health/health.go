// Package health serves the agent's health, readiness, build information and metrics over
// HTTP.
package health

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/panics"
)

// Options configures a Server.
type Options struct {
	Listener net.Listener
	Registry *prometheus.Registry
	// Panics reports the panics of handlers.
	Panics *panics.Reporter
	Log    zerolog.Logger
	// Ready returns the reasons why the agent is not ready. It returns none if the agent is
	// ready.
	Ready func() []string
}

// headerTimeout bounds the time in which a request header must arrive, stopTimeout the wait
// for open requests on shutdown.
const (
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
)

// Server is the HTTP server on the admin address of an agent.
type Server struct {
	options Options
}

// New returns a server. Run serves on the listener.
func New(o Options) *Server {
	return &Server{options: o}
}

// Name implements serve.Step.
func (s *Server) Name() string {
	return "health"
}

// Run serves until ctx ends and the open requests have ended. It implements serve.Step.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.options.Panics.Handler(s.Handler()),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    inlet.MaxHeadBytes,
		ConnState:         inlet.NewWaiting(inlet.MaxWaiting).Track,
		ErrorLog:          logger.ErrorLog(s.options.Log, "the HTTP server reports an error"),
	}
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(s.options.Listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if h.Shutdown(c) != nil {
		_ = h.Close() // the process exits next, so an error has no effect
	}
	return nil
}

// Handler returns the handler of /healthz, /readyz, /buildz and /metrics.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	r.Get("/readyz", s.ready)
	r.Get("/buildz", build)
	r.Handle("/metrics", promhttp.HandlerFor(s.options.Registry, promhttp.HandlerOpts{}))
	return r
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reasons := s.options.Ready()
	if len(reasons) > 0 {
		write(w, http.StatusServiceUnavailable, map[string]any{"status": "not-ready", "reasons": reasons})
		return
	}
	write(w, http.StatusOK, map[string]string{"status": "ready"})
}

func build(w http.ResponseWriter, _ *http.Request) {
	out := map[string]string{}
	if b, ok := debug.ReadBuildInfo(); ok {
		out["go"] = b.GoVersion
		out["module"] = b.Main.Path
		for _, s := range b.Settings {
			switch s.Key {
			case "vcs.revision", "vcs.time", "vcs.modified":
				out[s.Key] = s.Value
			}
		}
	}
	write(w, http.StatusOK, out)
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
