package boot

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// openRequests is the number of orders, and that of streams, that are open at the end of a drain.
const openRequests = 300

// openDocument has routes whose requests are not sent again.
func openDocument(version int) map[string]any {
	return unlimited(document(version, route("order", "non_idempotent", "desk", "attempts", 1, "timeout_ms", 30_000),
		route("chat", "streaming", "llm", "attempts", 1, "timeout_ms", 30_000)))
}

// unlimited lets the services in a configuration take any number of connections.
func unlimited(d map[string]any) map[string]any {
	for _, s := range d["services"].([]any) {
		s.(map[string]any)["max_connections"] = 100_000
	}
	return d
}

// openAtDrainEnd sends openRequests orders and as many streams to upstreams that answer none, has the router stopped by stop,
// and reports those that don't get a whole 502. A request that no upstream could be connected to for is not open.
func openAtDrainEnd(w *harness, stop func(), ss ...*server.Server) {
	w.t.Helper()
	const interval = time.Millisecond // of one request of each kind
	var y tally
	var clients sync.WaitGroup
	for range openRequests {
		for _, path := range []string{"/order/1", "/chat/1"} {
			clients.Go(func() {
				id := nextID()
				y.add(path, w.converse(exchange{ids: []string{id}, steps: []step{segment(head(path, id, 30_000, sized+"Tarragonvalve-Model-Name: small\r\n") + wholeBody)}}))
			})
		}
		time.Sleep(interval)
	}
	w.eventually("arrival of all requests at the upstreams", func() bool { return requestsAt(ss)+y.ended() == 2*openRequests })
	if n := requestsAt(ss); n < openRequests {
		w.t.Fatalf("only %d requests are open", n)
	}
	stop()
	clients.Wait()
	y.check(w.t, ss...)
	wrong := map[string]int{}
	for id, a := range y.all {
		if a.err != nil || (a.status != http.StatusBadGateway && a.code() != "overloaded not-run") {
			wrong[y.names[id]+": "+a.outcome()]++
		}
	}
	if len(wrong) > 0 {
		w.t.Errorf("got %v, want a whole 502 for all %d", wrong, 2*openRequests)
	}
}

// ended returns the number of requests that have ended.
func (y *tally) ended() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return len(y.all)
}

// Guards against requests whose answers have not begun at the end of a drain and whose connections are closed without one, as
// they are too many for the time in which they are answered.
func TestLostManyOpenAtDrainEnd(t *testing.T) {
	t.Parallel()
	for name, grace := range map[string]int{"short": 3, "usual": 8} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, openDocument(1), grace)
			ss := []*server.Server{w.server("desk", "s1", "v1", always(server.Hang{})), w.server("llm", "m1", "v1", always(server.Hang{}))}
			w.awaitUpstreams(len(ss))
			openAtDrainEnd(w, w.stop, ss...)
		})
	}
}
