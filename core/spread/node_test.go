package spread_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/core/wire"
)

var version = ident.VersionRef{Model: "ipek", Version: "a"}

func document(name string, cleared int) []byte {
	return fmt.Appendf(nil, "[environment]\nname = %s\n\n[model ipek]\nshares = a:100\n\n[version ipek@a]\n"+
		"input-price-micro-cents = 1\noutput-price-micro-cents = 2\nhalts-cleared-at = %d\n\n[end]\n", name, cleared)
}

// link is a peer's client that calls a server in the same process.
type link struct {
	wire.PeerClient
	server *spread.Server
}

func (l link) Exchange(ctx context.Context, m *wire.State, _ ...grpc.CallOption) (*wire.State, error) {
	return l.server.Exchange(ctx, m)
}

func (l link) FetchDocument(ctx context.Context, m *wire.FetchDocumentRequest, _ ...grpc.CallOption) (*wire.Document, error) {
	return l.server.FetchDocument(ctx, m)
}

func (l link) OfferDocument(ctx context.Context, m *wire.Document, _ ...grpc.CallOption) (*wire.State, error) {
	return l.server.OfferDocument(ctx, m)
}

type fixture struct {
	t     *testing.T
	table *memory.Table
	store *accept.Store
	stop  context.CancelFunc
	ctx   context.Context
	wait  sync.WaitGroup
}

func start(t *testing.T) *fixture {
	f := &fixture{t: t, table: memory.New()}
	f.store = accept.New(f.table, "ilmek")
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(func() {
		f.stop()
		f.wait.Wait()
	})
	return f
}

func (f *fixture) node(id ident.InstanceID) (*spread.Replica, link) {
	ring := event.NewRing(event.NewClock(time.Now), id, 100)
	n := spread.New(spread.Options{Instance: id, Role: "entry", Store: f.store, Ring: ring, Now: time.Now})
	f.wait.Go(func() { _ = n.Run(f.ctx) })
	return n, link{server: spread.NewServer(n, ring, func() bool { return false })}
}

func (f *fixture) promote(seen ident.Generation, cleared int) {
	f.t.Helper()
	p := accept.Promotion{Seen: seen, Body: document(fmt.Sprintf("g%d", seen+1), cleared)}
	if _, err := f.store.Promote(f.ctx, p); err != nil {
		f.t.Fatal(err)
	}
}

func exchange(t *testing.T, n *spread.Replica, l link) {
	t.Helper()
	s, err := l.Exchange(t.Context(), n.State())
	if err == nil {
		err = n.CatchUp(t.Context(), l, s)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, n *spread.Replica, g ident.Generation, by spread.ConfirmedBy) {
	t.Helper()
	if v := n.View(); v.Generation() != g || v.ConfirmedBy != by {
		t.Errorf("generation %d confirmed by %s, want %d by %s", v.Generation(), v.ConfirmedBy, g, by)
	}
}

// Guards against a fresh instance that does not learn the document from its peers
// while the table is down, claims the table's confirmation, or goes back after it.
func TestFreshInstanceWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.promote(0, 0)
		f.promote(1, 0)
		a, la := f.node("a")
		time.Sleep(time.Second)
		want(t, a, 2, spread.ConfirmedTable)
		f.table.SetFault(memory.Unanswered)
		time.Sleep(time.Minute)
		want(t, a, 2, spread.ConfirmedTable)
		b, _ := f.node("b")
		time.Sleep(time.Minute)
		want(t, b, 0, spread.ConfirmedNone)
		exchange(t, b, la)
		want(t, b, 2, spread.ConfirmedPeers)
		c, lc := f.node("c")
		exchange(t, b, lc)
		want(t, c, 2, spread.ConfirmedPeers)
		// The age of the confirmation travels with the first exchange after the document.
		exchange(t, b, lc)
		if c.View().ConfirmedAt.IsZero() || time.Since(c.View().ConfirmedAt) < 2*time.Minute {
			t.Errorf("confirmed at %s by the table, which has been down for two minutes", c.View().ConfirmedAt)
		}
		f.table.SetFault(memory.None)
		f.promote(2, 0)
		time.Sleep(3 * time.Second)
		want(t, b, 3, spread.ConfirmedTable)
	})
}

