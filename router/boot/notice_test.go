package boot

import (
	"strconv"
	"sync/atomic"
	"testing"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// Guards against requests to an upstream that has announced its shutdown in a response. Its
// entry in the store still says otherwise: it can't be updated while the store is
// unavailable, and its next update may still say that the upstream is ready.
func TestShutdownAnnouncement(t *testing.T) {
	t.Parallel()
	for name, store := range map[string]tables.Fault{"store available": nil, "store unavailable": tables.Busy{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			leaving := w.server("desk", "s1", "v1", always(server.Leaving{Answer: fine}))
			w.awaitUpstreams(1)
			w.store.SetFault(store)
			if a := w.send("POST", "/order/1", "caps"); a.status != 200 {
				t.Fatalf("got %d %s", a.status, a.body)
			}
			w.register(leaving, "desk", "v1", "ready")
			for range 20 {
				if a := w.send("POST", "/order/1", "caps"); a.status != 503 || a.code() != "no-upstream not-run" {
					t.Errorf("got %d %s", a.status, a.body)
				}
			}
			if n := len(leaving.Requests()); n != 1 {
				t.Errorf("the upstream that shuts down got %d requests, want only the first", n)
			}
			w.store.SetFault(nil)
			w.reregister(w.server("desk", "s1", "v1", always(fine)), 2)
			w.eventually("request to the restarted upstream", func() bool {
				return w.send("GET", "/read/1", "").status == 200
			})
		})
	}
}

// Guards against requests to an upstream during the time of its Retry-After, and against
// clients that are kept waiting, or told to retry too soon, while all upstreams are paused.
func TestRetryAfterPauses(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("desk", "s1", "v1", always(server.Reject{Status: 503, RetryAfter: "500"}))
	w.awaitUpstreams(1)
	for i := range 20 {
		a := w.send("POST", "/order/1", "caps")
		if a.status != 503 || a.code() != "overloaded not-run" {
			t.Fatalf("got %d %s", a.status, a.body)
		}
		v, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil || v < 490 || v > 640 {
			t.Errorf("request %d: Retry-After %q, want the upstream's 500 s and a jitter", i, a.header.Get("Retry-After"))
		}
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the upstream got %d requests, want only the first", n)
	}
	other := w.server("desk", "s2", "v1", always(fine))
	w.eventually("request to an upstream without a pause", func() bool {
		return w.send("GET", "/read/1", "").status == 200
	})
	if n := len(s.Requests()); n != 1 || len(other.Requests()) == 0 {
		t.Errorf("the upstream got %d requests, want only the first", n)
	}
}

// Guards against an upstream that gets no requests after its Retry-After has passed.
func TestRetryAfterEnds(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	var busy atomic.Bool
	busy.Store(true)
	s := w.server("desk", "s1", "v1", func(server.Request) server.Reply {
		if busy.Load() {
			return server.Reject{Status: 503, RetryAfter: "0.3"}
		}
		return fine
	})
	w.awaitUpstreams(1)
	if a := w.send("GET", "/read/1", ""); a.status != 503 {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	busy.Store(false)
	w.eventually("request after the pause", func() bool { return w.send("GET", "/read/1", "").status == 200 })
	if len(s.Requests()) < 2 {
		t.Error("the response is not the upstream's")
	}
}
