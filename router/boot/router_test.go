package boot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// Guards against a second run of a non-idempotent request, a "not-run" refusal of a request
// that may have run, and a response that isn't exactly the upstream's.
func TestOneUpstream(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		path  string
		reply server.Reply
		// status and body are the client's response, body the code of a refusal; runs is how
		// often the upstream gets the request.
		status int
		body   string
		runs   int
	}{
		"complete response":             {"/order/1", fine, 200, "fine", 1},
		"server error is passed on":     {"/order/1", server.Answer{Status: 500, Body: "broken"}, 500, "broken", 1},
		"reset may have run":            {"/order/1", server.Reset{}, 502, "upstream-failed unknown", 1},
		"truncated body may have run":   {"/order/1", server.Truncated{}, 502, "upstream-failed unknown", 1},
		"malformed may have run":        {"/order/1", server.Malformed{}, 502, "upstream-failed unknown", 1},
		"encoded isn't the upstream's":  {"/order/1", server.Encoded{}, 502, "upstream-failed unknown", 1},
		"rejection has not run":         {"/order/1", server.Reject{Status: 503}, 503, "overloaded not-run", 1},
		"own 503 proves nothing":        {"/order/1", server.Answer{Status: 503, Body: "busy"}, 502, "upstream-failed unknown", 1},
		"response after another one's":  {"/order/1", server.Mismatched{Answer: fine}, 200, "fine", 1},
		"duplicate is ignored":          {"/order/1", server.Duplicate{Answer: fine}, 200, "fine", 1},
		"response before the body ends": {"/order/1", server.Early{Answer: server.Answer{Status: 400, Body: "no"}}, 400, "no", 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			s := w.server("desk", "s1", "v1", always(c.reply))
			w.awaitUpstreams(1)
			for range 2 {
				a := w.send("POST", c.path, "caps", "Tarragonvalve-Deadline-Ms", "700")
				got := a.body
				if a.status >= 500 && a.status != 500 {
					got = a.code()
				}
				if a.err != nil || a.status != c.status || got != c.body {
					t.Errorf("got %d %q %v, want %d %q", a.status, got, a.err, c.status, c.body)
				}
				if a.status == 503 && a.header.Get("Retry-After") == "" {
					t.Error("503 without Retry-After")
				}
			}
			seen := map[string]int{}
			for _, r := range s.Requests() {
				seen[r.ID()]++
			}
			for id, n := range seen {
				if n != c.runs {
					t.Errorf("request %s reached the upstream %d times, want %d", id, n, c.runs)
				}
			}
		})
	}
}

// Guards against an idempotent request that fails although another upstream is healthy.
func TestIdempotentRetry(t *testing.T) {
	t.Parallel()
	for name, r := range map[string]server.Reply{
		"server error": server.Answer{Status: 500, Body: "broken"}, "reset": server.Reset{}, "truncated": server.Truncated{},
		"malformed": server.Malformed{}, "rejected": server.Reject{Status: 503}, "hang": server.Hang{},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			bad := w.server("desk", "s1", "v1", always(r))
			w.server("desk", "s2", "v1", always(fine))
			w.awaitUpstreams(2)
			for range 10 {
				if a := w.send("GET", "/read/1", ""); a.status != 200 || a.body != "fine" {
					t.Errorf("got %d %q %v", a.status, a.body, a.err)
				}
				if len(bad.Requests()) > 0 {
					break
				}
			}
		})
	}
}

