package entry_test

import (
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// Guards against work that a late agent sends to its upstream although the answer can't be in time, and against a refusal
// after which its entry doesn't try another upstream.
func TestLateAgentRefuses(t *testing.T) {
	f := newFakeEngine()
	close(f.release)
	r := start(t, f)
	run := func(id string) wire.Agent_RunClient {
		t.Helper()
		q := runRequest(id)
		q.TimeoutMs = 1500
		s, err := r.client.Run(t.Context(), q)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	r.late.Store(int64(250 * time.Millisecond))
	wantRefusal(t, nextFrame(t, run("late")), refuse.Overloaded, refuse.NotRun)
	p, err := r.client.Call(t.Context(), &wire.CallRequest{TimeoutMs: 1500})
	if err != nil {
		t.Fatal(err)
	}
	if e := refuse.FromWire(p.GetRefusal()); e.Code != refuse.Overloaded || e.Ran != refuse.NotRun {
		t.Errorf("the call got %v", p)
	}
	if n, _, _ := f.counts(); n != 0 {
		t.Errorf("%d attempts were sent to the engine", n)
	}
	r.late.Store(int64(200 * time.Millisecond))
	s := run("in time")
	if m := nextFrame(t, s); m.GetAccepted() == nil {
		t.Errorf("got %v, want that it is accepted", m)
	}
	if text, m := readRest(t, s, 0); text != fullText || m.GetEnd() == nil {
		t.Errorf("got %q and %v", text, m)
	}
}
