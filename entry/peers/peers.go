// Package peers exchanges the control state (document, halts and roll-out steps) and
// the accounts' demand with other entries.
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
	// exchangeInterval is the time between two rounds; in each one the state is
	// exchanged with peersPerRound random entries.
	exchangeInterval = time.Second
	peersPerRound    = 2
	// exchangeTimeout bounds one exchange. A connection without an answer by then is
	// closed.
	exchangeTimeout = 2 * time.Second
	// maxConns bounds the connections that are kept open between exchanges.
	maxConns = 32
	// maxConcurrent bounds the exchanges that run at the same time when peers are slow.
	// Further ones are skipped and count as failed.
	maxConcurrent = 8
	// maxMessageBytes bounds one received message.
	maxMessageBytes = 8 << 20
)

// Control is the part of the control state that an exchange needs. *spread.Replica
// implements it.
type Control interface {
	State() *wire.State
	CatchUp(ctx context.Context, p wire.PeerClient, theirs *wire.State) error
}

// Options are the settings and dependencies of an Exchanger.
type Options struct {
	Control Control
	// Peers returns the addresses of the other entries.
	Peers func() []string
	// BeforeSend adds this entry's demand to a state before it is sent. OnExchange is
	// called with the state that a peer answered.
	BeforeSend func(s *wire.State)
	OnExchange func(s *wire.State)
	// Credentials secure the connections; nil means unencrypted.
	Credentials credentials.TransportCredentials
	// Dialer replaces the network dialer in tests.
	Dialer func(ctx context.Context, addr string) (net.Conn, error)
	// Seed seeds the random selection of peers.
	Seed uint64
	Log  zerolog.Logger
}

// Exchanger exchanges the control state with random other entries.
type Exchanger struct {
	o         Options
	rand      *rand.Rand
	failed    atomic.Uint64
	succeeded atomic.Uint64
	slots     chan struct{}

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns an exchanger without connections.
func New(o Options) *Exchanger {
	return &Exchanger{
		o:     o,
		rand:  rand.New(rand.NewPCG(o.Seed, 1)),
		slots: make(chan struct{}, maxConcurrent),
		conns: map[string]*grpc.ClientConn{},
	}
}

// Name implements serve.Component.
func (m *Exchanger) Name() string { return "peers" }

// Counts returns the number of exchanges that succeeded and that failed.
func (m *Exchanger) Counts() (succeeded, failed uint64) { return m.succeeded.Load(), m.failed.Load() }

// Run exchanges with peersPerRound random entries in each interval until the context
// ends, then waits for running exchanges and closes all connections. It returns nil.
func (m *Exchanger) Run(ctx context.Context) error {
	var w sync.WaitGroup
	defer m.closeAll()
	defer w.Wait()
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		for _, a := range m.pickPeers() {
			select {
			case m.slots <- struct{}{}:
			default:
				m.failed.Add(1)
				continue
			}
			w.Go(func() {
				defer func() { <-m.slots }()
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

func (m *Exchanger) pickPeers() []string {
	all := m.o.Peers()
	if len(all) <= peersPerRound {
		return all
	}
	out := make([]string, 0, peersPerRound)
	for _, i := range m.rand.Perm(len(all))[:peersPerRound] {
		out = append(out, all[i])
	}
	return out
}

func (m *Exchanger) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := m.exchangeWith(ctx, addr)
	if err == nil {
		m.succeeded.Add(1)
		return
	}
	m.failed.Add(1)
	m.o.Log.Debug().Str("peer", addr).Err(err).Msg("exchange failed")
	if status.Code(err) == codes.DeadlineExceeded || ctx.Err() != nil {
		m.closeConn(addr)
	}
}

// exchangeWith sends this entry's state to a peer, merges the answer and moves the
// document to the side that is behind.
func (m *Exchanger) exchangeWith(ctx context.Context, addr string) error {
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

// conn returns the connection to an address, and creates one if needed. At maxConns it
// closes an arbitrary connection first.
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
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

func (m *Exchanger) closeConn(addr string) {
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
