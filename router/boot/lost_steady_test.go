package boot

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// requestsAt returns how many requests have reached upstreams.
func requestsAt(ss []*server.Server) int {
	n := 0
	for _, s := range ss {
		n += len(s.Requests())
	}
	return n
}

// inProgress runs a stream, an order and a look-up of some 2 s beside change, which is called 0.5 s after they began, and
// reports those without a whole answer. after is how a look-up that follows is answered.
func inProgress(t *testing.T, w *harness, change func(), after string) {
	t.Helper()
	const count = 20
	stream := always(server.Events{Count: count, Pause: 100 * time.Millisecond, Confidence: 100})
	work := always(server.Delayed{Answer: fine, Delay: 2 * time.Second})
	ss := []*server.Server{w.server("desk", "s1", "v1", work), w.server("llm", "m1", "v1", stream)}
	w.awaitUpstreams(len(ss))
	var clients sync.WaitGroup
	for path, want := range map[string]string{"/order/1": "fine", "/read/1": "fine", "/chat/1": events(count)} {
		clients.Go(func() {
			a := w.send("POST", path, "x", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "10000")
			if a.err != nil || a.status != http.StatusOK || a.body != want {
				t.Errorf("%s: got %d %v %.80q, want the whole answer", path, a.status, a.err, a.body)
			}
		})
	}
	w.eventually("the requests at the upstreams", func() bool { return requestsAt(ss) == 3 })
	time.Sleep(500 * time.Millisecond)
	change()
	clients.Wait()
	if n := requestsAt(ss); n != 3 {
		t.Errorf("the upstreams got %d requests, want 3", n)
	}
	if got := statusAndCode(w.send("POST", "/read/2", "xx")); got != after {
		t.Errorf("a request that came after the change got %s, want %s: the change is not in force", got, after)
	}
}

// Guards against answers in progress that end early as a configuration comes into force that would not admit their requests,
// as their upstream leaves, or at a reload of the settings.
func TestLostBesideChange(t *testing.T) {
	t.Parallel()
	// usual returns the routes with a timeout in ms.
	usual := func(timeout int) []map[string]any {
		return []map[string]any{
			route("order", "non_idempotent", "desk", "timeout_ms", timeout), route("read", "idempotent", "desk", "timeout_ms", timeout),
			route("chat", "streaming", "llm", "timeout_ms", timeout, "resumable", true),
		}
	}
	// next returns a change to a document with some routes, altered by f.
	next := func(rs []map[string]any, f func(d map[string]any)) func(w *harness) {
		return func(w *harness) {
			d := document(2, rs...)
			f(d)
			w.writeConfig(d)
		}
	}
	same := func(map[string]any) {}
	entry := func(state string) func(w *harness) {
		return func(w *harness) {
			for name, service := range map[string]string{"s1": "desk", "m1": "llm"} {
				if state == "" {
					w.store.Delete("servers", name)
				} else if err := w.store.PutJSON("servers", name, map[string]any{"service": service, "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8, "state": state, "born": 1}); err != nil {
					w.t.Error(err)
				}
			}
		}
	}
	tests := map[string]struct {
		change func(w *harness)
		// after is how a look-up that comes after the change is answered.
		after string
	}{
		"routes removed": {next(nil, same), "404 not-found not-run"},
		"service replaced": {next([]map[string]any{route("order", "non_idempotent", "other"), route("read", "idempotent", "other"), route("chat", "streaming", "other")}, func(d map[string]any) {
			d["services"] = []any{map[string]any{"name": "other", "health_path": "/h", "max_connections": 100}}
		}), "503 no-upstream not-run"},
		"services removed": {next(nil, func(d map[string]any) { d["services"] = []any{} }), "404 not-found not-run"},
		"key replaced": {next(usual(10_000), func(d map[string]any) {
			d["tenants"] = []any{map[string]any{"name": "ada", "api_keys": []string{"key-2"}}}
		}), "401 unauthenticated not-run"},
		"key moved": {next(usual(10_000), func(d map[string]any) {
			d["tenants"] = []any{map[string]any{"name": "bob", "api_keys": []string{"key-1"}}}
		}), "200"},
		"accounts removed":   {next(usual(10_000), func(d map[string]any) { d["tenants"] = []any{} }), "401 unauthenticated not-run"},
		"timeout shortened":  {next(usual(700), same), "504 deadline-exceeded unknown"},
		"timeout lengthened": {next(usual(60_000), same), "200"},
		"kinds changed":      {next([]map[string]any{route("order", "idempotent", "desk"), route("read", "non_idempotent", "desk"), route("chat", "idempotent", "llm")}, same), "200"},
		"limits lowered": {next(usual(10_000), func(d map[string]any) {
			d["limits"] = map[string]any{"max_body_bytes": 1, "idle_timeout_ms": 1}
		}), "413 body-too-large not-run"},
		"limit of heads lowered": {next(usual(10_000), func(d map[string]any) {
			d["limits"] = map[string]any{"max_header_bytes": 100, "max_body_bytes": 1, "idle_timeout_ms": 1}
		}), "431 bad-request not-run"},
		"configuration removed": {func(w *harness) { w.store.Delete("op", "config") }, "200"},
		"upstreams drain":       {entry("draining"), "503 no-upstream not-run"},
		"upstreams gone":        {entry(""), "503 no-upstream not-run"},
		"upstreams moved":       {entry("ready"), "503 overloaded not-run"},
		"settings of all kinds": {func(w *harness) {
			b, err := os.ReadFile(w.path)
			if err != nil {
				w.t.Error(err)
			}
			text := strings.NewReplacer("clients = ", "clients = 127.0.0.1:1\n#", "admin = ", "admin = 127.0.0.1:2\n#", "address = ", "address = 127.0.0.1:3\n#",
				"revoke-ms = 5000", "revoke-ms = 400", "retry-slack = 50", "retry-slack = 0", "grace-s = 4", "grace-s = 1", "domain = a", "domain = b\nlog-level = debug").Replace(string(b))
			if err := os.WriteFile(w.path, []byte(text), 0o600); err != nil {
				w.t.Error(err)
			}
			w.reload <- syscall.SIGHUP
		}, "503 stale-generation not-run"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, document(1, usual(10_000)...), 4)
			inProgress(t, w, func() { c.change(w) }, c.after)
		})
	}
}

