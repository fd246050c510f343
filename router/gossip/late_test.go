package gossip_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/standin/pause"
)

// counted counts the exchanges with a router.
type counted struct {
	*gossip.Exchanger
	exchanges atomic.Int64
}

func (c *counted) Address() string { return "hub" }

func (c *counted) Exchange(_ context.Context, m gossip.Message) (gossip.Reply, error) {
	c.exchanges.Add(1)
	return c.HandleMessage(m), nil
}

// stopping is a peer during whose first exchange the process is stopped.
type stopping struct {
	*gossip.Exchanger
	exchanges atomic.Int64
	// stop is called during the first exchange.
	stop func() error
	err  atomic.Value
}

func (p *stopping) Address() string { return "peer" }

func (p *stopping) Exchange(ctx context.Context, m gossip.Message) (gossip.Reply, error) {
	if p.exchanges.Add(1) == 1 {
		if err := p.stop(); err != nil {
			p.err.Store(err)
		}
		// The reply has arrived meanwhile, but isn't read yet.
		time.Sleep(20 * time.Millisecond)
	}
	if err := ctx.Err(); err != nil {
		return gossip.Reply{}, err
	}
	return p.HandleMessage(m), nil
}

// Guards against a router that was stopped during an exchange, takes its peer for failed and uses neither its backlog nor
// its notices for seconds.
func TestStoppedDuringExchange(t *testing.T) {
	quiet := zerolog.New(io.Discard)
	newExchanger := func(name string, ps ...gossip.Peer) *gossip.Exchanger {
		return gossip.New(name, place.New("a"), notice.New(), poison.New(quiet), pins.New(), ps, quiet)
	}
	p := &stopping{Exchanger: newExchanger("peer"), stop: func() error { return pause.Self(time.Second) }}
	ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
	defer stop()
	if err := newExchanger("member", p).Run(ctx); err != nil {
		t.Error(err)
	}
	if err := p.err.Load(); err != nil {
		t.Fatal(err)
	}
	if n := p.exchanges.Load(); n < 2 {
		t.Errorf("%d exchange within 2 s of a stop", n)
	}
}

// Guards against exchanges that take the same part of the processor whether or not requests wait for it, and against
// ones that stay rare, or are so rare that a backlog expires between two.
func TestLateRoutersExchangeLess(t *testing.T) {
	for name, c := range map[string]struct{ hub, member bool }{"the one that replies": {hub: true}, "the one that asks": {member: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lateness atomic.Int64
				when := func(is bool) func() time.Duration {
					return func() time.Duration {
						if !is {
							return 0
						}
						return time.Duration(lateness.Load())
					}
				}
				quiet := zerolog.New(io.Discard)
				hub := &counted{Exchanger: gossip.New("hub", place.New("a"), notice.New(), poison.New(quiet), pins.New(), nil, quiet)}
				hub.SetLateness(when(c.hub))
				member := gossip.New("member", place.New("a"), notice.New(), poison.New(quiet), pins.New(), []gossip.Peer{hub}, quiet)
				member.SetLateness(when(c.member))
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- member.Run(ctx) }()
				const span = 9 * time.Second
				count := func(late time.Duration) int64 {
					lateness.Store(int64(late))
					time.Sleep(time.Second) // until the pause in progress is over
					before := hub.exchanges.Load()
					time.Sleep(span)
					return hub.exchanges.Load() - before
				}
				onTime, late, again := count(90*time.Millisecond), count(200*time.Millisecond), count(0)
				if late > onTime/2 || late < int64(span/place.BacklogTTL) {
					t.Errorf("%d exchanges in %s while late, %d on time", late, span, onTime)
				}
				if again < onTime-1 {
					t.Errorf("%d exchanges in %s once on time again, %d before", again, span, onTime)
				}
				t.Logf("%d exchanges on time, %d late", onTime, late)
				stop()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		})
	}
}
