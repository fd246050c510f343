package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
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

// sendRuns sends attempts one after the other until the agent takes no call, and returns those that got
// their end or a refusal.
func sendRuns(ctx context.Context, r *harness, name string) (answered []string) {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		s, err := r.client.Run(ctx, runRequest(id))
		if err != nil {
			return answered
		}
		for {
			f, err := s.Recv()
			if err != nil {
				return answered
			}
			if f.GetEnd() != nil || f.GetRefusal() != nil {
				answered = append(answered, id)
				break
			}
		}
	}
}

// Guards against work that is accepted while the drain finds the agent idle, so that its answer is lost.
func TestAcceptedWorkIsAnswered(t *testing.T) {
	for range 10 {
		f := newFakeEngine()
		close(f.release)
		r := start(t, f)
		var mu sync.Mutex
		answered := map[string]bool{}
		var w sync.WaitGroup
		for i := range 6 {
			w.Go(func() {
				ids := sendRuns(t.Context(), r, fmt.Sprint("c", i))
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					answered[id] = true
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		r.stop()
		<-r.stopped
		w.Wait()
		f.mu.Lock()
		for a := range f.attempts {
			if id := strings.TrimSuffix(a, "-1"); !answered[id] {
				t.Errorf("%s ran and was not answered", id)
			}
		}
		if len(f.attempts) == 0 {
			t.Error("nothing ran")
		}
		f.mu.Unlock()
	}
}
