package share

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/mirror"
)

const (
	// maxWait bounds how long the server holds a peer's read.
	maxWait = 2 * time.Second
	// stopTimeout bounds how long open calls may take to end when the server stops.
	stopTimeout = time.Second
)

// window is the flow-control window of connections between routers in bytes. With a stated one, gRPC doesn't send a ping
// beside each message to measure the path.
const window = 1 << 20

// Server serves peers from a mirror.Syncer and a gossip.Exchanger.
type Server struct {
	UnimplementedShareServer

	listener  net.Listener
	syncer    *mirror.Syncer
	exchanger *gossip.Exchanger
	// limit is nil if what is sent isn't bounded.
	limit SendLimit
}

// SendLimit bounds what is sent to other routers.
type SendLimit interface {
	// Sent records that n bytes are sent, and returns for how long messages should pause for it.
	Sent(n int) time.Duration
}

// NewServer returns a server on a listener. Run closes the listener.
func NewServer(l net.Listener, n *mirror.Syncer, g *gossip.Exchanger) *Server {
	return &Server{listener: l, syncer: n, exchanger: g}
}

// SetLimit bounds what the server sends. It must be called before Run.
func (s *Server) SetLimit(l SendLimit) { s.limit = l }

// Name implements serve.Component.
func (s *Server) Name() string { return "share" }

// Run serves until ctx ends or the listener fails.
func (s *Server) Run(ctx context.Context) error {
	g := grpc.NewServer(grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window))
	RegisterShareServer(g, s)
	failed := make(chan error, 1)
	go func() { failed <- g.Serve(s.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	t := time.AfterFunc(stopTimeout, g.Stop)
	defer t.Stop()
	g.GracefulStop()
	return nil
}

// Read returns a snapshot of a topic, or its changes after a revision. Its codes are
// FailedPrecondition for a topic that this router has not read yet, and OutOfRange for
// changes that are no longer available.
func (s *Server) Read(ctx context.Context, q *ReadRequest) (*ReadReply, error) {
	wait := min(time.Duration(q.GetWaitMs())*time.Millisecond, maxWait)
	after := mirror.Revision(q.GetAfter())
	p, err := s.syncer.ReadForPeer(ctx, mirror.Topic(q.GetTopic()), after, after == 0, wait)
	var h *mirror.HistoryLostError
	var u *mirror.NotSyncedError
	switch {
	case errors.As(err, &h):
		return nil, status.Error(codes.OutOfRange, err.Error())
	case errors.As(err, &u):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case err != nil:
		return nil, status.FromContextError(err).Err()
	}
	r := &ReadReply{
		Snapshot: p.Snapshot, Revision: uint64(p.Revision),
		AgeMs: uint64(p.Age.Milliseconds()) + 1, ClockMs: uint64(p.StoreClock.Milliseconds()),
	}
	for _, x := range p.Records {
		r.Records = append(r.Records, &Record{Key: x.Key, Revision: uint64(x.Revision), Data: x.Data, Gone: x.Removed})
	}
	s.sent(proto.Size(r))
	return r, nil
}

// sent records that n bytes are sent, and returns for how long the messages of peers should pause for it.
func (s *Server) sent(n int) time.Duration {
	if s.limit == nil {
		return 0
	}
	return s.limit.Sent(n)
}
