package sched_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

var ref = ident.VersionRef{Model: "ipek", Version: "2.1"}

// views is a view that tests change.
type views struct {
	mu      sync.Mutex
	view    *spread.View
	changed chan struct{}
	// asked counts the turns of the control goroutine, which asks once in each.
	asked int
}

func (v *views) View() *spread.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

func (v *views) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked++
	return v.changed
}

func (v *views) turns() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asked
}

func (v *views) set(g ident.Generation, state envdoc.VersionState) {
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{},
		Models:   map[ident.ModelID]*envdoc.Model{"ipek": {}},
		Versions: map[ident.VersionRef]*envdoc.Version{ref: {Ref: ref, State: state}},
	}
	for _, a := range []ident.AccountID{"a", "b"} {
		d.Accounts[a] = &envdoc.Account{ID: a, Weight: 1, Allowed: map[ident.VersionRef]bool{ref: true}}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view = &spread.View{Accepted: &spread.AcceptedDocument{Generation: g, Document: d}}
	if v.changed != nil {
		close(v.changed)
	}
	v.changed = make(chan struct{})
}

type rig struct {
	*sched.Scheduler
	views *views
	// full is true while no receipt fits.
	full atomic.Bool
}

// run starts a scheduler inside a synctest bubble and stops it at the end.
func run(t *testing.T, slots int, f func(*testing.T, *rig)) {
	synctest.Test(t, func(t *testing.T) {
		v := &views{}
		v.set(1, envdoc.StateLive)
		r := &rig{views: v}
		r.Scheduler = sched.New(sched.Options{
			Views:      v,
			Slots:      slots,
			Limits:     queue.Limits{Items: 4, PerAccount: 3},
			LedgerFull: func(int) bool { return r.full.Load() },
			Now:        time.Now,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = r.Run(ctx)
		}()
		f(t, r)
		cancel()
		<-done
	})
}

func (r *rig) submit(t *testing.T, a ident.AccountID, left time.Duration) (*sched.Ticket, *refuse.Error) {
	t.Helper()
	w := gate.Work{Account: a, Version: ref, Generation: r.views.View().Generation(), Deadline: time.Now().Add(left)}
	return r.Submit(t.Context(), w, sched.Size{Input: 10, MaxOutput: 10})
}

func (r *rig) must(t *testing.T, a ident.AccountID) *sched.Ticket {
	t.Helper()
	k, e := r.submit(t, a, time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	return k
}

func want(t *testing.T, e *refuse.Error, c refuse.Code) {
	t.Helper()
	if e == nil || e.Code != c || e.Ran != refuse.NotRun {
		t.Fatalf("got %v, want %s and not-run", e, c)
	}
}

// Guards against queued work that runs on a version withdrawn while it waited,
// and against a refusal that waits for the slot.
func TestWithdrawnWhileQueued(t *testing.T) {
	run(t, 1, func(t *testing.T, r *rig) {
		first := r.must(t, "a")
		if e := first.Wait(t.Context()); e != nil {
			t.Fatal(e)
		}
		second := r.must(t, "a")
		r.views.set(2, envdoc.StateWithdrawn)
		want(t, second.Wait(t.Context()), refuse.VersionWithdrawn)
		want(t, first.Check(), refuse.VersionWithdrawn)
		if _, e := r.submit(t, "a", time.Hour); e == nil || e.Code != refuse.VersionWithdrawn {
			t.Fatalf("new work got %v", e)
		}
	})
}

// Guards against more attempts than slots, slots that are lost when a waiting
// caller gives up, and queued work that a later generation refuses though it
// still permits it.
func TestSlots(t *testing.T) {
	run(t, 2, func(t *testing.T, r *rig) {
		one, two, three, four := r.must(t, "a"), r.must(t, "a"), r.must(t, "a"), r.must(t, "b")
		for _, k := range []*sched.Ticket{one, two} {
			if e := k.Wait(t.Context()); e != nil {
				t.Fatal(e)
			}
		}
		synctest.Wait()
		if l := r.Load(); l.Running != 2 || l.Queued != 2 {
			t.Fatalf("load %+v, want 2 running and 2 queued", l)
		}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		want(t, four.Wait(gone), refuse.Cancelled)
		r.views.set(2, envdoc.StateLive)
		one.Done(nil)
		if e := three.Wait(t.Context()); e != nil {
			t.Fatal(e)
		}
		two.Done(nil)
		three.Done(nil)
		synctest.Wait()
		if l := r.Load(); l.Running != 0 || l.Queued != 0 {
			t.Fatalf("load %+v, want nothing", l)
		}
	})
}

// Guards against waiting work that gets its answer only when a slot is free,
// although its deadline has passed.
func TestDeadlineWhileQueued(t *testing.T) {
	run(t, 1, func(t *testing.T, r *rig) {
		_ = r.must(t, "a").Wait(t.Context())
		k, e := r.submit(t, "b", time.Second)
		if e != nil {
			t.Fatal(e)
		}
		start := time.Now()
		want(t, k.Wait(t.Context()), refuse.DeadlineExceeded)
		if d := time.Since(start); d > 1100*time.Millisecond {
			t.Fatalf("answered after %v", d)
		}
	})
}

// Guards against drains that drop accepted work or accept more, a queue without
// a bound, and work that could not be billed.
func TestRefusals(t *testing.T) {
	run(t, 1, func(t *testing.T, r *rig) {
		_ = r.must(t, "a").Wait(t.Context())
		for range 3 {
			r.must(t, "a")
		}
		_, e := r.submit(t, "a", time.Hour)
		want(t, e, refuse.Overloaded)
		if e.RetryAfter <= 0 {
			t.Fatal("no time to retry after")
		}
		last := r.must(t, "b")
		r.full.Store(true)
		_, e = r.submit(t, "b", time.Hour)
		want(t, e, refuse.LedgerFull)
		r.full.Store(false)
		r.Drain(t.Context())
		_, e = r.submit(t, "b", time.Hour)
		want(t, e, refuse.Draining)
		synctest.Wait()
		if l := r.Load(); l.Queued != 4 || !l.Draining {
			t.Fatalf("load %+v, want the accepted work still queued", l)
		}
		last.Done(nil)
	})
}

// Guards against an agent without work that wakes 40 times a second, which was
// half of its processor time.
func TestIdleSchedulerSleeps(t *testing.T) {
	run(t, 1, func(t *testing.T, r *rig) {
		synctest.Wait()
		before := r.views.turns()
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := r.views.turns() - before; n > 0 {
			t.Errorf("%d turns in a minute without work", n)
		}
	})
}
