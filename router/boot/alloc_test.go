package boot

import (
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
)

// allocationCount is the line of a heap profile with the number of objects that a process has allocated.
var allocationCount = regexp.MustCompile(`(?m)^# Mallocs = (\d+)$`)

// allocations returns the number of objects that the router has allocated. It must serve profiles.
func (w *harness) allocations() int {
	w.t.Helper()
	a, err := http.Get("http://" + w.admin + "/debug/pprof/heap?debug=1")
	if err != nil {
		w.t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	m := allocationCount.FindSubmatch(b)
	if m == nil {
		w.t.Fatal("the heap profile has no number of allocations")
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		w.t.Fatal(err)
	}
	return n
}

// allocationsOf returns the objects that the router allocates for each of n requests.
func (w *harness) allocationsOf(n int, method, path, body string, headers ...string) float64 {
	w.t.Helper()
	send := func() {
		if a := w.send(method, path, body, headers...); a.err != nil || a.status != http.StatusOK {
			w.t.Fatalf("got %d %s %v", a.status, a.body, a.err)
		}
	}
	send() // what is allocated once
	before := w.allocations()
	for range n {
		send()
	}
	return float64(w.allocations()-before) / float64(n)
}

// Guards against a router that allocates more for each request and each event than it may, which costs it processor
// time in proportion. The bounds are in docs/CAPACITY.md.
func TestAllocations(t *testing.T) {
	const (
		requestBound, eventBound = 200, 2
		requests, streams        = 300, 20
		short, long              = 20, 220
	)
	w, _ := platform(t, standardGrace, always(fine))
	// An engine that keeps its connections, unlike a stand-in after a stream: its close may cross the next request.
	engine := httptest.NewServer(http.HandlerFunc(func(o http.ResponseWriter, q *http.Request) {
		o.Header().Set("Tarragonvalve-Attempt-Id", q.Header.Get("Tarragonvalve-Attempt-Id"))
		o.Header().Set("Tarragonvalve-Server-Signature", "s")
		io.WriteString(o, events(map[string]int{"short": short, "long": long}[q.Header.Get("Session")]))
	}))
	t.Cleanup(engine.Close)
	if err := w.store.PutJSON("servers", "m1", map[string]any{
		"service": "llm", "address": engine.Listener.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": 1,
	}); err != nil {
		t.Fatal(err)
	}
	w.router = "profiles = yes\n"
	w.writeSettings(w.address, "5000")
	w.startProcess()
	w.eventually("readiness", w.ready)
	w.eventually("an engine", func() bool { return w.send("POST", "/chat/1", "x", "Session", "short").status == http.StatusOK })
	got := map[string]float64{
		"look-up": w.allocationsOf(requests, "GET", "/read/1", ""),
		"order":   w.allocationsOf(requests, "POST", "/order/1", "order"),
	}
	a := w.allocationsOf(streams, "POST", "/chat/1", "prompt", "Session", "short")
	b := w.allocationsOf(streams, "POST", "/chat/1", "prompt", "Session", "long")
	got["event"] = (b - a) / (long - short)
	for name, bound := range map[string]float64{"look-up": requestBound, "order": requestBound, "event": eventBound} {
		t.Logf("%s: %.1f allocations", name, got[name])
		if got[name] > bound {
			t.Errorf("%s: %.1f allocations, want %.0f at most", name, got[name], bound)
		}
	}
}
