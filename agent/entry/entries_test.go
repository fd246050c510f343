package entry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const whole = "one two three four"

func run(t *testing.T, r *rig, id string) wire.Agent_RunClient {
	t.Helper()
	s, err := r.client.Run(t.Context(), runRequest(id))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func accepted(t *testing.T, r *rig, id string) wire.Agent_RunClient {
	t.Helper()
	s := run(t, r, id)
	if f := next(t, s); f.GetAccepted() == nil || f.GetAccepted().GetGeneration() != 1 {
		t.Fatalf("got %v, want accepted", f)
	}
	return s
}

func wantRefusal(t *testing.T, f *wire.Frame, c refuse.Code, ran refuse.Ran) {
	t.Helper()
	e := refuse.FromWire(f.GetRefusal())
	if e.Code != c || e.Ran != ran {
		t.Fatalf("got %v, want %s and %s", f, c, ran)
	}
}

// Guards against answers that are cut or changed on the way, wrong token counts,
// and attempts with no receipt or several.
func TestRunWhole(t *testing.T) {
	r := start(t, newFake())
	close(r.engine.release)
	text, f := rest(t, accepted(t, r, "r1"), 0)
	e := f.GetEnd()
	if text != whole || e.GetFinishReason() != "stop" || e.GetInputTokens() != 5 || e.GetOutputTokens() != 4 || e.GetMeanLogprob() != -1 {
		t.Fatalf("got %q and %v", text, f)
	}
	c := r.receipts.only(t)
	if c.Price != 5*2+4*10 || c.Outcome != ledger.OutcomeComplete || !c.Direct || c.Role != ledger.RoleAttempt {
		t.Fatalf("receipt %+v", c)
	}
}

// Guards against a lost link that loses or repeats output, against several
// resumes that disturb each other, and against a Run that starts an attempt again.
func TestResumeAfterLostLink(t *testing.T) {
	r := start(t, newFake())
	ctx, lose := context.WithCancel(t.Context())
	s, err := r.client.Run(ctx, runRequest("r1"))
	if err != nil {
		t.Fatal(err)
	}
	next(t, s)
	r.engine.release <- struct{}{}
	if f := next(t, s); f.GetData().GetText() != "one " {
		t.Fatalf("got %v", f)
	}
	lose()
	var g sync.WaitGroup
	var attached sync.WaitGroup
	for from, want := range []string{whole, whole[4:], whole[8:]} {
		c, err := r.client.Resume(t.Context(), resumeRequest("r1", uint64(from)))
		if err != nil {
			t.Fatal(err)
		}
		attached.Add(1)
		g.Go(func() {
			attached.Done()
			if text, f := rest(t, c, uint64(from)); text != want || f.GetEnd() == nil {
				t.Errorf("resume from %d got %q and %v", from, text, f)
			}
		})
	}
	attached.Wait()
	close(r.engine.release)
	if text, f := rest(t, run(t, r, "r1"), 0); text != whole || f.GetEnd() == nil {
		t.Errorf("second run got %q and %v", text, f)
	}
	g.Wait()
	if n, _, _ := r.engine.counts(); n != 1 || r.receipts.only(t).Output != 4 {
		t.Fatalf("engine started %d times, receipt %+v", n, r.receipts.only(t))
	}
}

// Guards against an engine connection that breaks and takes the answer with it,
// and against tokens that are lost or doubled by the resume.
func TestEngineConnectionBreaks(t *testing.T) {
	f := newFake()
	f.breakAfter = 2
	r := start(t, f)
	close(f.release)
	if text, f := rest(t, accepted(t, r, "r1"), 0); text != whole || f.GetEnd() == nil {
		t.Fatalf("got %q and %v", text, f)
	}
	if n, m, _ := f.counts(); n != 1 || m != 1 {
		t.Fatalf("%d starts and %d resumes", n, m)
	}
}

// Guards against a restarted agent that gives up streams its engine still has,
// makes up one that no one knows, or hands an answer to another account.
func TestResumeAfterRestart(t *testing.T) {
	f := newFake()
	close(f.release)
	f.known["r1-1"] = true
	r := start(t, f)
	c, err := r.client.Resume(t.Context(), resumeRequest("r1", 2))
	if err != nil {
		t.Fatal(err)
	}
	if text, f := rest(t, c, 2); text != "three four" || f.GetEnd().GetOutputTokens() != 4 {
		t.Fatalf("got %q and %v", text, f)
	}
	if n, _, _ := f.counts(); n != 0 {
		t.Fatal("the attempt was started again")
	}
	c, _ = r.client.Resume(t.Context(), resumeRequest("r2", 0))
	wantRefusal(t, next(t, c), refuse.UnknownAttempt, refuse.Unknown)
	q := resumeRequest("r1", 0)
	q.Account = "b"
	c, _ = r.client.Resume(t.Context(), q)
	wantRefusal(t, next(t, c), refuse.UnknownAttempt, refuse.Unknown)
}

// Guards against cancelled attempts that go on at the engine or are billed for
// more than was generated.
func TestCancel(t *testing.T) {
	r := start(t, newFake())
	s := accepted(t, r, "r1")
	r.engine.release <- struct{}{}
	next(t, s)
	for range 2 {
		if _, err := r.client.Cancel(t.Context(), &wire.CancelRequest{RequestId: "r1", Attempt: 1}); err != nil {
			t.Fatal(err)
		}
	}
	wantRefusal(t, next(t, s), refuse.Cancelled, refuse.DidRun)
	if c := r.receipts.only(t); c.Outcome != ledger.OutcomeCancelled || c.Output != 1 {
		t.Fatalf("receipt %+v", c)
	}
}

// Guards against running streams of a version that is withdrawn with
// cancel-running, also of one that an earlier process started, and new work on it.
func TestWithdrawnWhileRunning(t *testing.T) {
	r := start(t, newFake())
	s := accepted(t, r, "r1")
	r.engine.release <- struct{}{}
	next(t, s)
	r.node.set(2, envdoc.StateWithdrawn)
	wantRefusal(t, next(t, s), refuse.VersionWithdrawn, refuse.DidRun)
	q := runRequest("r2")
	q.Generation = 2
	c, err := r.client.Run(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, next(t, c), refuse.VersionWithdrawn, refuse.NotRun)
	wantRefusal(t, next(t, run(t, r, "r3")), refuse.StaleGeneration, refuse.NotRun)
	r.engine.mu.Lock()
	r.engine.known["r4-1"] = true
	r.engine.mu.Unlock()
	m, err := r.client.Resume(t.Context(), resumeRequest("r4", 0))
	if err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, next(t, m), refuse.VersionWithdrawn, refuse.DidRun)
}