// Guards against client headers that only the router may set, an API key that reaches an
// upstream, and a deadline longer than the client's.
func TestHeaders(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	w.send("POST", "/order/1?a=%2f", "caps", "Tarragonvalve-Kv-Retain", "x", "Kv-From", "10.0.0.1:1/x",
		"Tarragonvalve-Kv-Pin-Ms", "1", "Tarragonvalve-Kv-Replica", "10.0.0.1:1", "Tarragonvalve-Tenant-Name", "eve",
		"Tarragonvalve-Expect-Instance", "other", "Keep-Alive", "timeout=9", "X-Own", "kept")
	rs := s.Requests()
	if len(rs) != 1 {
		t.Fatalf("the upstream got %d requests", len(rs))
	}
	r := rs[0]
	if r.Method != "POST" || r.Target != "/order/1?a=%2f" || r.Host != "shop.example" || r.Body != "caps" {
		t.Errorf("got %s %s %s %q", r.Method, r.Target, r.Host, r.Body)
	}
	for k, want := range map[string]string{
		"Tarragonvalve-Kv-Retain": "", "Kv-From": "", "Tarragonvalve-Kv-Pin-Ms": "", "Tarragonvalve-Kv-Replica": "",
		"Authorization": "", "Keep-Alive": "", "Tarragonvalve-Tenant-Name": "ada", "Tarragonvalve-Expect-Instance": "s1", "X-Own": "kept",
	} {
		if got := r.Header.Get(k); got != want {
			t.Errorf("%s: got %q, want %q", k, got, want)
		}
	}
	if ms, err := strconv.Atoi(r.Header.Get("Tarragonvalve-Deadline-Ms")); err != nil || ms > 3000 || ms < 1 {
		t.Errorf("deadline %q", r.Header.Get("Tarragonvalve-Deadline-Ms"))
	}
}

// Guards against a 401 or 404 of an instance without a configuration, and against such an
// instance that reports that it is ready.
func TestNoConfiguration(t *testing.T) {
	t.Parallel()
	w := startRouter(t, nil)
	w.eventually("start of listening", func() bool { return w.send("GET", "/read/1", "").err == nil })
	if a := w.send("GET", "/read/1", "", "Authorization", ""); a.status != 503 || a.code() != "no-document not-run" {
		t.Errorf("got %d %s", a.status, a.body)
	}
	if w.ready() {
		t.Error("ready without a configuration")
	}
	w.server("desk", "s1", "v1", always(fine))
	w.eventually("listing of the upstream", func() bool { return strings.Contains(w.logs.String(), `"upstream listed"`) })
	// A request that arrives just before the first configuration waits for it. Incident
	// inc-2f8a of ilmek-nakis: 66 requests were refused after a restart.
	early := make(chan response, 1)
	go func() { early <- w.send("GET", "/read/1", "") }()
	time.Sleep(50 * time.Millisecond)
	w.writeConfig(standardDocument())
	if a := <-early; a.status != 200 {
		t.Errorf("request before the first configuration: got %d %s", a.status, a.body)
	}
	w.awaitUpstreams(1)
	for name, c := range map[string]struct {
		path, key string
		status    int
	}{
		"valid key":   {"/read/1", "Bearer key-1", 200},
		"no key":      {"/read/1", "", 401},
		"unknown key": {"/read/1", "Bearer key-2", 401},
		"no route":    {"/none/1", "Bearer key-1", 404},
	} {
		if a := w.send("GET", c.path, "", "Authorization", c.key); a.status != c.status {
			t.Errorf("%s: got %d %s, want %d", name, a.status, a.body, c.status)
		}
	}
}

// Guards against requests to an upstream that is draining, or whose entry was removed or
// overwritten with invalid data.
func TestUpstreamUnregistered(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(w *harness, s *server.Server){
		"draining":      func(w *harness, s *server.Server) { w.register(s, "desk", "v1", "draining") },
		"removed":       func(w *harness, s *server.Server) { w.store.Delete("servers", s.Name) },
		"no JSON":       func(w *harness, s *server.Server) { w.store.Put("servers", s.Name, []byte("{{")) },
		"unknown state": func(w *harness, s *server.Server) { w.register(s, "desk", "v1", "odd") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			s := w.server("desk", "s1", "v1", always(fine))
			w.server("desk", "s2", "v1", always(fine))
			w.awaitUpstreams(2)
			leave(w, s)
			w.eventually("end of requests to the upstream", func() bool {
				n := len(s.Requests())
				for range 8 {
					if a := w.send("GET", "/read/1", ""); a.status != 200 {
						t.Fatalf("got %d %s", a.status, a.body)
					}
				}
				return len(s.Requests()) == n
			})
		})
	}
}

