package boot

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// streamsOf returns a script of streams whose events come in differing pauses, each x times as
// long.
func streamsOf(x int) func(server.Request) server.Reply {
	var n atomic.Int64
	pauses := []time.Duration{2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond}
	return func(server.Request) server.Reply {
		p := pauses[n.Add(1)%int64(len(pauses))]
		return server.Events{Count: 12, Pause: p * time.Duration(x), Confidence: 100}
	}
}

// The day hasty: a new version answers several times slower, each router sees few of its
// responses, and the roll-out was completed. Guards against a version whose streams are slow from
// their first event on and that still gets all requests, and against a healthy one that doesn't.
func TestSlowVersion(t *testing.T) {
	t.Parallel()
	// canaryShare and canaryTolerance are the users' bounds for the requests that a bad version
	// gets of all in the time of its roll-out.
	const (
		canaryShare     = 0.12
		canaryTolerance = 30
		duration        = 16 * time.Second
	)
	for name, c := range map[string]struct {
		slowness int
		state    string
	}{
		"slow":    {8, "reverted"},
		"healthy": {1, "completed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ws := startRouters(t, standardDocument(), 4)
			olds := []*server.Server{
				ws[0].server("llm", "s1", "v1", streamsOf(1)), ws[0].server("llm", "s2", "v1", streamsOf(1)), ws[0].server("llm", "s3", "v1", streamsOf(1)),
			}
			for _, w := range ws {
				w.awaitUpstreams(len(olds))
			}
			sendSessions(ws, 3*time.Second)
			before := requestsOf(olds...)
			news := []*server.Server{ws[0].server("llm", "n1", "v2", streamsOf(c.slowness)), ws[0].server("llm", "n2", "v2", streamsOf(c.slowness))}
			if err := ws[0].store.PutJSON("op", "rollout/llm", map[string]any{"service": "llm", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
				t.Fatal(err)
			}
			sendSessions(ws, duration)
			r, _ := ws[0].store.Get("status", "rollout/llm")
			if !strings.Contains(string(r.Data), c.state) {
				t.Errorf("state %s, want %s", r.Data, c.state)
			}
			bad := requestsOf(news...)
			all := bad + requestsOf(olds...) - before
			if allowed := int(canaryShare*float64(all)) + canaryTolerance; c.slowness > 1 && bad > allowed {
				t.Errorf("the slow version got %d of %d requests, allowed %d", bad, all, allowed)
			}
		})
	}
}

// requestsOf returns the number of requests that servers got.
func requestsOf(ss ...*server.Server) int {
	n := 0
	for _, s := range ss {
		n += len(s.Requests())
	}
	return n
}

// sendSessions sends streaming requests, each of a session of its own, through all routers for d
// and waits for their ends.
func sendSessions(ws []*harness, d time.Duration) {
	const pause = 70 * time.Millisecond
	var wg sync.WaitGroup
	var n atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
		for _, w := range ws {
			wg.Go(func() {
				w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*", "Session", fmt.Sprint("s", n.Add(1)))
			})
		}
	}
	wg.Wait()
}

// The only upstream of a new version wants no requests for a time. Guards against requests without a
// session that are refused although the old version can serve them.
func TestCanaryPaused(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	s := w.server("desk", "s2", "v2", always(server.Reject{Status: 503, RetryAfter: "500"}))
	if err := w.store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": 60}); err != nil {
		t.Fatal(err)
	}
	w.eventually("a request to the canary", func() bool {
		w.send("GET", "/read/1", "")
		return len(s.Requests()) > 0
	})
	for i := range 60 {
		if a := w.send("GET", "/read/1", ""); a.status != 200 {
			t.Errorf("request %d: got %d %s", i, a.status, a.code())
		}
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the paused upstream got %d requests, want only the first", n)
	}
}

// A router starts after a completed roll-out, when only the new version is left. Guards against requests that are
// refused until it has read the roll-out's progress. This happened on ksls-valve, scenario scale-1: nine requests in
// 15 ms.
func TestStartAfterRollout(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	old := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	w.server("desk", "s2", "v2", always(fine))
	if err := w.store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": 4}); err != nil {
		t.Fatal(err)
	}
	w.eventually("completion", func() bool {
		w.send("GET", "/read/1", "")
		r, _ := w.store.Get("status", "rollout/desk")
		return strings.Contains(string(r.Data), "completed")
	})
	w.store.Delete("servers", "s1")
	old.Close()
	w.store.SetFault(tables.SlowTable{Table: "status", By: 300 * time.Millisecond})
	x := w.startAgain()
	x.eventually("listener", func() bool {
		c, err := net.Dial("tcp", x.clients)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	for range 20 {
		if a := x.send("GET", "/read/1", ""); a.status != 200 {
			t.Errorf("right after the start: got %d %s", a.status, a.body)
		}
	}
}
