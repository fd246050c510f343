package fleet

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/score"
)

type control struct{}

func (control) View() *spread.View { return &spread.View{} }

func (control) State() *wire.State                                          { return &wire.State{} }
func (control) CatchUp(context.Context, wire.PeerClient, *wire.State) error { return nil }

var quick = ident.VersionRef{Model: "quick", Version: "1"}

func loaded(u string, sequence uint64) *wire.Status {
	return &wire.Status{Upstream: u, Sequence: sequence, Slots: 4, Loaded: []*wire.LoadedVersion{{Model: "quick", Version: "1"}}}
}

// Guards against selecting an upstream that is draining, silent, already tried,
// ejected or without the version, even when this changed after the latest snapshot.
func TestPick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := agents.New(agents.Options{
			Control: control{}, Log: zerolog.Nop(),
			Ring:   event.NewRing(event.NewClock(time.Now), "entry-1", 16),
			Dialer: func(context.Context, string) (net.Conn, error) { return nil, context.Canceled },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{}, 2)
		go func() { s.Run(ctx); done <- struct{}{} }()
		s.Update([]agents.Target{{Upstream: "u1", Addr: "1"}, {Upstream: "u2", Addr: "2"}, {Upstream: "u3", Addr: "3"}})
		f := New(Options{
			Links: s, Strategy: score.Predicted{}, Now: time.Now,
			Delay: func(ident.DomainID, ident.DomainID) time.Duration { return 0 },
		})
		go func() { f.Run(ctx); done <- struct{}{} }()
		observe := func(n uint64) {
			for _, u := range []string{"u1", "u2"} {
				s.Link(ident.UpstreamID(u)).Observe(loaded(u, n), time.Now())
			}
			s.Link("u3").Observe(&wire.Status{Upstream: "u3", Sequence: n, Service: "orders"}, time.Now())
			time.Sleep(2 * snapshotInterval)
		}
		synctest.Wait()
		observe(1)
		want := func(why string, u ident.UpstreamID, p relay.PickInfo) {
			t.Helper()
			p.Version = quick
			l, ok := f.Pick(p)
			if ok != (u != "") || ok && l.Upstream() != u {
				t.Errorf("%s: picked %v, %v", why, l, ok)
			}
		}
		want("one is tried", "u2", relay.PickInfo{Exclude: []ident.UpstreamID{"u1"}})
		want("all are tried", "", relay.PickInfo{Exclude: []ident.UpstreamID{"u1", "u2"}})
		if l, ok := f.PickService("orders", 1, nil); !ok || l.Upstream() != "u3" {
			t.Error("the service has no upstream")
		}
		for range 20 {
			f.Ended("u1", false)
		}
		observe(2)
		want("one is ejected", "u2", relay.PickInfo{})
		d := loaded("u2", 3)
		d.Draining = true
		s.Link("u2").Observe(d, time.Now())
		want("one drains, the other is ejected", "u1", relay.PickInfo{})
		time.Sleep(10 * time.Second)
		want("all are silent", "", relay.PickInfo{})
		cancel()
		<-done
		<-done
	})
}
