package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
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
	// routerCount is the number of routers, plainUpstreams that of the upstreams of the plain
	// service desk, modelUpstreams that of the upstreams of the model service llm.
	routerCount    = 3
	plainUpstreams = 3
	modelUpstreams = 3
	// roomySlots is the number of requests that an upstream of a roomy world takes at once, roomyConnections that of
	// the connections that a service allows there.
	roomySlots       = 1000
	roomyConnections = 4000
	// routeTimeout is the timeout of a route.
	routeTimeout = 3 * time.Second
	// revokeTime is the time within which a revoked key must stop working, as in the settings.
	revokeTime = 5 * time.Second
	// recoveryTime is the time after the last fault within which all routers must work again.
	recoveryTime = 12 * time.Second
)

// routerPath is the path of the router's executable.
var routerPath string

// TestMain builds the router before the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create a directory for the router:", err)
		os.Exit(1)
	}
	routerPath = filepath.Join(dir, "router")
	c := exec.Command("go", "build", "-o", routerPath, ".")
	c.Dir = filepath.Join("..", "router")
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the router: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// router is one instance, which may be restarted as a new process.
type router struct {
	name string
	// clients and admin are its addresses.
	clients string
	admin   string
	// path is its settings file.
	path string
	// store is its network link to the store.
	store *links.Link

	restarting atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// done receives the result of cmd.
	done chan error
	log  *tail
	// outputs get the output. env is added to the environment.
	outputs []io.Writer
	env     []string
}

// tail is a writer that keeps the last output of a process. It is safe for concurrent use.
type tail struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// keptOutput is the length, in bytes, to which the output is cut whenever it exceeds four
// times that.
const keptOutput = 8 << 10

func (l *tail) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Write(b)
	if l.b.Len() > 4*keptOutput {
		l.b.Next(l.b.Len() - keptOutput)
	}
	return len(b), nil
}

func (l *tail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start starts a process of the router.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = exec.Command(routerPath, "--config", r.path)
	r.cmd.Env = append(os.Environ(), r.env...)
	out := io.MultiWriter(r.outputs...)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.done = make(chan error, 1)
	go func(c *exec.Cmd, done chan<- error) { done <- c.Wait() }(r.cmd, r.done)
	return nil
}

// signal sends a signal to the router's process.
func (r *router) signal(s syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Signal(s)
}

// process returns the router's process.
func (r *router) process() *os.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process
}

// awaitExit waits for the end of the process and returns its result. It kills a process that
// hasn't ended after limit.
func (r *router) awaitExit(limit time.Duration) (killed bool, err error) {
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

// ready reports whether the router responds in time that it is ready.
func (r *router) ready() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + r.admin + "/readyz")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// upstream is a stand-in server behind a network link that can be made to pass no bytes.
type upstream struct {
	*server.Server
	link    *links.Link
	service string
}

// world is what a run can choose.
type world struct {
	checker *checker
	// script returns the behavior of the servers of a service.
	script func(service string) func(server.Request) server.Reply
	// grace is the time between SIGTERM and SIGKILL, orderTimeout and streamTimeout are those of routes.
	grace, orderTimeout, streamTimeout time.Duration
	// withoutModels leaves out the upstreams of the model service.
	withoutModels bool
	// memoryMB is the routers' bound on their memory, in MiB; 0 means none.
	memoryMB int
	// direct lets routers connect to upstreams without a link, which would end a connection that was reset as if it
	// had been closed.
	direct bool
	// readTimeout is the timeout of look-ups, 0 for routeTimeout. roomy lets each upstream take many requests at once.
	readTimeout time.Duration
	roomy       bool
	// watch gets the output of all routers if it isn't nil. env is added to their environment.
	watch io.Writer
	env   []string
	// via returns the address at which routers reach an upstream's address, if it isn't nil.
	via func(address string) (string, error)
	// extra are routes beyond read, order and chat, each with a service of its own.
	extra []extraRoute
}

// extraRoute is a route with the name NAME and the prefix /NAME/ to a service of a kind of its own.
type extraRoute struct{ name, kind, service string }

