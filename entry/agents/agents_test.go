package agents

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/wire"
)

// Guards against an entry that keeps a connection on which nothing arrives any more,
// although a new connection would work: the upstream would get no new work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s, stop := start(t, &wire.Status{Upstream: "engine-1"})
		defer stop()
		time.Sleep(2 * time.Second)
		l := s.Link("engine-1")
		if l == nil || !l.Usable(time.Now()) {
			t.Fatal("the link is not usable at the start")
		}
		a.muteOpen()
		time.Sleep(statusTimeout + pingInterval + pingTimeout)
		if l.Replaced() == 0 {
			t.Fatal("the silent connection was not replaced")
		}
		time.Sleep(2 * time.Second)
		if !l.Usable(time.Now()) {
			t.Fatal("the link is not usable over the new connection")
		}
	})
}

// Guards against new work for an upstream whose agent drains while the instance
// list, which lags, does not have it as leaving yet.
func TestDrainingOverridesList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s, stop := start(t, &wire.Status{Upstream: "engine-1"})
		defer stop()
		time.Sleep(time.Second)
		a.set(&wire.Status{Upstream: "engine-1", Draining: true, Sequence: 1})
		time.Sleep(time.Second)
		s.Update([]Target{{Upstream: "engine-1", Domain: "d1", Addr: "127.0.0.1:1"}})
		if l := s.Link("engine-1"); l.Usable(time.Now()) || !l.Leaving() {
			t.Fatal("a draining agent counts as usable")
		}
	})
}

// Guards against a status that arrives after a newer one and restores an old load
// or draining flag, and against the status of another upstream.
func TestLateStatusIsIgnored(t *testing.T) {
	l := newLink(Options{}, Target{Upstream: "engine-1"}, func() {})
	now := time.Unix(0, 0)
	l.Observe(&wire.Status{Upstream: "engine-1", Sequence: 5, Draining: true}, now)
	l.Observe(&wire.Status{Upstream: "engine-1", Sequence: 4}, now)
	l.Observe(&wire.Status{Upstream: "engine-2", Sequence: 9}, now)
	if !l.LatestStatus().Status.GetDraining() {
		t.Fatal("an older status or one of another upstream was stored")
	}
}

// Guards against agents that keep receipts and output that are already stored,
// against acknowledging a receipt to an agent that does not hold it, and against
// keeping the origin of stored receipts.
func TestStoredReceiptsAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s, stop := start(t, &wire.Status{Upstream: "engine-1"})
		defer stop()
		time.Sleep(time.Second)
		k := NewAcks(s)
		k.Bind(ledger.New(ledger.Options{}))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Run(ctx)
		}()
		linked := ledger.Receipt{Request: "r1", Role: ledger.RoleBill, Attempt: 2, Upstream: "engine-1"}
		unlinked := ledger.Receipt{Request: "r2", Role: ledger.RoleBill, Attempt: 1, Upstream: "engine-9"}
		k.Add(linked)
		k.Add(unlinked)
		k.Stored([]ledger.ID{linked.ID(), unlinked.ID()})
		synctest.Wait()
		cancel()
		<-done
		if len(a.acked) != 1 || a.acked[0].GetRequestId() != "r1" || a.acked[0].GetAttempt() != 2 {
			t.Fatalf("acknowledged %v, want only r1 with attempt 2", a.acked)
		}
		if len(k.origin) != 0 {
			t.Fatalf("origin holds %d receipts after their batch was stored", len(k.origin))
		}
	})
}

// Guards against a subset that changes more than one link when an agent joins, that
// exceeds its size, or that has no agent of a kind.
func TestSubsetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "agents")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		var ts []Target
		for i := range n {
			ts = append(ts, Target{Upstream: ident.UpstreamID(fmt.Sprint("u", i)), Kind: fmt.Sprint("k", i%3)})
		}
		entry := ident.InstanceID(rapid.String().Draw(t, "entry"))
		before := Subset(entry, ts, size)
		after := Subset(entry, append(ts, Target{Upstream: "new", Kind: "k0"}), size)
		kinds := map[string]int{}
		kept := map[ident.UpstreamID]bool{}
		for _, x := range after {
			kinds[x.Kind]++
			kept[x.Upstream] = true
		}
		moved := 0
		for _, x := range before {
			if !kept[x.Upstream] {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("one new agent moved %d links", moved)
		}
		for k, c := range kinds {
			if c > size {
				t.Fatalf("kind %s has %d links of at most %d", k, c, size)
			}
		}
		if len(kinds) != min(max(n, 1), 3) && n >= 3 {
			t.Fatalf("%d kinds are covered", len(kinds))
		}
	})
}

// Guards against choosing the target of a leaving agent over that of its replacement.
func TestReplacementIsPreferred(t *testing.T) {
	old := Target{Upstream: "u1", Addr: "127.0.0.1:1", Leaving: true}
	live := Target{Upstream: "u1", Addr: "127.0.0.1:2"}
	for name, ts := range map[string][]Target{"old first": {old, live}, "live first": {live, old}} {
		if out := dedupe(ts, nil, time.Now()); len(out) != 1 || out[0] != live {
			t.Errorf("%s: kept %v, want only the live target", name, out)
		}
	}
}

// Guards against exchanging state with the agent of another upstream that now has
// the address of an agent that ended.
func TestOtherUpstreamAtAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, stop := start(t, &wire.Status{Upstream: "orders-1", State: &wire.State{Instance: "orders-1-a"}})
		defer stop()
		time.Sleep(3 * time.Second)
		l := s.Link("engine-1")
		if l.Usable(time.Now()) {
			t.Fatal("the link is usable")
		}
		if n := s.o.Control.(*control).exchanges.Load(); n != 0 {
			t.Fatalf("state was exchanged %d times", n)
		}
	})
}

// Guards against a counter that decreases when a link is removed: Prometheus would
// take that for a restart of the process.
func TestReplacedNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s, stop := start(t, &wire.Status{Upstream: "engine-1"})
		defer stop()
		time.Sleep(2 * time.Second)
		a.muteOpen()
		time.Sleep(statusTimeout + pingInterval + pingTimeout)
		before := s.Replaced()
		if before == 0 {
			t.Fatal("the silent connection was not replaced")
		}
		s.Update(nil)
		if after := s.Replaced(); after < before {
			t.Fatalf("the counter decreased from %d to %d", before, after)
		}
	})
}
