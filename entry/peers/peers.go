// Package peers exchanges the monotone state and the accounts' use with other entries.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/core/wire"
)

const (
	// exchangeEvery and fanout are the pace of the exchange that the design states.
	exchangeEvery = time.Second
	fanout        = 2
	// exchangeLimit bounds one exchange; a connection without an answer by then is silent and is closed.
	exchangeLimit = 2 * time.Second
	// maxConns bounds the connections that are kept for later exchanges.
	maxConns = 32
	// maxRunning bounds exchanges that run at once when peers are slow.
	maxRunning = 8
	maxMessage = 8 << 20
)

// Control is the part of spread.Replica that an exchange uses.
type Control interface {
	State() *wire.State
	CatchUp(ctx context.Context, p wire.PeerClient, theirs *wire.State) error
}

// Options are the settings of a Mesh.
type Options struct {
	Control Control
	// Peers returns the addresses of the other entries.
	Peers func() []string
	// BeforeSend adds this entry's use to a state before it is sent; Seen learns of a peer's state.
	BeforeSend func(s *wire.State)
	OnExchange func(s *wire.State)
	// Credentials are for the transport; nil means unencrypted.
	Credentials credentials.TransportCredentials
	// Dialer replaces the network dialer, for tests.
	Dialer func(ctx context.Context, addr string) (net.Conn, error)
	// Seed starts the choice of peers.
	Seed uint64
	Log  zerolog.Logger
}

// Exchanger runs the exchange.
type Exchanger struct {
	o      Options
	rand   *rand.Rand
	failed atomic.Uint64
	done   atomic.Uint64
	busy   chan struct{}

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns a mesh.
func New(o Options) *Exchanger {
	return &Exchanger{
		o:     o,
		rand:  rand.New(rand.NewPCG(o.Seed, 1)),
		busy:  make(chan struct{}, maxRunning),
		conns: map[string]*grpc.ClientConn{},
	}
}

// Name is the name of the step.
func (m *Exchanger) Name() string { return "peers" }

// Counts returns how many exchanges succeeded and failed.
func (m *Exchanger) Counts() (done, failed uint64) { return m.done.Load(), m.failed.Load() }

// Run exchanges with two random entries each second until the context ends.
func (m *Exchanger) Run(ctx context.Context) error {
	var w sync.WaitGroup
	defer m.closeAll()
	defer w.Wait()
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for {
		for _, a := range m.sample() {
			select {
			case m.busy <- struct{}{}:
			default:
				m.failed.Add(1)
				continue
			}
			w.Go(func() {
				defer func() { <-m.busy }()
				m.exchange(ctx, a)
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (m *Exchanger) sample() []string {
	all := m.o.Peers()
	if len(all) <= fanout {
		return all
	}
	out := make([]string, 0, fanout)
	for _, i := range m.rand.Perm(len(all))[:fanout] {
		out = append(out, all[i])
	}
	return out
}

func (m *Exchanger) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	err := m.once(ctx, addr)
	if err == nil {
		m.done.Add(1)
		return
	}
	m.failed.Add(1)
	m.o.Log.Debug().Str("peer", addr).Err(err).Msg("exchange failed")
	if status.Code(err) == codes.DeadlineExceeded || ctx.Err() != nil {
		m.drop(addr)
	}
}

func (m *Exchanger) once(ctx context.Context, addr string) error {
	c, err := m.conn(addr)
	if err != nil {
		return err
	}
	p := wire.NewPeerClient(c)
	s := m.o.Control.State()
	m.o.BeforeSend(s)
	theirs, err := p.Exchange(ctx, s)
	if err != nil {
		return err
	}
	m.o.OnExchange(theirs)
	return m.o.Control.CatchUp(ctx, p, theirs)
}

func (m *Exchanger) conn(addr string) (*grpc.ClientConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.conns[addr]; ok {
		return c, nil
	}
	if len(m.conns) >= maxConns {
		for a, c := range m.conns {
			_ = c.Close()
			delete(m.conns, a)
			break
		}
	}
	t := m.o.Credentials
	if t == nil {
		t = insecure.NewCredentials()
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(t),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	}
	if m.o.Dialer != nil {
		opts = append(opts, grpc.WithContextDialer(m.o.Dialer))
	}
	c, err := grpc.NewClient("passthrough:///"+addr, opts...)
	if err != nil {
		return nil, err
	}
	m.conns[addr] = c
	return c, nil
}

func (m *Exchanger) drop(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.conns[addr]; ok {
		_ = c.Close()
		delete(m.conns, addr)
	}
}

func (m *Exchanger) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, c := range m.conns {
		_ = c.Close()
		delete(m.conns, a)
	}
}
