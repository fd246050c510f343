package boot

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against requests that are taken late in a shutdown because their route is usually fast, and that outlast
// it: a stream was cut after its first events, and the fate of an order that may run once was unknown. What is
// refused must not have reached an upstream; a look-up may end with 502, as its client may repeat it.
func TestSlowOnesOfFastRoutesInShutdown(t *testing.T) {
	t.Parallel()
	const (
		grace = 8
		// at is the time from the start of the shutdown, timeout the client's in ms, long how long the
		// upstream takes, which is more than is left.
		at      = 4 * time.Second
		timeout = 20_000
		long    = 3800 * time.Millisecond
		events  = 38
		// warmUps is the number of fast requests before the shutdown.
		warmUps = 8
	)
	tests := map[string]struct {
		method, path string
		// answers are the permitted statuses and codes.
		answers []string
	}{
		"stream":                {"POST", "/plan/", []string{"503 draining not-run"}},
		"stream to be resumed":  {"POST", "/chat/", []string{"503 draining not-run"}},
		"order, may run once":   {"POST", "/order/", []string{"503 draining not-run"}},
		"look-up, may be rerun": {"GET", "/read/", []string{"503 draining not-run", "502 draining unknown"}},
	}
	d := document(1, route("plan", "streaming", "llm", "timeout_ms", 30_000), route("chat", "streaming", "llm", "resumable", true, "timeout_ms", 30_000),
		route("order", "non_idempotent", "desk", "timeout_ms", 30_000), route("read", "idempotent", "desk", "timeout_ms", 30_000), route("fast", "idempotent", "desk"))
	w := startRouterWithGrace(t, d, grace)
	desk := w.server("desk", "s1", "v1", func(r server.Request) server.Reply {
		if strings.HasSuffix(r.Target, "/long") {
			return server.Delayed{Answer: fine, Delay: long}
		}
		return fine
	})
	llm := w.server("llm", "s2", "v1", func(r server.Request) server.Reply {
		if strings.HasSuffix(r.Target, "/long") {
			return server.Events{Count: events, Pause: long / events}
		}
		return server.Events{Count: 3, Pause: 10 * time.Millisecond}
	})
	w.awaitUpstreams(2)
	conns := w.keep(len(tests))
	for _, c := range tests {
		for range warmUps {
			if a := conns[0].send(c.method, c.path+"short", timeout); a.status != 200 {
				t.Fatalf("%s before the shutdown: got %d %s %v", c.path, a.status, a.body, a.err)
			}
			// The upstream closes its connection after a stream, which the router must notice first.
			time.Sleep(20 * time.Millisecond)
		}
	}
	began := time.Now()
	w.stop()
	var clients sync.WaitGroup
	for name, c := range tests {
		k := conns[0]
		conns = conns[1:]
		clients.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			a := k.send(c.method, c.path+"long", timeout)
			got := statusAndCode(a)
			if a.err != nil || !slices.Contains(c.answers, got) {
				t.Errorf("%s: got %s, %v, want one of %q", name, got, a.err, c.answers)
			}
			reached := slices.ContainsFunc(slices.Concat(desk.Requests(), llm.Requests()), func(r server.Request) bool { return r.ID() == a.id })
			if reached && strings.HasSuffix(got, "not-run") {
				t.Errorf("%s: reached an upstream and got %s", name, got)
			}
		})
	}
	clients.Wait()
}
