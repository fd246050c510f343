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

// document returns an environment document that clears the halts of version ipek@a up
// to a generation.
func document(name string, cleared int) []byte {
	return fmt.Appendf(nil, "[environment]\nname = %s\n\n[model ipek]\nshares = a:100\n\n[version ipek@a]\n"+
		"input-price-micro-cents = 1\noutput-price-micro-cents = 2\nhalts-cleared-at = %d\n\n[end]\n", name, cleared)
}

// localPeer is the client of a peer whose server runs in the same process.
type localPeer struct {
	wire.PeerClient
	server *spread.Server
}

func (p localPeer) Exchange(ctx context.Context, m *wire.State, _ ...grpc.CallOption) (*wire.State, error) {
	return p.server.Exchange(ctx, m)
}

func (p localPeer) FetchDocument(ctx context.Context, m *wire.FetchDocumentRequest, _ ...grpc.CallOption) (*wire.Document, error) {
	return p.server.FetchDocument(ctx, m)
}

func (p localPeer) OfferDocument(ctx context.Context, m *wire.Document, _ ...grpc.CallOption) (*wire.State, error) {
	return p.server.OfferDocument(ctx, m)
}

// fixture holds the table and the document store that the replicas of a test share.
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

func (f *fixture) replica(id ident.InstanceID) (*spread.Replica, localPeer) {
	ring := event.NewRing(event.NewClock(time.Now), id, 100)
	r := spread.New(spread.Options{Instance: id, Role: "entry", Store: f.store, Ring: ring, Now: time.Now})
	f.wait.Go(func() { _ = r.Run(f.ctx) })
	return r, localPeer{server: spread.NewServer(r, ring, func() bool { return false })}
}

func (f *fixture) promote(seen ident.Generation, cleared int) {
	f.t.Helper()
	p := accept.Promotion{Seen: seen, Body: document(fmt.Sprintf("g%d", seen+1), cleared)}
	if _, err := f.store.Promote(f.ctx, p); err != nil {
		f.t.Fatal(err)
	}
}

// exchange exchanges states between a replica and a peer and then sends the newer
// document to the side that is behind.
func exchange(t *testing.T, r *spread.Replica, p localPeer) {
	t.Helper()
	s, err := p.Exchange(t.Context(), r.State())
	if err == nil {
		err = r.CatchUp(t.Context(), p, s)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func wantGeneration(t *testing.T, r *spread.Replica, g ident.Generation, by spread.ConfirmedBy) {
	t.Helper()
	if v := r.View(); v.Generation() != g || v.ConfirmedBy != by {
		t.Errorf("generation %d confirmed by %s, want %d by %s", v.Generation(), v.ConfirmedBy, g, by)
	}
}

// Guards against a new instance that does not get the document from its peers while the
// table is down, reports a confirmation by the table that it did not get, or returns to
// a lower generation after the outage.
func TestFreshInstanceWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.promote(0, 0)
		f.promote(1, 0)
		a, la := f.replica("a")
		time.Sleep(time.Second)
		wantGeneration(t, a, 2, spread.ConfirmedTable)
		f.table.SetFault(memory.Unanswered)
		time.Sleep(time.Minute)
		wantGeneration(t, a, 2, spread.ConfirmedTable)
		b, _ := f.replica("b")
		time.Sleep(time.Minute)
		wantGeneration(t, b, 0, spread.ConfirmedNone)
		exchange(t, b, la)
		wantGeneration(t, b, 2, spread.ConfirmedPeers)
		c, lc := f.replica("c")
		exchange(t, b, lc)
		wantGeneration(t, c, 2, spread.ConfirmedPeers)
		// The age of the confirmation is merged in the first exchange after the document.
		exchange(t, b, lc)
		if c.View().ConfirmedAt.IsZero() || time.Since(c.View().ConfirmedAt) < 2*time.Minute {
			t.Errorf("confirmed at %s by the table, which has been down for two minutes", c.View().ConfirmedAt)
		}
		f.table.SetFault(memory.None)
		f.promote(2, 0)
		time.Sleep(3 * time.Second)
		wantGeneration(t, b, 3, spread.ConfirmedTable)
	})
}

// Guards against a halt that waits for the table, is not stored after an outage when
// the instance that made it is gone, or outlives a document that clears it.
func TestHaltWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.promote(0, 0)
		a, la := f.replica("a")
		time.Sleep(time.Second)
		f.table.SetFault(memory.Refused)
		halter := spread.New(spread.Options{Instance: "gone", Store: f.store, Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		f.wait.Go(func() { _ = halter.Run(ctx) })
		exchange(t, halter, la)
		changed := a.Changed()
		if err := halter.Halt(t.Context(), version, "errors"); err != nil {
			t.Fatal(err)
		}
		if halter.View().Usable(version) {
			t.Error("the instance that made the halt still uses the version")
		}
		exchange(t, halter, la)
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
			t.Error("the halt still applies after the document that clears it")
		}
	})
}

// Guards against a roll-out step that peers or instances that start later do not get.
func TestStepsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.promote(0, 0)
		a, _ := f.replica("a")
		b, lb := f.replica("b")
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
		c, _ := f.replica("c")
		time.Sleep(time.Second)
		if c.View().Steps["r"] != 1 {
			t.Errorf("steps at an instance that started later: %v", c.View().Steps)
		}
	})
}

// Guards against documents that were damaged in transfer.
func TestAdoptRefusesDamage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		r, p := f.replica("a")
		synctest.Wait()
		d := &wire.Document{Generation: 4, Digest: "0", Body: document("x", 0)}
		var e *spread.DocumentError
		if err := r.Adopt(t.Context(), d); !errors.As(err, &e) || e.Generation != 4 {
			t.Errorf("got %v", err)
		}
		if _, err := p.OfferDocument(t.Context(), d); err == nil {
			t.Error("the server accepted the document")
		}
		wantGeneration(t, r, 0, spread.ConfirmedNone)
	})
}

// Guards against an instance that accepts the document or halts of another environment.
// A process of that environment may have taken over an address that the lagging
// instance list still names, and its generation could be higher and would never be
// reverted.
func TestForeignEnvironment(t *testing.T) {
	r := spread.New(spread.Options{Instance: "engine-1", Environment: "ilmek", Now: time.Now})
	b := document("kootenay", 0)
	err := r.Adopt(t.Context(), &wire.Document{Generation: 6, Digest: string(envdoc.DigestOf(b)), Body: b})
	var e *spread.EnvironmentError
	if !errors.As(err, &e) || e.Got != "kootenay" {
		t.Fatalf("adopting a foreign document returned %v", err)
	}
	// The replica does not run, so a state that is not refused would wait for the deadline.
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err = r.Merge(ctx, &wire.State{Environment: "kootenay", Halts: []*wire.Halt{{Model: "ipek", Version: "a", Generation: 1}}})
	if !errors.As(err, &e) || len(r.View().Halts) > 0 {
		t.Fatalf("merging a foreign state returned %v, halts %v", err, r.View().Halts)
	}
	if g := r.View().Generation(); g != 0 {
		t.Fatalf("generation %d is in force", g)
	}
}
