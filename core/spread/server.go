package spread

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// maxEvents bounds the events in the answer to one Events call.
const maxEvents = 10_000

// Server serves the state and the events of an instance to its peers. It implements
// wire.PeerServer for entries and agents.
type Server struct {
	wire.UnimplementedPeerServer

	replica    *Replica
	ring       *event.Ring
	draining   func() bool
	onExchange atomic.Pointer[func(*wire.State)]
	beforeSend atomic.Pointer[func(*wire.State)]
}

var _ wire.PeerServer = (*Server)(nil)

// NewServer returns a server of a replica and of the instance's event ring. draining
// reports whether the instance is draining.
func NewServer(n *Replica, r *event.Ring, draining func() bool) *Server {
	return &Server{replica: n, ring: r, draining: draining}
}

// OnExchange sets a function that is called with the state of each peer that calls
// Exchange.
func (s *Server) OnExchange(f func(*wire.State)) {
	s.onExchange.Store(&f)
}

// BeforeSend sets a function that is called with every state before it is sent, to add
// the demand of client accounts (the field Use).
func (s *Server) BeforeSend(f func(*wire.State)) {
	s.beforeSend.Store(&f)
}

// Exchange implements wire.PeerServer.
func (s *Server) Exchange(ctx context.Context, m *wire.State) (*wire.State, error) {
	if err := s.replica.Merge(ctx, m); err != nil {
		var e *EnvironmentError
		if errors.As(err, &e) {
			return nil, status.Error(codes.FailedPrecondition, e.Error())
		}
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if f := s.onExchange.Load(); f != nil {
		(*f)(m)
	}
	return s.state(), nil
}

// FetchDocument implements wire.PeerServer.
func (s *Server) FetchDocument(_ context.Context, m *wire.FetchDocumentRequest) (*wire.Document, error) {
	s.replica.observeStamp(m.GetClock())
	d := s.replica.Document()
	if d == nil {
		return nil, status.Error(codes.FailedPrecondition, string(refuse.NoDocument))
	}
	return d, nil
}

// OfferDocument implements wire.PeerServer.
func (s *Server) OfferDocument(ctx context.Context, m *wire.Document) (*wire.State, error) {
	if err := s.replica.Adopt(ctx, m); err != nil {
		if ctx.Err() != nil {
			return nil, status.FromContextError(ctx.Err()).Err()
		}
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.state(), nil
}

// Events implements wire.PeerServer. The last message carries the number of
// overwritten events; it has no kind when no event matched.
func (s *Server) Events(m *wire.EventsRequest, out grpc.ServerStreamingServer[wire.Event]) error {
	events, overwritten := s.ring.Snapshot()
	events = event.Select(events, filterOf(m))
	for i, e := range events {
		w := event.ToWire(e)
		if i == len(events)-1 {
			w.Overwritten = overwritten
		}
		if err := out.Send(w); err != nil {
			return err
		}
	}
	if len(events) == 0 && overwritten > 0 {
		return out.Send(&wire.Event{Instance: string(s.replica.o.Instance), Overwritten: overwritten})
	}
	return nil
}

// Ping implements wire.PeerServer.
func (s *Server) Ping(_ context.Context, m *wire.PingRequest) (*wire.PingReply, error) {
	s.replica.observeStamp(m.GetClock())
	return &wire.PingReply{
		Instance:   string(s.replica.o.Instance),
		Clock:      s.replica.nextStamp(),
		Generation: uint64(s.replica.View().Generation()),
	}, nil
}

// state returns the state to send to a peer.
func (s *Server) state() *wire.State {
	m := s.replica.State()
	m.Draining = s.draining()
	if f := s.beforeSend.Load(); f != nil {
		(*f)(m)
	}
	return m
}

// filterOf converts a request for events to a filter with a limit of at most maxEvents.
func filterOf(m *wire.EventsRequest) event.Filter {
	f := event.Filter{
		Request: ident.RequestID(m.GetRequestId()),
		Session: ident.SessionID(m.GetSession()),
		Account: ident.AccountID(m.GetAccount()),
		Version: m.GetVersion(),
		Limit:   maxEvents,
	}
	if ms := m.GetSinceUnixMs(); ms > 0 {
		f.Since = time.UnixMilli(ms)
	}
	if l := int(m.GetLimit()); l > 0 {
		f.Limit = min(l, maxEvents)
	}
	return f
}
