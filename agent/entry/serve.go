package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

const (
	// keepaliveTime and keepaliveTimeout close the connection of an entry that no
	// longer answers, so that its buffers have no reader.
	keepaliveTime    = 2 * time.Second
	keepaliveTimeout = 2 * time.Second
	// minClientPing is the least interval between pings of an entry. Entries ping every second.
	minClientPing = 500 * time.Millisecond
	// maxMessage bounds one received message, such as a prompt or the body of a call, in bytes.
	maxMessage = 8 << 20
	// stopTimeout bounds the end of the open gRPC calls after the drain.
	stopTimeout = 2 * time.Second
	// drainPollInterval is the time between two checks whether all work has ended.
	drainPollInterval = 20 * time.Millisecond
)

// ListenerOptions configures a Listener.
type ListenerOptions struct {
	Listener net.Listener
	// TLS is nil for unencrypted connections.
	TLS    *tls.Config
	Server *Server
	Peer   wire.PeerServer
	Sched  *sched.Scheduler
	// PendingClaims returns the number of writes to claims that wait for the table. It is
	// nil for a model engine.
	PendingClaims func() int
	// DrainTimeout bounds a drain. MinDrainTime is its least time, in which the entries learn
	// that the agent is draining.
	DrainTimeout time.Duration
	MinDrainTime time.Duration
	Ring         *event.Ring
	// Panics reports the panics of gRPC handlers.
	Panics *panics.Reporter
	Log    zerolog.Logger
	Now    func() time.Time
	// Unseen returns the time since the process was last seen to run before an event that it notices now.
	Unseen func() time.Duration
}

// Listener serves gRPC to entries and drains the agent before it stops.
type Listener struct {
	options ListenerOptions
}

// NewListener returns a listener. Run serves.
func NewListener(o ListenerOptions) *Listener {
	return &Listener{options: o}
}

// Name implements serve.Step.
func (l *Listener) Name() string {
	return "entries"
}

// Run serves until ctx ends and the drain is over. It implements serve.Step.
func (l *Listener) Run(ctx context.Context) error {
	o := []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessage),
	}
	o = append(o, l.options.Panics.ServerOptions()...)
	if l.options.TLS != nil {
		o = append(o, grpc.Creds(credentials.NewTLS(l.options.TLS)))
	}
	g := grpc.NewServer(o...)
	wire.RegisterAgentServer(g, l.options.Server)
	wire.RegisterPeerServer(g, l.options.Peer)
	failed := make(chan error, 1)
	go func() { failed <- g.Serve(l.options.Listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	l.drain(context.WithoutCancel(ctx))
	l.options.Server.Close()
	t := time.AfterFunc(stopTimeout, func() {
		l.options.Log.Warn().Msg("calls of entries are open after the drain, closing their connections")
		g.Stop()
	})
	defer t.Stop()
	g.GracefulStop()
	return nil
}

// drain refuses new work, notifies the entries and waits for the accepted work to end. At
// the timeout, waiting work is refused and the running attempts are cancelled. SIGTERM may have come while the process did
// not run, so the timeout counts from when it was last seen to run before.
func (l *Listener) drain(ctx context.Context) {
	o := l.options
	o.Ring.Record(event.Event{Kind: event.DrainStarted})
	start := o.Now()
	unseen := o.Unseen()
	o.Log.Info().Dur("unseen-ms", unseen).Msg("drain started")
	o.Sched.Drain(ctx)
	o.Server.options.Status.Drain()
	if !l.idleWithin(start, o.DrainTimeout-unseen) {
		n := o.Sched.Load()
		o.Log.Warn().Int("running", n.Running).Int("queued", n.Queued).Msg("drain limit reached, ending the remaining work")
		l.endWork(ctx)
		l.idleWithin(o.Now(), stopTimeout)
	}
	o.Ring.Record(event.Event{Kind: event.DrainEnded})
	o.Log.Info().Dur("took", o.Now().Sub(start)).Msg("drain ended")
}

// endWork refuses the waiting work and cancels the running attempts. Running calls of plain services go on:
// their results are recorded.
func (l *Listener) endWork(ctx context.Context) {
	r := refuse.New(refuse.Draining, refuse.DidRun, "run work: this agent stops")
	l.options.Sched.RefuseWaiting(ctx, r)
	if u := l.options.Server.options.Runner; u != nil {
		u.CancelAll(r)
	}
}

// idleWithin waits until the agent is idle, at least MinDrainTime after start. It reports
// false if this takes longer than limit after start.
func (l *Listener) idleWithin(start time.Time, limit time.Duration) bool {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for range t.C {
		d := l.options.Now().Sub(start)
		if d >= l.options.MinDrainTime && l.idle() {
			return true
		}
		if d >= limit {
			return false
		}
	}
	return false
}

// idle reports whether no work is queued or running, all buffers are settled and no write
// to a claim is pending.
func (l *Listener) idle() bool {
	n := l.options.Sched.Load()
	if n.Queued+n.Running > 0 || !l.options.Server.options.Streams.Idle() {
		return false
	}
	return l.options.PendingClaims == nil || l.options.PendingClaims() == 0
}
