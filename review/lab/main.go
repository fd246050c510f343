// Command lab plays the cases of review/11 to review/15 that aren't days of the bench: it starts routers as processes and
// the store, the servers and the clients as stand-ins, and checks one rule by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// caseTime bounds a case.
const caseTime = 115 * time.Second

// Lab is what a case runs in.
type Lab struct {
	*Record

	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Store   *Store

	dir, program string
	// network holds the first three bytes of the routers' addresses.
	network string
	routers []*Router
	servers []*Server

	mu      sync.Mutex
	replies []Reply
}

// cases are the cases by name.
var cases = map[string]func(l *Lab) (int, error){
	"silent-store": silentStore,
	"silent-peers": silentPeers,
	"companion":    companion,
	"restored":     restored,
	"stray":        stray,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("router", "target/router", "the router's program")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	f, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return cannot
	}
	p, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	r, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer r.Close()
	s, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	l := &Lab{Record: r, Trouble: os.Getenv("TROUBLE") != "0", Store: s, dir: dir, program: p}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		code, err := f(l)
		if err != nil {
			l.Say("the case can't run: %v", err)
			code = cannot
		}
		result <- code
	}()
	select {
	case code := <-result:
		return code
	case <-signals:
		l.Say("the case can't run: it was stopped")
		return cannot
	case <-time.After(caseTime):
		l.Say("the case can't run: it takes too long")
		return cannot
	}
}

// close ends all processes.
func (l *Lab) close() {
	for _, r := range l.routers {
		r.Kill()
	}
}

// AddServers starts servers of a service, one in each zone in turn.
func (l *Lab) AddServers(service, version string, n, slots int, work time.Duration) ([]*Server, error) {
	var out []*Server
	for i := range n {
		s := &Server{
			ID: fmt.Sprintf("i-%s-%s-%d", service, version, i+1), Service: service, Zone: zone(i), Version: version, Slots: slots,
			store: l.Store, record: l.Record, Work: work, Hold: 3 * time.Second,
		}
		if err := s.Start(); err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	l.servers = append(l.servers, out...)
	return out, nil
}

// zone returns the name of one of three zones.
func zone(i int) string { return "zone-" + string(rune('a'+i%3)) }

// AddRouters prepares n routers of which the first three are seeds. storeFor returns the address by which a router reaches
// the store, seedsFor the seeds in its settings.
func (l *Lab) AddRouters(n int, storeFor func(i int) string, seedsFor func(i int, seeds []string) []string) error {
	var err error
	if l.network, err = freeNetwork(); err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		r := newRouter(l.program, l.dir, fmt.Sprintf("edge-%s-%d", zone(i), i/3+1), zone(i), fmt.Sprintf("%s.%d", l.network, 10+i))
		l.routers = append(l.routers, r)
		if i < 3 {
			seeds = append(seeds, r.Share)
		}
	}
	for i, r := range l.routers {
		if err := r.Configure(storeFor(i), seedsFor(i, seeds)); err != nil {
			return err
		}
	}
	return nil
}

// StartRouters starts all routers and waits until they are ready.
func (l *Lab) StartRouters() error {
	for _, r := range l.routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range l.routers {
		if err := r.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// sameSeeds gives all routers the same seeds.
func sameSeeds(_ int, seeds []string) []string { return seeds }

// route is a route of the configuration.
func route(name, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": targetMs, "priority": 1, "service": service, "attempts": attempts, "public": false,
	}
}

// config is a configuration. keys are those of its one tenant.
func config(version int, routes []map[string]any, services []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": keys}},
	}
}

// plainService is a service of plain servers.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}
