package entry_test

import (
	"testing"
	"time"

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