// cluster holds the routers of a run with the stand-ins for the store and the upstreams.
type cluster struct {
	world
	t         *testing.T
	store     *tables.Store
	routers   []*router
	upstreams []*upstream
	limits    limits
	// seed is that of the run.
	seed uint64

	// configMu guards configured, which writes the newest configuration.
	configMu   sync.Mutex
	configured func() error

	// silentMu guards silent, the links that pass no bytes at present.
	silentMu sync.Mutex
	silent   map[*links.Link]bool
}

// newCluster starts all routers and upstreams, with a configuration that accepts key-a and
// key-b.
func newCluster(t *testing.T, l *checker) *cluster {
	t.Helper()
	return newClusterIn(t, world{checker: l, script: l.script, grace: 4 * time.Second, orderTimeout: routeTimeout, streamTimeout: routeTimeout})
}

// newClusterIn is newCluster in a given world.
func newClusterIn(t *testing.T, x world) *cluster {
	t.Helper()
	w := &cluster{world: x, t: t, store: tables.New(), silent: map[*links.Link]bool{}}
	w.limits = limits{excused: map[string][]span{}, disturbed: map[string]bool{}}
	s := httptest.NewServer(w.store)
	t.Cleanup(s.Close)
	w.config(1, "key-a", "key-b")
	for i := range plainUpstreams + modelUpstreams {
		service := "desk"
		if i >= plainUpstreams {
			if x.withoutModels {
				break
			}
			service = "llm"
		}
		w.addUpstream(service, fmt.Sprintf("%s-%d", service, i))
	}
	var shares []string
	for range routerCount {
		shares = append(shares, freeAddress(t))
	}
	for i := range routerCount {
		r := &router{name: fmt.Sprintf("r%d", i), clients: freeAddress(t), admin: freeAddress(t), log: &tail{}, env: x.env}
		r.outputs = outputsOf(t, r, x.watch)
		r.store = links.New(t, "store-"+r.name, s.Listener.Addr().String())
		r.path = filepath.Join(t.TempDir(), r.name+".ini")
		text := fmt.Sprintf("[router]\ninstance = %s\ndomain = a\nclients = %s\nadmin = %s\nshare = %s\nseeds = %s, %s\nmemory-mb = %d\n[store]\naddress = %s\n[bounds]\ngrace-s = %g\nrevoke-ms = %d\nretry-slack = 100\n",
			r.name, r.clients, r.admin, shares[i], shares[0], shares[1], w.memoryMB, r.store.Addr(), w.grace.Seconds(), revokeTime.Milliseconds())
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

// close kills all routers and prints their last output if the test failed.
func (w *cluster) close() {
	for _, r := range w.routers {
		// SIGCONT first, as a pause may have stopped the process.
		_ = r.signal(syscall.SIGCONT)
		_ = r.signal(syscall.SIGKILL)
		if killed, _ := r.awaitExit(time.Minute); killed {
			w.t.Errorf("%s did not end within a minute of SIGKILL", r.name)
		}
		if w.t.Failed() {
			w.t.Logf("last output of %s:\n%s", r.name, r.log)
		}
	}
}

// addUpstream starts an upstream and registers it as ready.
func (w *cluster) addUpstream(service, name string) *upstream {
	w.t.Helper()
	s, err := server.New(name, w.script(service))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.Close)
	u := &upstream{Server: s, link: links.New(w.t, name, s.Address()), service: service}
	w.upstreams = append(w.upstreams, u)
	w.register(u, "ready")
	return u
}

// register writes an upstream's entry to the store.
func (w *cluster) register(u *upstream, state string) {
	w.t.Helper()
	w.registerVersion(u, state, "v1")
}

// registerVersion is register for an upstream of a version.
func (w *cluster) registerVersion(u *upstream, state, version string) {
	w.t.Helper()
	slots := 32
	if w.roomy {
		slots = roomySlots
	}
	address := u.Address()
	if !w.direct {
		address = u.link.Addr()
	}
	if w.via != nil {
		var err error
		if address, err = w.via(address); err != nil {
			w.t.Fatal(err)
		}
	}
	err := w.store.PutJSON("servers", u.Name, map[string]any{
		"service": u.service, "address": address, "zone": "a", "version": version, "slots": slots, "state": state, "born": 1,
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// config writes a configuration to the store in which each key belongs to a client account of
// its own, named of-KEY.
func (w *cluster) config(version int, keys ...string) {
	w.t.Helper()
	route := func(name, kind, service string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 500, "attempts": 3, "service": service, "resumable": true,
		}
	}
	var accounts []map[string]any
	for _, k := range keys {
		accounts = append(accounts, map[string]any{"name": "of-" + k, "api_keys": []string{k}})
	}
	routes := []any{
		route("read", "idempotent", "desk", cmp.Or(w.readTimeout, routeTimeout)), route("order", "non_idempotent", "desk", w.orderTimeout),
		route("chat", "streaming", "llm", w.streamTimeout),
	}
	connections := 400
	if w.roomy {
		connections = roomyConnections
	}
	services := []any{
		map[string]any{"name": "desk", "max_connections": connections},
		map[string]any{"name": "llm", "max_connections": connections, "runtime": map[string]any{"model_list": []any{}}},
	}
	for _, x := range w.extra {
		routes = append(routes, route(x.name, x.kind, x.service, routeTimeout))
		service := map[string]any{"name": x.service, "max_connections": 400}
		if x.kind == "streaming" {
			service["runtime"] = map[string]any{"model_list": []any{}}
		}
		services = append(services, service)
	}
	document := map[string]any{
		"version": version, "tenants": accounts, "routes": routes, "services": services,
		"limits": map[string]any{"max_body_bytes": 100_000, "idle_timeout_ms": 15_000},
	}
	w.configMu.Lock()
	defer w.configMu.Unlock()
	w.configured = func() error { return w.store.PutJSON("op", "config", document) }
	if err := w.configured(); err != nil {
		w.t.Fatal(err)
	}
}

// freeAddress returns an unused local address IP:PORT.
func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// pause suspends a router's process for d, as if its machine were suspended.
func (w *cluster) pause(r *router, d time.Duration) {
	if r.signal(syscall.SIGSTOP) != nil {
		return
	}
	began := time.Now()
	defer func() { w.limits.excuse(r.name, began) }()
	time.Sleep(d)
	if err := r.signal(syscall.SIGCONT); err != nil {
		w.t.Logf("continue %s: %v", r.name, err)
	}
}

// restart ends a router's process by a signal and starts a new one. It marks the test as
// failed if SIGTERM doesn't end the process in time and without an error. It does nothing if
// the router is being restarted already.
func (w *cluster) restart(r *router, s syscall.Signal) {
	if !r.restarting.CompareAndSwap(false, true) {
		return
	}
	defer r.restarting.Store(false)
	began := time.Now()
	defer func() { w.limits.excuse(r.name, began) }()
	if err := r.signal(s); err != nil {
		w.t.Errorf("signal %s: %v", r.name, err)
		return
	}
	// The process may be paused during the grace period.
	if killed, err := r.awaitExit(w.grace + 5*time.Second); s == syscall.SIGTERM && (err != nil || killed) {
		w.t.Errorf("%s did not shut down cleanly after SIGTERM: %v", r.name, err)
	}
	if err := r.start(); err != nil {
		w.t.Errorf("start %s: %v", r.name, err)
	}
}

// silence makes a link pass no bytes for d, and then closes its connections. It does nothing
// if the link passes none already.
func (w *cluster) silence(l *links.Link, d time.Duration) {
	w.silentMu.Lock()
	if w.silent[l] {
		w.silentMu.Unlock()
		return
	}
	w.silent[l] = true
	w.silentMu.Unlock()
	w.limits.cutOff(l.Name())
	l.Silence(w.t)
	time.Sleep(d)
	l.Restore(w.t)
	w.silentMu.Lock()
	defer w.silentMu.Unlock()
	delete(w.silent, l)
}
