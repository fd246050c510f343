package entry_test

import (
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// Guards against queued work that is refused at the drain limit as if its caller had left, so that
// entries don't send it to another agent, and against running work that is said not to have run.
func TestDrainLimit(t *testing.T) {
	r := startWithDrain(t, newFakeEngine(), 100*time.Millisecond)
	running := []wire.Agent_RunClient{startAccepted(t, r, "r1"), startAccepted(t, r, "r2")}
	for n := 0; n < len(running); n, _, _ = r.engine.counts() {
		time.Sleep(time.Millisecond)
	}
	queued := startAccepted(t, r, "r3")
	r.stop()
	wantRefusal(t, nextFrame(t, queued), refuse.Draining, refuse.NotRun)
	for _, s := range running {
		wantRefusal(t, nextFrame(t, s), refuse.Draining, refuse.DidRun)
	}
	<-r.stopped
}

// Guards against a panic in one call that ends the agent with the work of all others.
func TestPanicInCall(t *testing.T) {
	r := start(t, newFakeEngine())
	s := startAccepted(t, r, "r1")
	r.replica.failing.Store(true)
	w, err := r.client.Watch(t.Context(), &wire.WatchRequest{Entry: "entry-1", State: &wire.State{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Recv(); status.Code(err) != codes.Internal || r.panics.Count() != 1 {
		t.Errorf("the call returned %v, %d panics counted", err, r.panics.Count())
	}
	close(r.engine.release)
	if text, f := readRest(t, s, 0); text != fullText || f.GetEnd() == nil {
		t.Errorf("the other call got %q and %v", text, f)
	}
}
