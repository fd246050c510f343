// Package entry implements the gRPC service Agent, which the entries call.
package entry

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/agent/runner"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

const (
	// heartbeatInterval is a quarter of the 2 s without a frame after which an entry closes a
	// link.
	heartbeatInterval = 500 * time.Millisecond
	// statusInterval is the longest time between two status messages.
	statusInterval = time.Second
	// minLoadPushInterval is the least time between two status messages for changes of the
	// load alone. Each request changes the load several times, and its answer carries the
	// status anyway, so only large changes are pushed: 43 links to an agent (400 entries
	// with links to 64 of 600 agents each), each with a status of 480 bytes per second, use
	// 21 of the 29 KB/s of control traffic per instance.
	minLoadPushInterval = 250 * time.Millisecond
)

// CallExecutor runs plain-service calls; calls.Executor implements it.
type CallExecutor interface {
	Call(ctx context.Context, q *wire.CallRequest) *wire.CallReply
}

// Orderer forwards orders to the engine; fence.Guard implements it.
type Orderer interface {
	Order(ctx context.Context, q *wire.OrderRequest) *refuse.Error
}

// Merger merges the state of a peer; spread.Replica implements it.
type Merger interface {
	Merge(ctx context.Context, s *wire.State) error
}

// Acker removes receipts that are stored; ledger.Buffer implements it.
type Acker interface {
	Ack(ids []ledger.ID)
}

// Options configures a Server.
type Options struct {
	Status *Status
	// Runner is nil for a plain-service upstream.
	Runner *runner.Runner
	// Caller is nil for a model engine and Orderer for a plain service.
	Caller   CallExecutor
	Orderer  Orderer
	Streams  *stream.Store
	Replica  Merger
	Receipts Acker
	Ring     *event.Ring
	// Late returns how late the work of this process runs.
	Late late.Func
}

// Server implements wire.AgentServer.
type Server struct {
	wire.UnimplementedAgentServer
	options Options
	closing chan struct{}
}

// NewServer returns a server. Close must be called once.
func NewServer(o Options) *Server {
	return &Server{options: o, closing: make(chan struct{})}
}

// Close ends all Watch streams, so that the gRPC server can stop.
func (s *Server) Close() {
	close(s.closing)
}

// Watch sends the status at once when the drain starts or the view or the engine changes,
// after large changes of the load, and at least every second.
func (s *Server) Watch(q *wire.WatchRequest, w wire.Agent_WatchServer) error {
	if q.GetState() != nil {
		if err := s.options.Replica.Merge(w.Context(), q.GetState()); err != nil {
			return status.Error(codes.Unavailable, err.Error())
		}
	}
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		n := s.options.Status.Changes()
		if err := w.Send(s.options.Status.Now()); err != nil {
			return err
		}
		if !s.waitForChange(w.Context(), n, t.C) {
			return nil
		}
	}
}

// waitForChange returns true when a status must be sent, and false when the Watch ends.
func (s *Server) waitForChange(ctx context.Context, n Changes, tick <-chan time.Time) bool {
	gap := time.NewTimer(minLoadPushInterval)
	defer gap.Stop()
	var load <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-s.closing:
			return false
		case <-n.Drain:
			return true
		case <-n.View:
			return true
		case <-n.Engine:
			return true
		case <-load:
			load = s.options.Status.Changes().Load
			if s.options.Status.LoadShifted(n.Busy) {
				return true
			}
		case <-tick:
			return true
		case <-gap.C:
			load = n.Load
		}
	}
}

// Run starts an attempt and sends its frames.
func (s *Server) Run(q *wire.RunRequest, w wire.Agent_RunServer) error {
	s.options.Ring.Clock().Observe(event.Stamp(q.GetClock()))
	if s.options.Runner == nil {
		return w.Send(refusal(q, refuse.New(refuse.ModelUnknown, refuse.NotRun, "run attempt: this upstream is a plain service")))
	}
	left, ref := s.timeLeft(q.GetTimeoutMs())
	if ref != nil {
		return w.Send(refusal(q, ref))
	}
	q.TimeoutMs = left
	b, a, ref := s.options.Runner.Start(w.Context(), q)
	if ref != nil {
		return w.Send(refusal(q, ref))
	}
	if a != nil {
		f := frame(q)
		f.Body = &wire.Frame_Accepted{Accepted: a}
		if err := w.Send(f); err != nil {
			return err
		}
	}
	return s.sendFrames(w.Context(), w, b, 0)
}

// Resume sends the frames of an attempt from a position. An attempt without a buffer is
// adopted from the engine.
func (s *Server) Resume(q *wire.ResumeRequest, w wire.Agent_ResumeServer) error {
	s.options.Ring.Clock().Observe(event.Stamp(q.GetClock()))
	k := stream.Key{Request: ident.RequestID(q.GetRequestId()), Attempt: ident.Attempt(q.GetAttempt())}
	b, ok := s.options.Streams.Find(k)
	if ok && b.Account() != "" && b.Account() != ident.AccountID(q.GetAccount()) {
		return w.Send(refusal(q, unknownAttempt()))
	}
	if !ok && s.options.Runner == nil {
		return w.Send(refusal(q, unknownAttempt()))
	}
	if !ok {
		var ref *refuse.Error
		if b, ref = s.options.Runner.Adopt(q); ref != nil {
			return w.Send(refusal(q, ref))
		}
	}
	s.options.Ring.Record(event.Event{
		Kind:    event.StreamResumed,
		Request: k.Request,
		Account: b.Account(),
		Fields:  map[string]string{"at": "agent", "entry": q.GetEntry()},
	})
	return s.sendFrames(w.Context(), w, b, q.GetPosition())
}

