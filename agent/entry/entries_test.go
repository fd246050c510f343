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

const fullText = "one two three four"

func startRun(t *testing.T, r *harness, id string) wire.Agent_RunClient {
	t.Helper()
	s, err := r.client.Run(t.Context(), runRequest(id))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func startAccepted(t *testing.T, r *harness, id string) wire.Agent_RunClient {
	t.Helper()
	s := startRun(t, r, id)
	if f := nextFrame(t, s); f.GetAccepted() == nil || f.GetAccepted().GetGeneration() != 1 {
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

// Guards against answers that are relayed incompletely or changed, wrong token counts, and
// attempts with no receipt or several.
func TestRunWhole(t *testing.T) {
	r := start(t, newFakeEngine())
	close(r.engine.release)
	text, f := readRest(t, startAccepted(t, r, "r1"), 0)
	e := f.GetEnd()
	if text != fullText || e.GetFinishReason() != "stop" || e.GetInputTokens() != 5 || e.GetOutputTokens() != 4 || e.GetMeanLogprob() != -1 {
		t.Fatalf("got %q and %v", text, f)
	}
	c := r.receipts.only(t)
	if c.Price != 5*2+4*10 || c.Outcome != ledger.OutcomeComplete || !c.Direct || c.Role != ledger.RoleAttempt {
		t.Fatalf("receipt %+v", c)
	}
}

// Guards against a lost link that loses or repeats output, concurrent resumes that affect
// each other, and a repeated Run that starts the attempt again.
func TestResumeAfterLostLink(t *testing.T) {
	r := start(t, newFakeEngine())
	ctx, lose := context.WithCancel(t.Context())
	s, err := r.client.Run(ctx, runRequest("r1"))
	if err != nil {
		t.Fatal(err)
	}
	nextFrame(t, s)
	r.engine.release <- struct{}{}
	if f := nextFrame(t, s); f.GetData().GetText() != "one " {
		t.Fatalf("got %v", f)
	}
	lose()
	var g sync.WaitGroup
	var attached sync.WaitGroup
	for from, want := range []string{fullText, fullText[4:], fullText[8:]} {
		c, err := r.client.Resume(t.Context(), resumeRequest("r1", uint64(from)))
		if err != nil {
			t.Fatal(err)
		}
		attached.Add(1)
		g.Go(func() {
			attached.Done()
			if text, f := readRest(t, c, uint64(from)); text != want || f.GetEnd() == nil {
				t.Errorf("resume from %d got %q and %v", from, text, f)
			}
		})
	}
	attached.Wait()
	close(r.engine.release)
	if text, f := readRest(t, startRun(t, r, "r1"), 0); text != fullText || f.GetEnd() == nil {
		t.Errorf("second run got %q and %v", text, f)
	}
	g.Wait()
	if n, _, _ := r.engine.counts(); n != 1 || r.receipts.only(t).Output != 4 {
		t.Fatalf("engine started %d times, receipt %+v", n, r.receipts.only(t))
	}
}

// Guards against an answer that fails with its engine connection, and against tokens that
// the resume loses or repeats.
func TestEngineConnectionBreaks(t *testing.T) {
	f := newFakeEngine()
	f.breakAfter = 2
	r := start(t, f)
	close(f.release)
	if text, f := readRest(t, startAccepted(t, r, "r1"), 0); text != fullText || f.GetEnd() == nil {
		t.Fatalf("got %q and %v", text, f)
	}
	if n, m, _ := f.counts(); n != 1 || m != 1 {
		t.Fatalf("%d starts and %d resumes", n, m)
	}
}

// Guards against a restarted agent that does not resume streams that its engine still has,
// resumes one that the engine does not have, or sends an answer to another account.
func TestResumeAfterRestart(t *testing.T) {
	f := newFakeEngine()
	close(f.release)
	f.attempts["r1-1"] = true
	r := start(t, f)
	c, err := r.client.Resume(t.Context(), resumeRequest("r1", 2))
	if err != nil {
		t.Fatal(err)
	}
	if text, f := readRest(t, c, 2); text != "three four" || f.GetEnd().GetOutputTokens() != 4 {
		t.Fatalf("got %q and %v", text, f)
	}
	if n, _, _ := f.counts(); n != 0 {
		t.Fatal("the attempt was started again")
	}
	c, _ = r.client.Resume(t.Context(), resumeRequest("r2", 0))
	wantRefusal(t, nextFrame(t, c), refuse.UnknownAttempt, refuse.Unknown)
	q := resumeRequest("r1", 0)
	q.Account = "b"
	c, _ = r.client.Resume(t.Context(), q)
	wantRefusal(t, nextFrame(t, c), refuse.UnknownAttempt, refuse.Unknown)
}

// Guards against cancelled attempts that continue or are billed for more than was
// generated.
func TestCancel(t *testing.T) {
	r := start(t, newFakeEngine())
	s := startAccepted(t, r, "r1")
	r.engine.release <- struct{}{}
	nextFrame(t, s)
	for range 2 {
		if _, err := r.client.Cancel(t.Context(), &wire.CancelRequest{RequestId: "r1", Attempt: 1}); err != nil {
			t.Fatal(err)
		}
	}
	wantRefusal(t, nextFrame(t, s), refuse.Cancelled, refuse.DidRun)
	if c := r.receipts.only(t); c.Outcome != ledger.OutcomeCancelled || c.Output != 1 {
		t.Fatalf("receipt %+v", c)
	}
}

// Guards against streams that continue although their version is withdrawn with
// cancel-running, also those that an earlier process started, and against new work on it.
func TestWithdrawnWhileRunning(t *testing.T) {
	r := start(t, newFakeEngine())
	s := startAccepted(t, r, "r1")
	r.engine.release <- struct{}{}
	nextFrame(t, s)
	r.replica.set(2, envdoc.StateWithdrawn)
	wantRefusal(t, nextFrame(t, s), refuse.VersionWithdrawn, refuse.DidRun)
	q := runRequest("r2")
	q.Generation = 2
	c, err := r.client.Run(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, nextFrame(t, c), refuse.VersionWithdrawn, refuse.NotRun)
	wantRefusal(t, nextFrame(t, startRun(t, r, "r3")), refuse.StaleGeneration, refuse.NotRun)
	r.engine.mu.Lock()
	r.engine.attempts["r4-1"] = true
	r.engine.mu.Unlock()
	m, err := r.client.Resume(t.Context(), resumeRequest("r4", 0))
	if err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, nextFrame(t, m), refuse.VersionWithdrawn, refuse.DidRun)
}

// Guards against billing a client for output that no entry relayed.
func TestEntryDoesNotReconnect(t *testing.T) {
	r := start(t, newFakeEngine())
	ctx, lose := context.WithCancel(t.Context())
	s, err := r.client.Run(ctx, runRequest("r1"))
	if err != nil {
		t.Fatal(err)
	}
	nextFrame(t, s)
	r.engine.release <- struct{}{}
	nextFrame(t, s)
	lose()
	for len(r.receipts.all()) == 0 {
		r.clockOffset.Add(int64(time.Hour))
		time.Sleep(time.Millisecond)
	}
	if c := r.receipts.only(t); c.Outcome != ledger.OutcomeCancelled || c.Output != 1 {
		t.Fatalf("receipt %+v", c)
	}
}

// Guards against a drain that interrupts a request, accepts new work, or is not reported
// to the entries at once.
func TestDrain(t *testing.T) {
	r := start(t, newFakeEngine())
	w, err := r.client.Watch(t.Context(), &wire.WatchRequest{Entry: "entry-1"})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := w.Recv(); err != nil || m.GetDraining() {
		t.Fatalf("first status %v, %v", m, err)
	}
	s := startAccepted(t, r, "r1")
	r.engine.release <- struct{}{}
	nextFrame(t, s)
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
	wantRefusal(t, nextFrame(t, startRun(t, r, "r2")), refuse.Draining, refuse.NotRun)
	close(r.engine.release)
	if text, f := readRest(t, s, 1); text != fullText[4:] || f.GetEnd() == nil {
		t.Fatalf("the drain cut the answer: %q and %v", text, f)
	}
	<-r.stopped
}

// Guards against open streams without heartbeats, whose links the entries close.
func TestHeartbeat(t *testing.T) {
	r := start(t, newFakeEngine())
	s := startAccepted(t, r, "r1")
	f, err := s.Recv()
	if err != nil || f.GetHeartbeat() == nil || f.GetRequestId() != "r1" || f.GetPosition() != 0 {
		t.Fatalf("got %v, %v, want a heartbeat", f, err)
	}
	close(r.engine.release)
	readRest(t, s, 0)
}