// Guards against answers in progress that end early as the router has had no contact with the store for longer than keys may
// be accepted without it, and against streams that can't go on at another upstream then.
func TestLostWithoutStore(t *testing.T) {
	t.Parallel()
	const (
		count = 40
		pause = 100 * time.Millisecond
	)
	for name, fault := range map[string]tables.Fault{"refuses": tables.Busy{}, "is silent": tables.Silent{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", true, "timeout_ms", 20_000), route("order", "non_idempotent", "desk", "timeout_ms", 20_000)))
			w.writeSettings(w.address, "1500")
			w.reload <- syscall.SIGHUP
			w.eventually("the settings in force", func() bool { return strings.Contains(w.logs.String(), `"changed":true`) })
			script := func(r server.Request) server.Reply {
				e := server.Events{Count: count, Pause: pause, Confidence: 100}
				if strings.HasSuffix(r.Target, "/breaks") && r.Header.Get("Last-Event-Id") == "" {
					e.TruncateAfter = count * 3 / 4
				}
				return e
			}
			w.server("llm", "m1", "v1", script)
			w.server("llm", "m2", "v1", script)
			w.server("desk", "s1", "v1", always(server.Delayed{Answer: fine, Delay: count * pause}))
			w.awaitUpstreams(3)
			var clients sync.WaitGroup
			for path, want := range map[string]string{"/chat/whole": events(count), "/chat/breaks": events(count), "/order/1": "fine"} {
				clients.Go(func() {
					a := w.send("POST", path, "x", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "15000")
					if a.err != nil || a.status != http.StatusOK || a.body != want {
						t.Errorf("%s: got %d %v %.80q, want the whole answer", path, a.status, a.err, a.body)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			w.store.SetFault(fault)
			time.Sleep(count*pause - time.Second)
			if a := w.send("POST", "/order/2", "x"); a.status != http.StatusServiceUnavailable {
				t.Errorf("a request past the bound got %d %s, want 503", a.status, a.code())
			}
			clients.Wait()
		})
	}
}

// Guards against an answer that is given up for another attempt although the request may run only once, as it is late or its
// upstream sends nothing, in steady state and in a stop.
func TestLostLateAnswers(t *testing.T) {
	t.Parallel()
	const delay = 3 * time.Second
	tests := map[string]struct {
		path  string
		reply server.Reply
		body  string
	}{
		"order":                 {"/order/1", server.Delayed{Answer: fine, Delay: delay}, "fine"},
		"stream":                {"/once/1", server.Late{Events: server.Events{Count: 3, Confidence: 100}, Delay: delay}, events(3)},
		"stream that pauses":    {"/once/1", server.Paused{Events: server.Events{Count: 3, Confidence: 100}, After: 1, For: delay}, events(3)},
		"resumable stream":      {"/chat/1", server.Paused{Events: server.Events{Count: 3, Confidence: 100}, After: 1, For: delay}, events(3)},
		"resumable, late event": {"/chat/1", server.Events{Count: 3, Pause: delay / 2, Confidence: 100}, events(3)},
	}
	for name, c := range tests {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in a stop: %v", name, stops), func(t *testing.T) {
				t.Parallel()
				w := startRouterWithGrace(t, document(1, route("order", "non_idempotent", "desk", "target_latency_ms", 200, "timeout_ms", 20_000),
					route("once", "streaming", "llm", "target_latency_ms", 200, "timeout_ms", 20_000),
					route("chat", "streaming", "llm", "resumable", true, "target_latency_ms", 200, "timeout_ms", 20_000)), 6)
				script := func(r server.Request) server.Reply {
					if r.Header.Get("Last-Event-Id") != "" {
						return server.Reject{Status: http.StatusServiceUnavailable}
					}
					return c.reply
				}
				var ss []*server.Server
				for _, service := range []string{"desk", "llm"} {
					for i := range 3 {
						ss = append(ss, w.server(service, fmt.Sprint(service, i), "v1", script))
					}
				}
				w.awaitUpstreams(len(ss))
				if stops {
					w.stop()
				}
				a := w.send("POST", c.path, "x", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "15000")
				if a.err != nil || a.status != http.StatusOK || a.body != c.body {
					t.Errorf("got %d %v %.80q, want the whole answer", a.status, a.err, a.body)
				}
				if n := requestsAt(ss); n != 1 && c.path != "/chat/1" {
					t.Errorf("the upstreams got %d requests, want 1", n)
				}
			})
		}
	}
}
