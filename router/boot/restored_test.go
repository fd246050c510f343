package boot

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// restoredPropagation is the users' propagation_ms: the time after its acknowledgement in which
	// a configuration comes into force at all routers.
	restoredPropagation = 2 * time.Second
	// restoredRewrite is when the operator and the servers write again what the store has lost.
	restoredRewrite = 300 * time.Millisecond
)

// routesOf returns a configuration with a route for each name.
func routesOf(version int, names ...string) map[string]any {
	var rs []map[string]any
	for _, n := range names {
		rs = append(rs, route(n, "idempotent", "desk"))
	}
	return document(version, rs...)
}

// startWithDesk runs n routers with the route a and the upstream s1 of its service.
func startWithDesk(t *testing.T, n int) []*harness {
	t.Helper()
	ws := startRouters(t, routesOf(1, "a"), n)
	ws[0].server("desk", "s1", "v1", always(fine))
	for _, w := range ws {
		w.awaitUpstreams(1)
	}
	return ws
}

// expectRoutes checks that all routers serve the routes.
func expectRoutes(t *testing.T, ws []*harness, when string, names ...string) {
	t.Helper()
	for _, w := range ws {
		for _, n := range names {
			if a := w.send("GET", "/"+n+"/1", ""); a.status != 200 {
				t.Errorf("%s: %s at %s: got %d %s", when, n, w.name, a.status, a.code())
			}
		}
	}
}

// The day restored: the store comes back from a copy, and versions are given out again. Guards
// against routers that ignore the store until its version exceeds the last one that they know, that
// miss a change under a version that they know, and that go back to the copy's configuration.
func TestStoreRestored(t *testing.T) {
	t.Parallel()
	// lost is the number of transactions that the store loses, after those of the configuration.
	for name, lost := range map[string]int{"change under a known version": 0, "change under a lower version": 12} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ws := startWithDesk(t, 4)
			w := ws[0]
			copied := w.store.Version()
			w.writeConfig(routesOf(2, "a", "b"))
			for i := range lost {
				w.store.Put("other", fmt.Sprint(i), nil)
			}
			time.Sleep(restoredPropagation)
			expectRoutes(t, ws, "before the loss", "a", "b")
			w.store.Restore(copied)
			time.Sleep(restoredRewrite)
			expectRoutes(t, ws, "right after the loss", "a", "b")
			w.writeConfig(routesOf(3, "a", "b", "c"))
			time.Sleep(restoredPropagation)
			expectRoutes(t, ws, "after another change", "a", "b", "c")
			w.writeConfig(routesOf(4, "a", "b", "c", "d"))
			time.Sleep(restoredPropagation)
			expectRoutes(t, ws, "after a further change", "a", "b", "c", "d")
		})
	}
}

// A router starts after the store was restored from a copy that lacks a configuration. Guards against
// peers that hand on the copy's configuration, by which keys and routes of an older version count.
func TestStartAfterRestore(t *testing.T) {
	t.Parallel()
	ws := startWithDesk(t, 4)
	w := ws[0]
	copied := w.store.Version()
	w.writeConfig(routesOf(2, "a", "b"))
	time.Sleep(restoredPropagation)
	w.store.Restore(copied)
	time.Sleep(restoredPropagation)
	s := ws[3].startAgain()
	s.awaitUpstreams(1)
	expectRoutes(t, []*harness{s}, "at a router that starts", "a", "b")
}

// The copy holds two upstreams as ready, one of which has announced its shutdown meanwhile and one of
// which is gone. Guards against routers that use them again.
func TestUpstreamsAfterRestore(t *testing.T) {
	t.Parallel()
	ws := startRouters(t, routesOf(1, "a"), 3)
	w := ws[0]
	// The upstreams in the routers' own failure domain are preferred.
	w.moveTo("b", w.server("desk", "s1", "v1", always(fine)), "desk")
	draining := w.server("desk", "s2", "v1", always(fine))
	gone := w.server("desk", "s3", "v1", always(fine))
	for _, x := range ws {
		x.awaitUpstreams(3)
	}
	copied := w.store.Version()
	w.register(draining, "desk", "v1", "draining")
	w.store.Delete("servers", "s3")
	time.Sleep(restoredPropagation)
	before := requestsOf(draining, gone)
	w.store.Restore(copied)
	for end := time.Now().Add(restoredPropagation); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		expectRoutes(t, ws, "after the loss", "a")
	}
	if n := requestsOf(draining, gone) - before; n > 0 {
		t.Errorf("%d requests to upstreams that had left", n)
	}
	// An upstream that the store lists for long is there.
	w.store.Delete("servers", "s2")
	w.store.Delete("servers", "s1")
	w.eventually("a request to the upstream that was not removed", func() bool {
		w.send("GET", "/a/1", "")
		return len(gone.Requests()) > 0
	})
}

// The store loses a roll-out's order and its completion, and the operator writes the order again.
// Guards against routers that roll the version out once more, so that sessions go back to the old
// one, and against a store that never learns of the completion.
func TestRolloutAfterRestore(t *testing.T) {
	t.Parallel()
	const duration = 6 * time.Second
	ws := startRouters(t, routesOf(1, "a"), 3)
	w := ws[0]
	old := w.server("desk", "s1", "v1", always(fine))
	for _, x := range ws {
		x.awaitUpstreams(1)
	}
	next := w.server("desk", "s2", "v2", always(fine))
	copied := w.store.Version()
	order := func() {
		t.Helper()
		if err := w.store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
			t.Fatal(err)
		}
	}
	completed := func() bool {
		r, _ := w.store.Get("status", "rollout/desk")
		return strings.Contains(string(r.Data), "completed")
	}
	order()
	w.eventually("completion", completed)
	time.Sleep(restoredPropagation)
	before := len(old.Requests())
	w.store.Restore(copied)
	time.Sleep(restoredRewrite)
	order()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		expectRoutes(t, ws, "after the loss", "a")
	}
	if n := len(old.Requests()) - before; n > 0 {
		t.Errorf("%d requests to the old version, %d to the new one", n, len(next.Requests()))
	}
	if !completed() {
		t.Error("the store doesn't know of the completion")
	}
}
