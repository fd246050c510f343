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
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

const (
	// keepaliveTime and keepaliveLimit close the connection of an entry that is
	// gone, so that its streams count as unread.
	keepaliveTime  = 2 * time.Second
	keepaliveLimit = 2 * time.Second
	// minClientPing permits the pings of entries, which run each second.
	minClientPing = 500 * time.Millisecond
	// maxMessage bounds one message: a prompt or a call's body.
	maxMessage = 8 << 20
	// stopLimit bounds the end of calls after the drain.
	stopLimit = 2 * time.Second
	// drainPoll is how often a drain looks whether all work has ended.
	drainPoll = 20 * time.Millisecond
)

// ListenerOptions are the parts of a Listener.
type ListenerOptions struct {
	Listener net.Listener
	// TLS is nil for unencrypted connections.
	TLS    *tls.Config
	Server *Server
	Peer   wire.PeerServer
	Sched  *sched.Scheduler
	// Unsettled returns the number of claims that wait for the table; nil for a model engine.
	Unsettled func() int
	// DrainLimit bounds a drain, DrainNotice is the least time of one: entries
	// learn in it that the agent leaves.
	DrainLimit  time.Duration
	DrainNotice time.Duration
	Ring        *event.Ring
	Log         zerolog.Logger
	Now         func() time.Time
}

// Listener serves gRPC and drains the agent when it stops.
type Listener struct {
	options ListenerOptions
}

// NewListener returns a listener.
func NewListener(o ListenerOptions) *Listener {
	return &Listener{options: o}
}

// Name is the step's name.
func (l *Listener) Name() string {
	return "entries"
}

// Run serves until the context ends, and then until the drain is over.
func (l *Listener) Run(ctx context.Context) error {
	o := []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveLimit}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessage),
	}
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
	t := time.AfterFunc(stopLimit, g.Stop)
	defer t.Stop()
	g.GracefulStop()
	return nil
}

// drain refuses new work, tells the entries, and waits for the work that is
// there. What is left at the limit ends with an explicit error.
func (l *Listener) drain(ctx context.Context) {
	o := l.options
	o.Ring.Record(event.Event{Kind: event.DrainStarted})
	o.Log.Info().Msg("drain started")
	o.Sched.Drain(ctx)
	o.Server.options.Status.Drain()
	start := o.Now()
	if !l.idleWithin(start, o.DrainLimit) && o.Server.options.Runner != nil {
		o.Log.Warn().Msg("drain limit reached")
		o.Server.options.Runner.CancelAll(refuse.New(refuse.StreamBroken, refuse.DidRun, "run attempt: this agent stops"))
		l.idleWithin(o.Now(), stopLimit)
	}
	o.Ring.Record(event.Event{Kind: event.DrainEnded})
	o.Log.Info().Dur("took", o.Now().Sub(start)).Msg("drain ended")
}

func (l *Listener) idleWithin(start time.Time, limit time.Duration) bool {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for range t.C {
		d := l.options.Now().Sub(start)
		if d >= l.options.DrainNotice && l.idle() {
			return true
		}
		if d >= limit {
			return false
		}
	}
	return false
}

func (l *Listener) idle() bool {
	n := l.options.Sched.Load()
	if n.Queued+n.Running > 0 || !l.options.Server.options.Streams.Idle() {
		return false
	}
	return l.options.Unsettled == nil || l.options.Unsettled() == 0
}
