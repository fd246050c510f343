package peers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"tarragonvalve.example/core/wire"
)

type control struct{ catchUps atomic.Int64 }

func (*control) State() *wire.State { return &wire.State{Instance: "entry-1"} }
func (c *control) CatchUp(context.Context, wire.PeerClient, *wire.State) error {
	c.catchUps.Add(1)
	return nil
}

// entry simulates another entry. A silent one never answers.
type entry struct {
	wire.UnimplementedPeerServer
	silent bool
	got    atomic.Int64
}

func (e *entry) Exchange(ctx context.Context, m *wire.State) (*wire.State, error) {
	e.got.Add(1)
	if e.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.State{Instance: "entry-2", Use: m.GetUse()}, nil
}

// Guards against exchanges that stop when some peers don't answer or are unreachable,
// that go to more than two peers a second, or that leave out the accounts' demand.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := map[string]*entry{"a": {}, "b": {silent: true}, "c": {}}
		ls := map[string]*bufconn.Listener{}
		var servers []*grpc.Server
		for n, e := range es {
			ls[n] = bufconn.Listen(1 << 16)
			g := grpc.NewServer(grpc.WaitForHandlers(true))
			wire.RegisterPeerServer(g, e)
			go g.Serve(ls[n])
			servers = append(servers, g)
		}
		c := &control{}
		var seen atomic.Int64
		m := New(Options{
			Control:    c,
			Peers:      func() []string { return []string{"a", "b", "c", "gone"} },
			BeforeSend: func(s *wire.State) { s.Use = []*wire.AccountUse{{Account: "alpha"}} },
			OnExchange: func(s *wire.State) { seen.Add(int64(len(s.GetUse()))) },
			Dialer: func(ctx context.Context, addr string) (net.Conn, error) {
				if ls[addr] == nil {
					return nil, errors.New("refused")
				}
				return ls[addr].DialContext(ctx)
			},
			Seed: 1,
			Log:  zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		time.Sleep(60*time.Second - time.Millisecond)
		cancel()
		<-done
		for _, g := range servers {
			g.Stop()
		}
		n, failed := m.Counts()
		if n+failed < 110 || n+failed > 120 || n < 40 || failed < 20 {
			t.Errorf("%d exchanges and %d failures in a minute", n, failed)
		}
		if es["a"].got.Load() == 0 || es["c"].got.Load() == 0 || uint64(c.catchUps.Load()) != n || uint64(seen.Load()) != n {
			t.Errorf("caught up %d times, saw use %d times in %d exchanges", c.catchUps.Load(), seen.Load(), n)
		}
	})
}
