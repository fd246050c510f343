package boot

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/router/setup"
	"tarragonvalve.example/standin/ports"
	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// world is a router between stand-ins of the store and of servers.
type world struct {
	t       *testing.T
	store   *tables.Store
	clients string
	admin   string
	stop    context.CancelFunc
	done    chan error
	logs    *lockedBuffer
	reload  chan os.Signal
	path    string
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// The document that most tests use: a key, a route of each kind.
func document(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/h", "max_connections": 100},
			map[string]any{"name": "llm", "health_path": "/h", "max_connections": 100, "runtime": map[string]any{
				"model_list": []any{map[string]any{"name": "small", "cost": 0.01}, map[string]any{"name": "large", "cost": 0.25}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100_000, "idle_timeout_ms": 15_000},
		"tenants": []any{map[string]any{"name": "ada", "api_keys": []string{"key-1"}}},
	}
}

func route(name, kind, service string, more ...any) map[string]any {
	r := map[string]any{
		"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind,
		"timeout_ms": 4000, "target_latency_ms": 1000, "attempts": 3, "service": service,
	}
	for i := 0; i+1 < len(more); i += 2 {
		r[more[i].(string)] = more[i+1]
	}
	return r
}

func standard() map[string]any {
	return document(1,
		route("read", "idempotent", "desk"),
		route("order", "non_idempotent", "desk"),
		route("chat", "streaming", "llm", "resumable", true, "sizes", []string{"small", "large"}),
	)
}

// start runs a router with the standard document; edit may change its settings.
func start(t *testing.T, d map[string]any) *world {
	t.Helper()
	w := &world{t: t, store: tables.New(), logs: &lockedBuffer{}, reload: make(chan os.Signal, 1)}
	if d != nil {
		w.config(d)
	}
	s := httptest.NewServer(w.store)
	t.Cleanup(s.Close)
	w.clients, w.admin = free(t), free(t)
	w.path = filepath.Join(t.TempDir(), "router.ini")
	w.settings(s.Listener.Addr().String(), "5000")
	v, err := setup.Read(w.path, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.done = make(chan error, 1)
	go func() { w.done <- run(ctx, v, w.reload, w.logs) }()
	t.Cleanup(func() {
		w.store.SetFault(nil)
		stop()
		if err := <-w.done; err != nil {
			t.Errorf("router: %v", err)
		}
		if t.Failed() {
			t.Logf("last logs:\n%s", w.tail())
		}
	})
	return w
}

// tail returns the last lines of the logs.
func (w *world) tail() string {
	const most = 6000 // bytes
	s := w.logs.String()
	return s[max(len(s)-most, 0):]
}

func (w *world) settings(store, revoke string) {
	w.t.Helper()
	text := fmt.Sprintf("[router]\ninstance = r1\ndomain = a\nclients = %s\nadmin = %s\n[store]\naddress = %s\n[bounds]\ngrace-s = 2\nrevoke-ms = %s\nretry-slack = 50\ncanary-share = 0.5\n",
		w.clients, w.admin, store, revoke)
	if err := os.WriteFile(w.path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// free returns an address for a process.
func free(t *testing.T) string {
	t.Helper()
	a, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (w *world) config(d map[string]any) {
	w.t.Helper()
	if err := w.store.PutJSON("op", "config", d); err != nil {
		w.t.Fatal(err)
	}
}

// server starts a stand-in and registers it.
func (w *world) server(service, name, version string, script func(server.Request) server.Reply) *server.Server {
	w.t.Helper()
	s, err := server.New(name, script)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.Close)
	w.register(s, service, version, "ready")
	return s
}

func (w *world) register(s *server.Server, service, version, state string) {
	w.t.Helper()
	w.list(s, service, version, state, 1)
}

// again registers a server of the desk that started again under its id.
func (w *world) again(s *server.Server, born int) {
	w.t.Helper()
	w.list(s, "desk", "v1", "ready", born)
}

func (w *world) list(s *server.Server, service, version, state string, born int) {
	w.t.Helper()
	err := w.store.PutJSON("servers", s.Name, map[string]any{
		"service": service, "address": s.Address(), "zone": "a", "version": version, "slots": 8, "state": state, "born": born,
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// eventually repeats a check until it holds; the bound only ends a broken run.
func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("%s did not happen", what)
}

func (w *world) ready() bool {
	a, err := http.Get("http://" + w.admin + "/readyz")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// knows waits until the router lists n upstreams.
func (w *world) knows(n int) {
	w.t.Helper()
	w.eventually("ready", w.ready)
	w.eventually(fmt.Sprintf("listing of %d upstreams", n), func() bool {
		return strings.Count(w.logs.String(), `"message":"upstream listed"`) >= n
	})
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error
	id     string
}

// call sends a request; headers are name, value pairs.
func (w *world) call(method, path, body string, headers ...string) reply {
	return w.callCtx(context.Background(), method, path, body, headers...)
}

var callID struct {
	sync.Mutex
	n int
}

func (w *world) callCtx(ctx context.Context, method, path, body string, headers ...string) reply {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+w.clients+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	callID.Lock()
	callID.n++
	id := fmt.Sprintf("attempt-%d", callID.n)
	q.Header.Set("Tarragonvalve-Attempt-Id", id)
	callID.Unlock()
	q.Host = "shop.example"
	q.Header.Set("Authorization", "Bearer key-1")
	q.Header.Set("Tarragonvalve-Deadline-Ms", "3000")
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] == "" {
			q.Header.Del(headers[i])
			continue
		}
		q.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return reply{err: err, id: id}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, body: string(b), header: a.Header, err: err, id: id}
}

// code returns the code of a refusal and whether the request ran.
func (r reply) code() string {
	var e struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(r.body), &e) != nil {
		return r.body
	}
	return e.Error.Code + " " + e.Error.Ran
}

func always(a server.Reply) func(server.Request) server.Reply {
	return func(server.Request) server.Reply { return a }
}

var fine = server.Answer{Status: http.StatusOK, Body: "fine"}

// sequence replies in order; the last reply repeats.
func sequence(rs ...server.Reply) func(server.Request) server.Reply {
	var mu sync.Mutex
	n := 0
	return func(server.Request) server.Reply {
		mu.Lock()
		defer mu.Unlock()
		r := rs[min(n, len(rs)-1)]
		n++
		return r
	}
}

func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(server.EventText(i))
	}
	return b.String()
}
