package boot

import (
	"strconv"
	"sync/atomic"
	"testing"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// Guards against work for an upstream that says in its answers that it leaves: while
// the store is away its entry says otherwise, and the next update of the entry may too.
func TestUpstreamSaysItLeaves(t *testing.T) {
	t.Parallel()
	for name, store := range map[string]tables.Fault{"store in touch": nil, "store away": tables.Busy{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, standard())
			leaving := w.server("desk", "s1", "v1", always(server.Leaving{Answer: fine}))
			w.knows(1)
			w.store.SetFault(store)
			if a := w.call("POST", "/order/1", "caps"); a.status != 200 {
				t.Fatalf("got %d %s", a.status, a.body)
			}
			w.register(leaving, "desk", "v1", "ready")
			for range 20 {
				if a := w.call("POST", "/order/1", "caps"); a.status != 503 || a.code() != "no-upstream not-run" {
					t.Errorf("got %d %s", a.status, a.body)
				}
			}
			if n := len(leaving.Requests()); n != 1 {
				t.Errorf("the upstream that leaves got %d requests, want only the first", n)
			}
			w.store.SetFault(nil)
			w.again(w.server("desk", "s1", "v1", always(fine)), 2)
			w.eventually("work for the upstream that started again", func() bool {
				return w.call("GET", "/read/1", "").status == 200
			})
		})
	}
}

// Guards against requests to an upstream that has asked for none, and against clients
// that are kept waiting, or sent back too soon, while all upstreams ask for that.
func TestUpstreamWantsQuiet(t *testing.T) {
	t.Parallel()
	w := start(t, standard())
	s := w.server("desk", "s1", "v1", always(server.Reject{Status: 503, RetryAfter: "500"}))
	w.knows(1)
	for i := range 20 {
		a := w.call("POST", "/order/1", "caps")
		if a.status != 503 || a.code() != "overloaded not-run" {
			t.Fatalf("got %d %s", a.status, a.body)
		}
		v, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil || v < 490 || v > 640 {
			t.Errorf("request %d: Retry-After %q, want the upstream's 500 s and a spread", i, a.header.Get("Retry-After"))
		}
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the upstream got %d requests, want only the first", n)
	}
	other := w.server("desk", "s2", "v1", always(fine))
	w.eventually("work for an upstream that asks for nothing", func() bool {
		return w.call("GET", "/read/1", "").status == 200
	})
	if n := len(s.Requests()); n != 1 || len(other.Requests()) == 0 {
		t.Errorf("the upstream got %d requests, want only the first", n)
	}
}

// Guards against an upstream that is left out for longer than it asked for.
func TestQuietEnds(t *testing.T) {
	t.Parallel()
	w := start(t, standard())
	var busy atomic.Bool
	busy.Store(true)
	s := w.server("desk", "s1", "v1", func(server.Request) server.Reply {
		if busy.Load() {
			return server.Reject{Status: 503, RetryAfter: "0.3"}
		}
		return fine
	})
	w.knows(1)
	if a := w.call("GET", "/read/1", ""); a.status != 503 {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	busy.Store(false)
	w.eventually("work after the quiet time", func() bool { return w.call("GET", "/read/1", "").status == 200 })
	if len(s.Requests()) < 2 {
		t.Error("the answer is not the upstream's")
	}
}
