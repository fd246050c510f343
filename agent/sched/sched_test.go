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

// views is a sched.Views whose view the tests set.
type views struct {
	mu      sync.Mutex
	view    *spread.View
	changed chan struct{}
	// iterations counts the iterations of the control loop, each of which calls Changed once.
	iterations int
	// beforeChanged is called once by the next call of Changed, before it reads the channel.
	beforeChanged func()
}

func (v *views) View() *spread.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

func (v *views) Changed() <-chan struct{} {
	v.mu.Lock()
	f := v.beforeChanged
	v.beforeChanged = nil
	v.mu.Unlock()
	if f != nil {
		f()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.iterations++
	return v.changed
}

func (v *views) iterationCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.iterations
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

// harness is a running scheduler with the parts that tests control.
type harness struct {
	*sched.Scheduler
	views *views
	// ledgerFull makes the scheduler see a full receipt buffer.
	ledgerFull atomic.Bool
}

// withScheduler starts a scheduler inside a synctest bubble, calls f and stops it.
func withScheduler(t *testing.T, slots int, f func(*testing.T, *harness)) {
	synctest.Test(t, func(t *testing.T) {
		v := &views{}
		v.set(1, envdoc.StateLive)
		r := &harness{views: v}
		r.Scheduler = sched.New(sched.Options{
			Views:      v,
			Slots:      slots,
			Limits:     queue.Limits{Items: 4, PerAccount: 3},
			LedgerFull: func(int) bool { return r.ledgerFull.Load() },
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

func (r *harness) submit(t *testing.T, a ident.AccountID, left time.Duration) (*sched.Ticket, *refuse.Error) {
	t.Helper()
	w := gate.Work{Account: a, Version: ref, Generation: r.views.View().Generation(), Deadline: time.Now().Add(left)}
	return r.Submit(t.Context(), w, sched.Size{Input: 10, MaxOutput: 10})
}

func (r *harness) mustSubmit(t *testing.T, a ident.AccountID) *sched.Ticket {
	t.Helper()
	k, e := r.submit(t, a, time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	return k
}

func wantNotRun(t *testing.T, e *refuse.Error, c refuse.Code) {
	t.Helper()
	if e == nil || e.Code != c || e.Ran != refuse.NotRun {
		t.Fatalf("got %v, want %s and not-run", e, c)
	}
}

// Guards against queued work that runs on a version that was withdrawn while the work
// waited, and against a refusal that is sent only when a slot is free.
func TestWithdrawnWhileQueued(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, r *harness) {
		first := r.mustSubmit(t, "a")
		if e := first.Wait(t.Context()); e != nil {
			t.Fatal(e)
		}
		second := r.mustSubmit(t, "a")
		r.views.set(2, envdoc.StateWithdrawn)
		wantNotRun(t, second.Wait(t.Context()), refuse.VersionWithdrawn)
		wantNotRun(t, first.Check(), refuse.VersionWithdrawn)
		if _, e := r.submit(t, "a", time.Hour); e == nil || e.Code != refuse.VersionWithdrawn {
			t.Fatalf("new work got %v", e)
		}
	})
}

// Guards against queued work that waits until its deadline because its version was withdrawn just after the
// work was queued.
func TestWithdrawnAfterQueued(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, r *harness) {
		if e := r.mustSubmit(t, "a").Wait(t.Context()); e != nil {
			t.Fatal(e)
		}
		synctest.Wait()
		r.views.mu.Lock()
		r.views.beforeChanged = func() { r.views.set(2, envdoc.StateWithdrawn) }
		r.views.mu.Unlock()
		wantNotRun(t, r.mustSubmit(t, "a").Wait(t.Context()), refuse.VersionWithdrawn)
	})
}

// Guards against more running attempts than slots, slots that are lost when a waiting
// caller gives up, and queued work that is refused after a change to a generation that
// still permits it.
func TestSlots(t *testing.T) {
	withScheduler(t, 2, func(t *testing.T, r *harness) {
		one, two, three, four := r.mustSubmit(t, "a"), r.mustSubmit(t, "a"), r.mustSubmit(t, "a"), r.mustSubmit(t, "b")
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
		wantNotRun(t, four.Wait(gone), refuse.Cancelled)
		r.views.set(2, envdoc.StateLive)
		one.Done(nil)
		if e := three.Wait(t.Context()); e != nil {
			t.Fatal(e)
		}
		two.Done(nil)
		three.Done(nil)
		synctest.Wait()
		if l := r.Load(); l.Running != 0 || l.Queued != 0 {
			t.Fatalf("load %+v, want nothing running or queued", l)
		}
	})
}

// Guards against waiting work whose deadline passes but that is refused only when a slot
// is free.
func TestDeadlineWhileQueued(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, r *harness) {
		_ = r.mustSubmit(t, "a").Wait(t.Context())
		k, e := r.submit(t, "b", time.Second)
		if e != nil {
			t.Fatal(e)
		}
		start := time.Now()
		wantNotRun(t, k.Wait(t.Context()), refuse.DeadlineExceeded)
		if d := time.Since(start); d > 1100*time.Millisecond {
			t.Fatalf("refused after %v, want at most 1.1s", d)
		}
	})
}

// Guards against a queue without a limit, work that is accepted while its receipt does
// not fit, and a drain that drops accepted work or accepts more.
func TestRefusals(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, r *harness) {
		_ = r.mustSubmit(t, "a").Wait(t.Context())
		for range 3 {
			r.mustSubmit(t, "a")
		}
		_, e := r.submit(t, "a", time.Hour)
		wantNotRun(t, e, refuse.Overloaded)
		if e.RetryAfter <= 0 {
			t.Fatal("refusal of a full queue has no RetryAfter")
		}
		last := r.mustSubmit(t, "b")
		r.ledgerFull.Store(true)
		_, e = r.submit(t, "b", time.Hour)
		wantNotRun(t, e, refuse.LedgerFull)
		r.ledgerFull.Store(false)
		r.Drain(t.Context())
		_, e = r.submit(t, "b", time.Hour)
		wantNotRun(t, e, refuse.Draining)
		synctest.Wait()
		if l := r.Load(); l.Queued != 4 || !l.Draining {
			t.Fatalf("load %+v, want the accepted work still queued", l)
		}
		last.Done(nil)
	})
}

// Guards against a scheduler without work that wakes up 40 times a second, which took
// half of the agent's processor time.
func TestIdleSchedulerSleeps(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, r *harness) {
		synctest.Wait()
		before := r.views.iterationCount()
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := r.views.iterationCount() - before; n > 0 {
			t.Errorf("%d iterations of the control loop in a minute without work, want 0", n)
		}
	})
}
