package boot

import (
	"testing"

	"tarragonvalve.example/standin/server"
)

// Guards against work sent to where an upstream was before it started again under
// its id, and against a draining state that outlives the start.
func TestUpstreamStartsAgain(t *testing.T) {
	t.Parallel()
	w := start(t, standard())
	old := w.server("desk", "s1", "v1", always(fine))
	w.knows(1)
	if a := w.call("GET", "/read/1", ""); a.status != 200 {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	w.register(old, "desk", "v1", "draining")
	old.Close()
	again, err := server.New("s1", always(server.Answer{Status: 200, Body: "again"}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Close)
	err = w.store.PutJSON("servers", "s1", map[string]any{
		"service": "desk", "address": again.Address(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.eventually("answer of the new start", func() bool {
		a := w.call("POST", "/order/1", "x")
		return a.status == 200 && a.body == "again"
	})
}

// Guards against work that reaches an upstream which was given the address of another:
// it refuses a request for someone else, which then counts as not run.
func TestAddressOfAnother(t *testing.T) {
	t.Parallel()
	w := start(t, standard())
	other := w.server("llm", "o1", "v1", always(fine))
	err := w.store.PutJSON("servers", "s1", map[string]any{
		"service": "desk", "address": other.Address(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.knows(2)
	if a := w.call("POST", "/order/1", "x"); a.status != 503 || a.code() != "overloaded not-run" {
		t.Errorf("got %d %s, want a promise that the order did not run", a.status, a.code())
	}
	if n := len(other.Requests()); n != 1 {
		t.Errorf("the other upstream was asked %d times, want once", n)
	}
	w.server("desk", "s2", "v1", always(fine))
	w.knows(3)
	for range 20 {
		if a := w.call("POST", "/order/1", "x"); a.status != 200 {
			t.Fatalf("got %d %s", a.status, a.body)
		}
	}
}
