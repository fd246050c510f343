package fanout

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/roster"
)

// agent serves a fixed state and events, like an agent's peer service.
type agent struct {
	wire.UnimplementedPeerServer
}

func (agent) Exchange(context.Context, *wire.State) (*wire.State, error) {
	return &wire.State{Instance: "agent-1-x", Role: "agent", Generation: 3}, nil
}

func (agent) Events(q *wire.EventsRequest, s grpc.ServerStreamingServer[wire.Event]) error {
	if err := s.Send(&wire.Event{Instance: "agent-1-x", Kind: "work-refused", RequestId: q.GetRequestId()}); err != nil {
		return err
	}
	return s.Send(&wire.Event{Instance: "agent-1-x", Overwritten: 7})
}

// Guards against a process that is missing from the answer: each listed process has an
// entry, even when it can't be reached.
func TestEveryProcessIsListed(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	wire.RegisterPeerServer(g, agent{})
	go g.Serve(n)
	defer g.Stop()
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable.Close()
	r := event.NewRing(event.NewClock(time.Now), "own", 16)
	r.Record(event.Event{Kind: event.RequestReceived, Request: "r1"})
	r.Record(event.Event{Kind: event.RequestReceived, Request: "r2"})
	f := New(Options{
		Instance: "own", OwnAddr: "127.0.0.1:1", Ring: r,
		Instances: func() []roster.Instance {
			return []roster.Instance{
				{Role: "entry", Addr: "127.0.0.1:1"},
				{Role: "agent", Addr: n.Addr().String(), Upstream: "u1", Domain: "d1"},
				{Role: "agent", Addr: unreachable.Addr().String(), Upstream: "u2"},
			}
		},
		State:        func() *wire.State { return &wire.State{Role: "entry", Generation: 4} },
		Link:         func(ident.UpstreamID) *agents.Link { return nil },
		OpenRequests: func() int { return 5 },
	})
	is := f.Instances(context.Background())
	if len(is) != 3 || is[0].ID != "agent-1-x" || is[0].Generation != 3 || is[0].Upstream != "u1" || is[2].ID != "own" || is[2].Running != 5 {
		t.Fatalf("instances %+v", is)
	}
	if is[1].ID != "u2" || is[1].Problem == "" {
		t.Errorf("unreachable process: %+v", is[1])
	}
	es := f.Events(context.Background(), event.Filter{Request: "r1", Limit: 10})
	if len(es) != 3 || len(es[0].Events) != 1 || es[0].Overwritten != 7 || es[1].Problem == "" || len(es[2].Events) != 1 {
		t.Errorf("events %+v", es)
	}
}