// Guards against upstreams that are lost for good because their entries expired while the
// store was unavailable.
func TestEntriesExpireDuringOutage(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	w.store.SetFault(tables.Busy{})
	w.eventually("loss of the store", func() bool { return strings.Contains(w.logs.String(), `"dependency lost"`) })
	w.store.Delete("servers", s.Name)
	w.store.SetFault(nil)
	w.eventually("return of the store", func() bool { return strings.Contains(w.logs.String(), `"dependency regained"`) })
	if a := w.send("GET", "/read/1", ""); a.status != 200 {
		t.Errorf("right after the outage: got %d %s", a.status, a.body)
	}
	w.eventually("removal of the upstream without an entry", func() bool { return w.send("GET", "/read/1", "").status == 503 })
	w.register(s, "desk", "v1", "ready")
	w.eventually("request after the upstream registered again", func() bool { return w.send("GET", "/read/1", "").status == 200 })
}

// Guards against a response after the route's timeout, and against a 504 that says that the
// request didn't run.
func TestRouteTimeout(t *testing.T) {
	t.Parallel()
	w := startRouter(t, document(1, route("order", "non_idempotent", "desk", "timeout_ms", 300)))
	w.server("desk", "s1", "v1", always(server.Hang{}))
	w.awaitUpstreams(1)
	a := w.send("POST", "/order/1", "caps")
	if a.status != 504 || a.code() != "deadline-exceeded unknown" {
		t.Errorf("got %d %s", a.status, a.body)
	}
}

// Guards against requests that are read and then abandoned during a shutdown. This happened
// on ksls-valve, scenario trouble-2, seed 850310048589: LOST after SIGTERM.
func TestStopLosesNothing(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	var responded sync.Map
	var count atomic.Int64
	var g sync.WaitGroup
	ctx, end := context.WithCancel(context.Background())
	defer end()
	for range 20 {
		g.Go(func() {
			for ctx.Err() == nil {
				a := w.send("GET", "/read/1", "")
				switch {
				case a.err == nil:
					responded.Store(a.id, true)
					count.Add(1)
				case errors.Is(a.err, syscall.ECONNREFUSED):
					return
				}
			}
		})
	}
	w.eventually("traffic", func() bool { return count.Load() > 50 })
	w.stop()
	g.Wait()
	// A request sent while the router closes its idle connection is neither read nor
	// forwarded, and its client sees an error. Every forwarded request must get its response.
	for _, r := range s.Requests() {
		if _, ok := responded.Load(r.ID()); !ok {
			t.Errorf("request %s was forwarded and its client got no response", r.ID())
		}
	}
}

// Guards against a failed reload that discards the settings, and against changed settings
// that aren't noticed.
func TestReload(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	w.writeSettings("", "5000")
	w.reload <- syscall.SIGHUP
	w.eventually("report of the bad settings", func() bool { return strings.Contains(w.logs.String(), "the old ones stay in force") })
	if a := w.send("GET", "/read/1", ""); a.status != 200 {
		t.Errorf("after a failed reload: got %d", a.status)
	}
	w.writeSettings("127.0.0.1:1", "4000")
	w.reload <- syscall.SIGHUP
	w.eventually("report of the new settings", func() bool { return strings.Contains(w.logs.String(), `"changed":true`) })
}

