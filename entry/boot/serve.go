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

	"tarragonvalve.example/core/drain"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/relay"
)

const (
	// headerTimeout bounds the time to read a request's headers, idleTimeout the time
	// between two requests on a connection.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request in bytes.
	maxHeaderBytes = 64 << 10
	// flushTimeout bounds writing the last receipts at shutdown.
	flushTimeout = 10 * time.Second
	// stopTimeout bounds the shutdown of servers whose requests are not waited for,
	// and of requests that were cancelled at the drain limit.
	stopTimeout = 2 * time.Second
)

// readiness holds what decides whether the process is ready for requests of callers.
type readiness struct {
	// drainBegan is when draining began, as well as the process can tell; nil before.
	drainBegan atomic.Pointer[time.Time]
	// drainTime is how long after that the open requests may go on.
	drainTime time.Duration
	replica   *spread.Replica
	// isolationLimit is the time without contact to the table or a peer after which
	// the process is not ready.
	isolationLimit time.Duration
	now            func() time.Time
	// unseen returns the time since the process was last seen to run before an event that it notices now.
	unseen func() time.Duration
}

// ready returns nil when the process is ready, otherwise the reason why not.
func (p *readiness) ready() error {
	switch {
	case p.draining():
		return errors.New("draining")
	case p.replica.View().Document() == nil:
		return errors.New("no-document")
	case p.now().Sub(p.replica.LastContact()) > p.isolationLimit:
		return errors.New("isolated: neither table nor peers answer")
	default:
		return nil
	}
}

// drain records that the process drains, and returns how long ago that may have begun: SIGTERM may have come while the
// process did not run.
func (p *readiness) drain() time.Duration {
	d := p.unseen()
	t := p.now().Add(-d)
	p.drainBegan.Store(&t)
	return d
}

// draining reports whether the process drains.
func (p *readiness) draining() bool { return p.drainBegan.Load() != nil }

// stoppedFor returns the time since the process began to drain, and whether it did.
func (p *readiness) stoppedFor() (time.Duration, bool) {
	began := p.drainBegan.Load()
	if began == nil {
		return 0, false
	}
	return p.now().Sub(*began), true
}

// admits reports whether the drain, if it has begun, leaves a request with a deadline enough time.
func (p *readiness) admits(deadline time.Time) bool {
	past, stopping := p.stoppedFor()
	return !stopping || drain.Admits(past, p.drainTime, deadline.Sub(p.now()))
}

// endConnections asks clients to close their connections after the answers of a draining process, so that
// no later request crosses the close.
func (p *readiness) endConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// callerServer serves the callers' API and drains it at shutdown.
type callerServer struct {
	httpServer

	readiness *readiness
	// drainNotice is how long the server still accepts requests after it stopped being ready.
	drainNotice time.Duration
	// drainLimit bounds the time that open requests then have to end.
	drainLimit time.Duration
	// open returns the number of open requests.
	open  func() int
	relay *relay.Relay
	ring  *event.Ring
	log   zerolog.Logger
}

// Name implements serve.Component.
func (c *callerServer) Name() string { return "callers" }

// Run serves until ctx ends. It then reports that it is not ready, accepts requests
// for the drain notice, in which the load balancer stops sending them here, and
// waits until the open requests have ended or the drain limit is over. The notice counts from when the process runs, as
// the load balancer can't learn of the drain before, and the end from SIGTERM, as that of the service manager does.
func (c *callerServer) Run(ctx context.Context) error {
	base, cancelOpen := context.WithCancelCause(context.Background())
	defer cancelOpen(nil)
	c.server.BaseContext = func(net.Listener) context.Context { return base }
	c.server.Handler = c.readiness.endConnections(c.server.Handler)
	c.start()
	select {
	case <-c.served:
		return c.err
	case <-ctx.Done():
	}
	unseen := c.readiness.drain()
	c.ring.Record(event.Event{Kind: event.DrainStarted})
	c.log.Info().Dur("unseen-ms", unseen).Msg("draining")
	sleep(c.drainNotice)
	past, _ := c.readiness.stoppedFor()
	d, cancel := context.WithTimeout(context.Background(), c.drainNotice+c.drainLimit-past)
	defer cancel()
	if err := c.shutdown(d); err != nil {
		c.log.Warn().Int("open", c.open()).Msg("drain limit reached, cancelling open requests")
		cancelOpen(abort.ErrDrained)
		c.closeAborted()
	}
	w, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	c.relay.Wait(w)
	c.ring.Record(event.Event{Kind: event.DrainEnded})
	return nil
}

// closeAborted gives cancelled requests time to send their refusals and then closes their
// connections.
func (c *callerServer) closeAborted() {
	d, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if c.server.Shutdown(d) != nil {
		c.log.Error().Int("open", c.open()).Msg("cancelled requests have not ended, closing their connections")
		_ = c.server.Close()
	}
}

func sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

// adminServer serves the administration API, which stays available during the drain. The
// requests hold operator keys, so they are encrypted if certificates are set.
type adminServer struct {
	httpServer

	log zerolog.Logger
}

// Name implements serve.Component.
func (w *adminServer) Name() string { return "admin" }

// Run serves until ctx ends and then stops within stopTimeout.
func (w *adminServer) Run(ctx context.Context) error {
	w.start()
	select {
	case <-w.served:
		return w.err
	case <-ctx.Done():
	}
	d, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if w.shutdown(d) != nil {
		w.log.Warn().Msg("requests of operators are open, closing their connections")
		_ = w.server.Close()
	}
	return nil
}

// peerServer serves the gRPC API for other entries.
type peerServer struct {
	listener net.Listener
	server   *grpc.Server
}

// Name implements serve.Component.
func (m *peerServer) Name() string { return "peer server" }

// Run serves until ctx ends and then stops within stopTimeout.
func (m *peerServer) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- m.server.Serve(m.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	t := time.AfterFunc(stopTimeout, m.server.Stop)
	defer t.Stop()
	m.server.GracefulStop()
	return nil
}

// finalFlush is the step that stores the last receipts at shutdown. Steps stop in reverse
// order, so that it runs after the callers' API has drained.
type finalFlush struct {
	buffer *ledger.Buffer
	log    zerolog.Logger
}

// Name implements serve.Component.
func (f *finalFlush) Name() string { return "flush" }

// Run waits until ctx ends and then stores the receipts that are still buffered.
func (f *finalFlush) Run(ctx context.Context) error {
	<-ctx.Done()
	d, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := f.buffer.Flush(d); err != nil {
		f.log.Error().Err(err).Int("receipts", f.buffer.Pending()).Msg("can't store the last receipts, the agents store theirs")
	}
	return nil
}
