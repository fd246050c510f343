package boot

import (
	"testing"

	"tarragonvalve.example/standin/server"
)

// Guards against requests sent to the old address of an upstream that restarted under the
// same id, and against a draining state that outlives the restart.
func TestUpstreamRestarts(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	old := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	if a := w.send("GET", "/read/1", ""); a.status != 200 {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	w.register(old, "desk", "v1", "draining")
	old.Close()
	restarted, err := server.New("s1", always(server.Answer{Status: 200, Body: "again"}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Close)
	err = w.store.PutJSON("servers", "s1", map[string]any{
		"service": "desk", "address": restarted.Address(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.eventually("response of the restarted upstream", func() bool {
		a := w.send("POST", "/order/1", "x")
		return a.status == 200 && a.body == "again"
	})
}

// Guards against a request that is run by an upstream at the former address of another. The
// upstream rejects a request that expects another instance, so it counts as not run.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	other := w.server("llm", "o1", "v1", always(fine))
	err := w.store.PutJSON("servers", "s1", map[string]any{
		"service": "desk", "address": other.Address(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.awaitUpstreams(2)
	if a := w.send("POST", "/order/1", "x"); a.status != 503 || a.code() != "overloaded not-run" {
		t.Errorf("got %d %s, want 503 overloaded not-run", a.status, a.code())
	}
	if n := len(other.Requests()); n != 1 {
		t.Errorf("the other upstream got %d requests, want 1", n)
	}
	w.server("desk", "s2", "v1", always(fine))
	w.awaitUpstreams(3)
	for range 20 {
		if a := w.send("POST", "/order/1", "x"); a.status != 200 {
			t.Fatalf("got %d %s", a.status, a.body)
		}
	}
}
