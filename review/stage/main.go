// Command stage runs one case of the review: the routers of this repository as processes, with stand-ins for the platform's
// store, the servers and the clients in this process. It exits with 1 if the case's rule was broken, with 0 if it held,
// and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit bounds a case.
const limit = 115 * time.Second

// stage is what a case works with.
type stage struct {
	root, dir string
	trouble   bool
	record    *record
	store     *store
	farm      *farm
	clients   *clients
	machines  []*machine
}

// cases returns whether the rule was broken.
var cases = map[string]func(*stage) (bool, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, path string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	r, err := newRecord(path)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "stage-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	s, err := newStore("127.20.0.1")
	if err != nil {
		return fail(err)
	}
	g := &stage{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r, store: s, farm: &farm{store: s, record: r}, clients: &clients{record: r}}
	defer g.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := cases[name](g)
		done <- result{b, err}
	}()
	select {
	case x := <-done:
		switch {
		case x.err != nil:
			return fail(x.err)
		case x.broken:
			r.say("the rule was broken")
			return 1
		}
		r.say("the rule held")
		return 0
	case <-time.After(limit):
		return fail(fmt.Errorf("it took over %s", limit))
	case x := <-stop:
		return fail(fmt.Errorf("stopped by %s", x))
	}
}

// end ends all processes.
func (g *stage) end() {
	g.farm.mu.Lock()
	g.farm.closed = true
	g.farm.mu.Unlock()
	for _, m := range g.machines {
		m.kill()
	}
}

// config is the configuration of a small deployment: a plain service and two model services, of which one serves the
// streams.
func config(version int, model string) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "attempts": 3, "priority": 1, "public": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	engine := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "runtime": map[string]any{
			"slots": 64, "kv_capacity": 449441, "kv_token_bytes": 35136, "bandwidth_mbps": 1100000.0, "interval": 6,
			"model_list": []any{map[string]any{"name": modelName, "cost": 0.016}},
		}}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-streams", streams, "streaming", model, map[string]any{"timeout_ms": 25000, "target_latency_ms": 3000, "target_itl_ms": 1200, "sticky": true, "resumable": true}),
			route("r-orders", orders, "non_idempotent", "wuno96b", map[string]any{"timeout_ms": 3000, "target_latency_ms": 300}),
		},
		"services": []any{
			engine(serviceA), engine(serviceB),
			map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// serviceA and serviceB are the model services.
const serviceA, serviceB = "huvo11a", "huvo11b"

// engines starts n model servers.
func (g *stage) engines(k *kind, n int) ([]*server, error) {
	var out []*server
	for i := range n {
		s, err := g.farm.add(k, fmt.Sprintf("zone-%c", 'a'+i%3), "v1", fmt.Sprintf("127.30.%d.%d", i%3+1, i/3+1))
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// startMachines starts n machines and waits until those that run are ready. down are not started.
func (g *stage) startMachines(n int, down ...int) error {
	ms, err := newMachines(g.root, g.dir, g.store.address, n)
	if err != nil {
		return err
	}
	g.machines = ms
	off := map[int]bool{}
	for _, i := range down {
		off[i] = true
	}
	for i, m := range ms {
		if off[i] {
			continue
		}
		if err := m.start(g.root); err != nil {
			return err
		}
	}
	return g.awaitReady()
}

// awaitReady waits until all machines that run are ready.
func (g *stage) awaitReady() error {
	end := time.Now().Add(10 * time.Second)
	for _, m := range g.machines {
		for m.alive() && !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("machine %s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