// Guards against a halt that waits for the table, is not stored after an outage
// when its maker is gone, or outlives a document that clears it.
func TestHaltWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.promote(0, 0)
		a, la := f.node("a")
		time.Sleep(time.Second)
		f.table.SetFault(memory.Refused)
		maker := spread.New(spread.Options{Instance: "gone", Store: f.store, Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		f.wait.Go(func() { _ = maker.Run(ctx) })
		exchange(t, maker, la)
		changed := a.Changed()
		if err := maker.Halt(t.Context(), version, "errors"); err != nil {
			t.Fatal(err)
		}
		if maker.View().Usable(version) {
			t.Error("the maker still uses the version")
		}
		exchange(t, maker, la)
		cancel()
		<-changed
		if a.View().Usable(version) {
			t.Error("the peer still uses the version")
		}
		f.table.SetFault(memory.None)
		time.Sleep(time.Minute)
		if hs, err := f.store.Halts(t.Context()); err != nil || len(hs) != 1 || hs[0].Instance != "gone" {
			t.Errorf("stored halts: %v, %v", hs, err)
		}
		f.promote(1, 1)
		time.Sleep(3 * time.Second)
		if !a.View().Usable(version) {
			t.Error("the halt outlived the document that clears it")
		}
	})
}

// Guards against an advance of a roll-out that peers or later readers miss.
func TestStepsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.promote(0, 0)
		a, _ := f.node("a")
		b, lb := f.node("b")
		time.Sleep(time.Second)
		if err := f.store.AdvanceStep(t.Context(), 1, "r", 0, 1, "x"); err != nil {
			t.Fatal(err)
		}
		if err := a.RecordStep(t.Context(), 1, "r", 1); err != nil {
			t.Fatal(err)
		}
		exchange(t, a, lb)
		if b.View().Steps["r"] != 1 {
			t.Errorf("steps at the peer: %v", b.View().Steps)
		}
		c, _ := f.node("c")
		time.Sleep(time.Second)
		if c.View().Steps["r"] != 1 {
			t.Errorf("steps at a later reader: %v", c.View().Steps)
		}
	})
}

// Guards against documents that were damaged on the way.
func TestOfferRefusesDamage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		n, l := f.node("a")
		synctest.Wait()
		d := &wire.Document{Generation: 4, Digest: "0", Body: document("x", 0)}
		var e *spread.DocumentError
		if err := n.Adopt(t.Context(), d); !errors.As(err, &e) || e.Generation != 4 {
			t.Errorf("got %v", err)
		}
		if _, err := l.OfferDocument(t.Context(), d); err == nil {
			t.Error("the server took the document")
		}
		want(t, n, 0, spread.ConfirmedNone)
	})
}

// Guards against a process adopting the document of another environment, whose
// process took over an address that the lagging instance list still names: the
// foreign generation could be higher and would never be reverted.
func TestForeignDocument(t *testing.T) {
	n := spread.New(spread.Options{Instance: "engine-1", Environment: "ilmek", Now: time.Now})
	b := document("kootenay", 0)
	err := n.Adopt(t.Context(), &wire.Document{Generation: 6, Digest: string(envdoc.DigestOf(b)), Body: b})
	var e *spread.EnvironmentError
	if !errors.As(err, &e) || e.Got != "kootenay" {
		t.Fatalf("the offer of a foreign document gave %v", err)
	}
	// The node does not run, so a state that is not refused would wait for the deadline.
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err = n.Merge(ctx, &wire.State{Environment: "kootenay", Halts: []*wire.Halt{{Model: "ipek", Version: "a", Generation: 1}}})
	if !errors.As(err, &e) || len(n.View().Halts) > 0 {
		t.Fatalf("the halt of a foreign state gave %v, halts %v", err, n.View().Halts)
	}
	if g := n.View().Generation(); g != 0 {
		t.Fatalf("generation %d is in force", g)
	}
}