// Guards against a roll-out of a failing version that isn't reverted, and against one of a
// healthy version that isn't completed in time.
func TestRollout(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reply server.Reply
		state string
	}{
		"good": {fine, "completed"},
		"bad":  {server.Answer{Status: 500, Body: "bad"}, "reverted"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			w.server("desk", "s1", "v1", always(fine))
			w.awaitUpstreams(1)
			s := w.server("desk", "s2", "v2", always(c.reply))
			if err := w.store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": 4}); err != nil {
				t.Fatal(err)
			}
			state := func() string {
				r, _ := w.store.Get("status", "rollout/desk")
				return string(r.Data)
			}
			w.eventually("start of the roll-out", func() bool { return strings.Contains(state(), "in_progress") })
			n := 0
			w.eventually(c.state, func() bool {
				n++
				w.send("GET", "/read/1", "", "Session", fmt.Sprint(n))
				return strings.Contains(state(), c.state)
			})
			if name == "bad" && len(s.Requests()) > 30 {
				t.Errorf("the bad version got %d requests", len(s.Requests()))
			}
			if !strings.Contains(state(), `"to":"v2"`) {
				t.Errorf("state %s", state())
			}
			w.eventually("all requests at one version", func() bool {
				before := len(s.Requests())
				for i := range 10 {
					w.send("GET", "/read/1", "", "Session", fmt.Sprint(i))
				}
				after := len(s.Requests())
				return (c.state == "completed" && after == before+10) || (c.state == "reverted" && after == before)
			})
		})
	}
}

// Guards against requests that wait until their deadline for an upstream that has stopped
// listening.
func TestClosedUpstream(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("llm", "s1", "v1", always(server.Events{Count: 9, Confidence: 100}))
	w.awaitUpstreams(1)
	if a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*"); a.status != 200 {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	s.Close()
	a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*")
	if a.status != http.StatusServiceUnavailable || !strings.HasSuffix(a.code(), "not-run") {
		t.Errorf("got %d %s", a.status, a.body)
	}
}

// Guards against a failed request that can't be explained by the log and the metrics, and
// against a key in either.
func TestFailureLogged(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	w.server("desk", "s1", "v1", always(server.Reset{}))
	w.awaitUpstreams(1)
	a := w.send("POST", "/order/1", "caps")
	if a.status != 502 {
		t.Fatalf("got %d", a.status)
	}
	var line string
	w.eventually("the request's final log line", func() bool {
		for l := range strings.Lines(w.logs.String()) {
			if strings.Contains(l, `"message":"request ended"`) && strings.Contains(l, `"request":"`+a.id+`"`) {
				line = l
			}
		}
		return line != ""
	})
	for _, want := range []string{`"status":502`, `"code":"upstream-failed"`, `"ran":"unknown"`, `"route":"order"`, `"account":"ada"`, `"generation":1`, `"configuration-age":`} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is missing in %s", want, line)
		}
	}
	m, err := http.Get("http://" + w.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer m.Body.Close()
	b, err := io.ReadAll(m.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`tarragonvalve_router_requests_total{code="upstream-failed",kind="once"} 1`,
		`tarragonvalve_router_attempts_total{outcome="unknown"} 1`,
		"tarragonvalve_router_configuration_age_seconds ",
	} {
		if !strings.Contains(string(b), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
	if strings.Contains(w.logs.String()+string(b), "key-1") {
		t.Error("the log or the metrics contain a key")
	}
}

// A server writes an earlier refusal once more on a kept connection. Guards against a client that is told
// that its request did not run although the server runs it, and against a second run elsewhere.
func TestRefusalWrittenTwice(t *testing.T) {
	t.Parallel()
	for name, refusal := range map[string]server.Reject{
		"overloaded":     {Status: 503},
		"too many":       {Status: 429},
		"other instance": {Status: 421},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			var ran atomic.Int64
			script := func(r server.Request) server.Reply {
				if strings.HasSuffix(r.Target, "refused") {
					return server.RejectTwice{Reject: refusal}
				}
				ran.Add(1)
				return worked
			}
			w.server("desk", "s1", "v1", script)
			w.awaitUpstreams(1)
			const requests = 10
			for i := range requests {
				w.send("POST", "/order/refused", "a")
				if a := w.send("POST", fmt.Sprint("/order/", i), "a"); a.status != 200 {
					t.Errorf("request %d: got %d %s %v", i, a.status, a.code(), a.err)
				}
			}
			if n := ran.Load(); n != requests {
				t.Errorf("%d requests ran, want %d", n, requests)
			}
		})
	}
}
