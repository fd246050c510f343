package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/proof/links"
	"tarragonvalve.example/standin/ports"
	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

const (
	routers = 3
	desks   = 3
	engines = 3
	// revoke is the bound on keys that were taken away, as the settings state it.
	revoke = 5 * time.Second
	// recovery is the time after the last fault within which all work again.
	recovery = 12 * time.Second
)

// bin is the built router.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make a folder for the router:", err)
		os.Exit(1)
	}
	bin = filepath.Join(dir, "router")
	c := exec.Command("go", "build", "-o", bin, ".")
	c.Dir = filepath.Join("..", "router")
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the router: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// router is one process; it is started again when it ends.
type router struct {
	name    string
	clients string
	admin   string
	path    string
	store   *links.Link

	restarting atomic.Bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
	log  *tail
}

// tail keeps the last output of a process.
type tail struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// keep is how much output a failed run prints of each router, in bytes.
const keep = 8 << 10

func (l *tail) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Write(b)
	if l.b.Len() > 4*keep {
		l.b.Next(l.b.Len() - keep)
	}
	return len(b), nil
}

func (l *tail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = exec.Command(bin, "--config", r.path)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.done = make(chan error, 1)
	go func(c *exec.Cmd, done chan<- error) { done <- c.Wait() }(r.cmd, r.done)
	return nil
}

func (r *router) signal(s syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Signal(s)
}

// end waits for the end of the process and kills it after a limit.
func (r *router) end(limit time.Duration) (killed bool, err error) {
	r.mu.Lock()
	done, p := r.done, r.cmd.Process
	r.mu.Unlock()
	select {
	case err := <-done:
		return false, err
	case <-time.After(limit):
		if err := p.Kill(); err != nil {
			return true, err
		}
		return true, <-done
	}
}

func (r *router) ready() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + r.admin + "/readyz")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// upstream is a stand-in server behind a proxy.
type upstream struct {
	*server.Server
	link    *links.Link
	service string
}

type world struct {
	t         *testing.T
	store     *tables.Store
	routers   []*router
	upstreams []*upstream
	ledger    *ledger

	quiet  sync.Mutex
	silent map[*links.Link]bool
}

func newWorld(t *testing.T, l *ledger) *world {
	t.Helper()
	w := &world{t: t, store: tables.New(), ledger: l, silent: map[*links.Link]bool{}}
	s := httptest.NewServer(w.store)
	t.Cleanup(s.Close)
	w.config(1, "key-a", "key-b")
	for i := range desks + engines {
		service := "desk"
		if i >= desks {
			service = "llm"
		}
		w.add(service, fmt.Sprintf("%s-%d", service, i))
	}
	var shares []string
	for range routers {
		shares = append(shares, free(t))
	}
	for i := range routers {
		r := &router{name: fmt.Sprintf("r%d", i), clients: free(t), admin: free(t), log: &tail{}}
		r.store = links.New(t, "store-"+r.name, s.Listener.Addr().String())
		r.path = filepath.Join(t.TempDir(), r.name+".ini")
		text := fmt.Sprintf("[router]\ninstance = %s\ndomain = a\nclients = %s\nadmin = %s\nshare = %s\nseeds = %s, %s\n[store]\naddress = %s\n[bounds]\ngrace-s = 4\nrevoke-ms = %d\nretry-slack = 100\n",
			r.name, r.clients, r.admin, shares[i], shares[0], shares[1], r.store.Addr(), revoke.Milliseconds())
		if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := r.start(); err != nil {
			t.Fatal(err)
		}
		w.routers = append(w.routers, r)
	}
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	for _, r := range w.routers {
		// A paused process doesn't act on the other signal.
		_ = r.signal(syscall.SIGCONT)
		_ = r.signal(syscall.SIGKILL)
		if killed, _ := r.end(time.Minute); killed {
			w.t.Errorf("%s did not end by SIGKILL", r.name)
		}
		if w.t.Failed() {
			w.t.Logf("last output of %s:\n%s", r.name, r.log)
		}
	}
}

// add starts a server and registers it.
func (w *world) add(service, name string) *upstream {
	w.t.Helper()
	s, err := server.New(name, w.ledger.script(service))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.Close)
	u := &upstream{Server: s, link: links.New(w.t, name, s.Address()), service: service}
	w.upstreams = append(w.upstreams, u)
	w.register(u, "ready")
	return u
}

func (w *world) register(u *upstream, state string) {
	w.t.Helper()
	err := w.store.PutJSON("servers", u.Name, map[string]any{
		"service": u.service, "address": u.link.Addr(), "zone": "a", "version": "v1", "slots": 32, "state": state, "born": 1,
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// config writes a configuration in which each key belongs to a client account of its own.
func (w *world) config(version int, keys ...string) {
	w.t.Helper()
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 3000,
			"target_latency_ms": 500, "attempts": 3, "service": service, "resumable": true,
		}
	}
	var accounts []map[string]any
	for _, k := range keys {
		accounts = append(accounts, map[string]any{"name": "of-" + k, "api_keys": []string{k}})
	}
	err := w.store.PutJSON("op", "config", map[string]any{
		"version": version, "tenants": accounts,
		"routes": []any{route("read", "idempotent", "desk"), route("order", "non_idempotent", "desk"), route("chat", "streaming", "llm")},
		"services": []any{
			map[string]any{"name": "desk", "max_connections": 400},
			map[string]any{"name": "llm", "max_connections": 400, "runtime": map[string]any{"model_list": []any{}}},
		},
		"limits": map[string]any{"max_body_bytes": 100_000, "idle_timeout_ms": 15_000},
	})
	if err != nil {
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

// pause stops a router for a time, as a suspended machine would.
func (w *world) pause(r *router, d time.Duration) {
	if r.signal(syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(d)
	if err := r.signal(syscall.SIGCONT); err != nil {
		w.t.Logf("continue %s: %v", r.name, err)
	}
}

// restart ends a router by a signal and starts it again. Routers that are being
// restarted already are left alone.
func (w *world) restart(r *router, s syscall.Signal) {
	if !r.restarting.CompareAndSwap(false, true) {
		return
	}
	defer r.restarting.Store(false)
	if err := r.signal(s); err != nil {
		w.t.Errorf("signal %s: %v", r.name, err)
		return
	}
	// The grace period is 4 s; a pause may come on top.
	if killed, err := r.end(9 * time.Second); s == syscall.SIGTERM && (err != nil || killed) {
		w.t.Errorf("%s did not end by itself after SIGTERM: %v", r.name, err)
	}
	if err := r.start(); err != nil {
		w.t.Errorf("start %s: %v", r.name, err)
	}
}

// silence makes a link pass no bytes for a time.
func (w *world) silence(l *links.Link, d time.Duration) {
	w.quiet.Lock()
	if w.silent[l] {
		w.quiet.Unlock()
		return
	}
	w.silent[l] = true
	w.quiet.Unlock()
	l.Silence(w.t)
	time.Sleep(d)
	l.Restore(w.t)
	w.quiet.Lock()
	defer w.quiet.Unlock()
	delete(w.silent, l)
}
