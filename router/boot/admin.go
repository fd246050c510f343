package boot

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/router/front"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/setup"
)

const (
	// headerTimeout bounds the time in which a request's headers must arrive.
	headerTimeout = 2 * time.Second
	// maxAdminHead bounds the head of a request, in bytes.
	maxAdminHead = 16 << 10
)

// admin serves readiness at /readyz, metrics at /metrics and, to its own machine, /quarantines and, if
// the settings say so, profiles at /debug/pprof/. It is a serve.Component.
type admin struct {
	listener net.Listener
	server   *http.Server
}

// newAdmin opens the admin listener. /readyz responds 200 if g is ready, else 503.
func newAdmin(s *setup.Settings, g *front.Gate, t *meter.Meter, p *poison.Registry, l zerolog.Logger) (*admin, error) {
	i, err := net.Listen("tcp", s.Admin)
	if err != nil {
		return nil, err
	}
	m := chi.NewRouter()
	m.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	m.Handle("/metrics", t.Handler())
	(&quarantines{Registry: p, log: l}).routes(m)
	if s.Profiles {
		profileRoutes(m)
	}
	v := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxAdminHead, ConnState: inlet.NewWaiting(inlet.MaxWaiting).Track}
	return &admin{listener: i, server: v}, nil
}

// Name implements serve.Component.
func (a *admin) Name() string { return "admin" }

// Run serves until ctx ends, and then closes the listener and all connections.
func (a *admin) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- a.server.Serve(a.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return a.server.Close()
	}
}

// profileRoutes adds the profiles of the process to m, for its own machine.
func profileRoutes(m chi.Router) {
	m.Group(func(m chi.Router) {
		m.Use(localOnly)
		m.Get("/debug/pprof/", pprof.Index)
		m.Get("/debug/pprof/profile", pprof.Profile)
		m.Get("/debug/pprof/trace", pprof.Trace)
		m.Get("/debug/pprof/{name}", func(w http.ResponseWriter, r *http.Request) {
			pprof.Handler(chi.URLParam(r, "name")).ServeHTTP(w, r)
		})
	})
}
