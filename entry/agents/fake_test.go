package agents

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
)

// control implements Control and counts the exchanges of state.
type control struct{ exchanges atomic.Int64 }

func (*control) View() *spread.View { return &spread.View{} }
func (*control) State() *wire.State { return &wire.State{Instance: "entry-1"} }
func (c *control) CatchUp(context.Context, wire.PeerClient, *wire.State) error {
	c.exchanges.Add(1)
	return nil
}

// agent is an in-process agent that sends a settable status and records
// acknowledged receipts. Its connections can be muted.
type agent struct {
	wire.UnimplementedAgentServer
	wire.UnimplementedPeerServer

	mu       sync.Mutex
	status   *wire.Status
	acked    []*wire.ReceiptId
	listener *bufconn.Listener
	dials    atomic.Int64
	conns    []*muted
}

// muted is a connection on which nothing arrives once mute is set.
type muted struct {
	net.Conn
	mute atomic.Bool
}

// Read drops what arrives while the connection is muted, like a network that loses packets.
func (m *muted) Read(b []byte) (int, error) {
	for {
		n, err := m.Conn.Read(b)
		if err != nil || !m.mute.Load() {
			return n, err
		}
	}
}

func (a *agent) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{Instance: "agent-1"}, nil
}

func (a *agent) Watch(_ *wire.WatchRequest, w wire.Agent_WatchServer) error {
	for {
		a.mu.Lock()
		s := a.status
		a.mu.Unlock()
		if err := w.Send(s); err != nil {
			return err
		}
		select {
		case <-w.Context().Done():
			return nil
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (a *agent) AckReceipts(_ context.Context, m *wire.AckReceiptsRequest) (*wire.AckReceiptsReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = append(a.acked, m.GetIds()...)
	return &wire.AckReceiptsReply{}, nil
}

func (a *agent) set(s *wire.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = s
}

func (a *agent) dial(ctx context.Context, _ string) (net.Conn, error) {
	a.dials.Add(1)
	c, err := a.listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	m := &muted{Conn: c}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns = append(a.conns, m)
	return m, nil
}

// muteOpen mutes all connections that are open now; later ones work.
func (a *agent) muteOpen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		c.mute.Store(true)
	}
}

// start serves an agent at the target engine-1 and returns it with a running set and
// a function that stops both.
func start(t *testing.T, s *wire.Status) (*agent, *Set, func()) {
	t.Helper()
	a := &agent{status: s, listener: bufconn.Listen(1 << 16)}
	g := grpc.NewServer(grpc.WaitForHandlers(true))
	wire.RegisterAgentServer(g, a)
	wire.RegisterPeerServer(g, a)
	go g.Serve(a.listener)
	n := New(Options{
		Instance: "entry-1",
		Control:  &control{},
		Ring:     event.NewRing(event.NewClock(time.Now), "entry-1", 64),
		Log:      zerolog.Nop(),
		Dialer:   a.dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	n.Update([]Target{{Upstream: "engine-1", Domain: "d1", Addr: "127.0.0.1:1"}})
	return a, n, func() {
		cancel()
		<-done
		g.Stop()
	}
}