func unknownAttempt() *refuse.Error {
	return refuse.New(refuse.UnknownAttempt, refuse.Unknown, "resume attempt: this agent does not know it")
}

type sender interface {
	Send(f *wire.Frame) error
}

// sendFrames sends the frames of a buffer from a position, and heartbeats in between, until
// the end of the attempt or of the gRPC call.
func (s *Server) sendFrames(ctx context.Context, w sender, b *stream.Buffer, from uint64) error {
	r := b.Attach(from)
	defer r.Close()
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		fs, last, changed := r.Next()
		for _, f := range fs {
			if err := w.Send(f); err != nil {
				return err
			}
		}
		r.Sent(last)
		if last {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.C:
			if err := w.Send(s.heartbeat(b, r.Position())); err != nil {
				return err
			}
		}
	}
}

func (s *Server) heartbeat(b *stream.Buffer, position uint64) *wire.Frame {
	return &wire.Frame{
		RequestId: string(b.Key().Request),
		Attempt:   uint32(b.Key().Attempt),
		Position:  position,
		Body:      &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Clock: uint64(s.options.Ring.Clock().Next())}},
	}
}

// Cancel stops an attempt. It may be repeated.
func (s *Server) Cancel(_ context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	k := stream.Key{Request: ident.RequestID(q.GetRequestId()), Attempt: ident.Attempt(q.GetAttempt())}
	s.options.Streams.Cancel(k, refuse.ToWire(refuse.New(refuse.Cancelled, refuse.Unknown, "run attempt: it was cancelled before this agent knew it")))
	return &wire.CancelReply{}, nil
}

// Call runs one plain-service call.
func (s *Server) Call(ctx context.Context, q *wire.CallRequest) (*wire.CallReply, error) {
	s.options.Ring.Clock().Observe(event.Stamp(q.GetClock()))
	if s.options.Caller == nil {
		r := refuse.New(refuse.ServiceUnknown, refuse.NotRun, "call service: this upstream is a model engine")
		return &wire.CallReply{Body: &wire.CallReply_Refusal{Refusal: refuse.ToWire(r)}, Status: s.options.Status.Now()}, nil
	}
	left, ref := s.timeLeft(q.GetTimeoutMs())
	if ref != nil {
		return &wire.CallReply{Body: &wire.CallReply_Refusal{Refusal: refuse.ToWire(ref)}, Status: s.options.Status.Now()}, nil
	}
	q.TimeoutMs = left
	r := s.options.Caller.Call(ctx, q)
	r.Status = s.options.Status.Now()
	return r, nil
}

// AckReceipts removes receipts that are stored, and the buffers of their attempts.
func (s *Server) AckReceipts(_ context.Context, q *wire.AckReceiptsRequest) (*wire.AckReceiptsReply, error) {
	ids := make([]ledger.ID, 0, len(q.GetIds()))
	for _, i := range q.GetIds() {
		k := stream.Key{Request: ident.RequestID(i.GetRequestId()), Attempt: ident.Attempt(i.GetAttempt())}
		ids = append(ids, ledger.ID{Request: k.Request, Role: ledger.RoleAttempt, Attempt: k.Attempt})
		s.options.Streams.Acknowledge(k)
	}
	s.options.Receipts.Ack(ids)
	return &wire.AckReceiptsReply{}, nil
}

// Order forwards an order to the engine unless the agent is draining.
func (s *Server) Order(ctx context.Context, q *wire.OrderRequest) (*wire.OrderReply, error) {
	s.options.Ring.Clock().Observe(event.Stamp(q.GetClock()))
	if s.options.Orderer == nil {
		r := refuse.New(refuse.BadRequest, refuse.NotRun, "order engine: this upstream is a plain service")
		return &wire.OrderReply{Refusal: refuse.ToWire(r)}, nil
	}
	if s.options.Status.Draining() {
		r := refuse.New(refuse.Draining, refuse.NotRun, "order engine: this agent is shutting down")
		return &wire.OrderReply{Refusal: refuse.ToWire(r)}, nil
	}
	if r := s.options.Orderer.Order(ctx, q); r != nil {
		return &wire.OrderReply{Refusal: refuse.ToWire(r)}, nil
	}
	return &wire.OrderReply{}, nil
}

type attemptRequest interface {
	GetRequestId() string
	GetAttempt() uint32
}

func frame(q attemptRequest) *wire.Frame {
	return &wire.Frame{RequestId: q.GetRequestId(), Attempt: q.GetAttempt()}
}

func refusal(q attemptRequest, r *refuse.Error) *wire.Frame {
	f := frame(q)
	f.Body = &wire.Frame_Refusal{Refusal: refuse.ToWire(r)}
	return f
}
