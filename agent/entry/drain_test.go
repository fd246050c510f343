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

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/sched"
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
		for n := 0; n < 10; n, _, _ = f.counts() {
			time.Sleep(time.Millisecond)
		}
		r.stop()
		<-r.stopped
		w.Wait()
		f.mu.Lock()
		for a := range f.attempts {
			if id := strings.TrimSuffix(a, "-1"); !answered[id] {
				t.Errorf("%s ran and was not answered", id)
			}
		}
		f.mu.Unlock()
	}
}

// slotCaller answers calls once they have a slot and hold is closed.
type slotCaller struct {
	sched *sched.Scheduler
	hold  chan struct{}
}

func (c *slotCaller) Call(context.Context, *wire.CallRequest) *wire.CallReply {
	w := gate.Work{Account: "a", Version: ref, Generation: 1, Deadline: time.Now().Add(time.Minute)}
	// As for a call that may run only once, the end of the gRPC call doesn't end the wait.
	t, r := c.sched.Submit(context.Background(), w, sched.Size{Input: 1})
	if r == nil {
		r = t.Wait(context.Background())
	}
	if r != nil {
		return &wire.CallReply{Body: &wire.CallReply_Refusal{Refusal: refuse.ToWire(r)}}
	}
	defer t.Done(nil)
	<-c.hold
	return &wire.CallReply{Body: &wire.CallReply_Result{Result: &wire.CallResult{StatusCode: 200}}}
}

// Guards against a queued call whose connection is closed at the drain limit, so that its entry must take
// it for one of unknown fate, and that keeps the agent from ending.
func TestQueuedCallAtDrainLimit(t *testing.T) {
	r := startWithDrain(t, newFakeEngine(), 100*time.Millisecond)
	got := make(chan *wire.CallReply, 3)
	for range 3 {
		go func() {
			p, err := r.client.Call(t.Context(), &wire.CallRequest{})
			if err != nil {
				t.Error(err)
			}
			got <- p
		}()
	}
	for l := r.sched.Load(); l.Running != 2 || l.Queued != 1; l = r.sched.Load() {
		time.Sleep(time.Millisecond)
	}
	r.stop()
	select {
	case p := <-got:
		if e := refuse.FromWire(p.GetRefusal()); e.Code != refuse.Draining || e.Ran != refuse.NotRun {
			t.Errorf("the queued call got %v", p)
		}
	case <-time.After(time.Second):
		t.Error("the queued call was not refused at the drain limit")
	}
	close(r.caller.hold)
	for range 2 {
		if p := <-got; p.GetResult().GetStatusCode() != 200 {
			t.Errorf("a running call got %v", p)
		}
	}
	<-r.stopped
}