// Guards against a caller who is billed for output that no entry relayed.
func TestEntryNeverComesBack(t *testing.T) {
	r := start(t, newFake())
	ctx, lose := context.WithCancel(t.Context())
	s, err := r.client.Run(ctx, runRequest("r1"))
	if err != nil {
		t.Fatal(err)
	}
	next(t, s)
	r.engine.release <- struct{}{}
	next(t, s)
	lose()
	for len(r.receipts.all()) == 0 {
		r.ahead.Add(int64(time.Hour))
		time.Sleep(time.Millisecond)
	}
	if c := r.receipts.only(t); c.Outcome != ledger.OutcomeCancelled || c.Output != 1 {
		t.Fatalf("receipt %+v", c)
	}
}

// Guards against a drain that interrupts a request, accepts new work, or is not
// pushed to the entries at once.
func TestDrain(t *testing.T) {
	r := start(t, newFake())
	w, err := r.client.Watch(t.Context(), &wire.WatchRequest{Entry: "entry-1"})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := w.Recv(); err != nil || m.GetDraining() {
		t.Fatalf("first status %v, %v", m, err)
	}
	s := accepted(t, r, "r1")
	r.engine.release <- struct{}{}
	next(t, s)
	r.stop()
	for {
		m, err := w.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if m.GetDraining() && m.GetState().GetDraining() {
			break
		}
	}
	wantRefusal(t, next(t, run(t, r, "r2")), refuse.Draining, refuse.NotRun)
	close(r.engine.release)
	if text, f := rest(t, s, 1); text != whole[4:] || f.GetEnd() == nil {
		t.Fatalf("the drain cut the answer: %q and %v", text, f)
	}
	<-r.stopped
}

// Guards against open streams without heartbeats, which entries take for dead.
func TestHeartbeat(t *testing.T) {
	r := start(t, newFake())
	s := accepted(t, r, "r1")
	f, err := s.Recv()
	if err != nil || f.GetHeartbeat() == nil || f.GetRequestId() != "r1" || f.GetPosition() != 0 {
		t.Fatalf("got %v, %v, want a heartbeat", f, err)
	}
	close(r.engine.release)
	rest(t, s, 0)
}
