package boot

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/relay"
)

const (
	// headerLimit and idleLimit bound connections that send nothing.
	headerLimit = 10 * time.Second
	idleLimit   = 2 * time.Minute
	maxHeader   = 64 << 10
	// flushLimit bounds writing the last receipts at shutdown.
	flushLimit = 10 * time.Second
	// stopLimit bounds the end of the listeners that have no requests to wait for.
	stopLimit = 2 * time.Second
)

// phase is the readiness of the process.
type phase struct {
	draining  atomic.Bool
	node      *spread.Replica
	isolation time.Duration
	now       func() time.Time
}

// ready returns why the process is not ready, or nil.
func (p *phase) ready() error {
	switch {
	case p.draining.Load():
		return errors.New("draining")
	case p.node.View().Document() == nil:
		return errors.New("no-document")
	case p.now().Sub(p.node.LastContact()) > p.isolation:
		return errors.New("isolated: neither table nor peers answer")
	default:
		return nil
	}
}

// callers serves the callers' API and drains it.
type callers struct {
	listener net.Listener
	server   *http.Server
	tls      bool
	phase    *phase
	notice   time.Duration
	limit    time.Duration
	relay    *relay.Relay
	ring     *event.Ring
	log      zerolog.Logger
}

// Name is the name of the step.
func (c *callers) Name() string { return "callers" }

// Run serves until the context ends. It then stays open for the drain notice, so
// that the load balancer sends callers elsewhere, and lets open requests end.
func (c *callers) Run(ctx context.Context) error {
	base, abort := context.WithCancel(context.Background())
	defer abort()
	c.server.BaseContext = func(net.Listener) context.Context { return base }
	failed := make(chan error, 1)
	go func() { failed <- c.serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	c.phase.draining.Store(true)
	c.ring.Record(event.Event{Kind: event.DrainStarted})
	c.log.Info().Msg("draining")
	pause(c.notice)
	d, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	if err := c.server.Shutdown(d); err != nil {
		c.log.Warn().Msg("drain limit reached, open requests are cancelled")
		abort()
		c.finish()
	}
	w, stop := context.WithTimeout(context.Background(), stopLimit)
	defer stop()
	c.relay.Wait(w)
	c.ring.Record(event.Event{Kind: event.DrainEnded})
	return nil
}

// finish gives cancelled requests time to send their final answers.
func (c *callers) finish() {
	d, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if c.server.Shutdown(d) != nil {
		_ = c.server.Close()
	}
}

func (c *callers) serve() error {
	return serveHTTP(c.server, c.listener, c.tls)
}

// serveHTTP serves until the server is shut down. With tls, the certificates are
// those of the server's TLSConfig.
func serveHTTP(s *http.Server, l net.Listener, tls bool) error {
	var err error
	if tls {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

// web serves the administration API, encrypted where certificates are set, since
// operator keys pass through it. It stays up during the drain.
type web struct {
	listener net.Listener
	server   *http.Server
	tls      bool
}

// Name is the name of the step.
func (w *web) Name() string { return "admin" }

// Run serves until the context ends.
func (w *web) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- serveHTTP(w.server, w.listener, w.tls) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	d, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if w.server.Shutdown(d) != nil {
		_ = w.server.Close()
	}
	return nil
}

// mesh serves other entries.
type mesh struct {
	listener net.Listener
	server   *grpc.Server
}

// Name is the name of the step.
func (m *mesh) Name() string { return "peer server" }

// Run serves until the context ends.
func (m *mesh) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- m.server.Serve(m.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	t := time.AfterFunc(stopLimit, m.server.Stop)
	defer t.Stop()
	m.server.GracefulStop()
	return nil
}

// flush writes the last receipts when the callers' API has stopped.
type flush struct {
	book *ledger.Buffer
	log  zerolog.Logger
}

// Name is the name of the step.
func (f *flush) Name() string { return "flush" }

// Run waits for the end of the context and then writes what is left.
func (f *flush) Run(ctx context.Context) error {
	<-ctx.Done()
	d, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	if err := f.book.Flush(d); err != nil {
		f.log.Error().Err(err).Int("receipts", f.book.Pending()).Msg("receipts are left to the agents")
	}
	return nil
}
