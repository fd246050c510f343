package boot

import (
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/pause"
	"tarragonvalve.example/standin/server"
)

// openRequests is the number of orders, and that of streams, that are open at the end of a drain.
const openRequests = 300

// openDocument has routes whose requests are not sent again.
func openDocument(version int) map[string]any {
	return unlimited(document(version, route("order", "non_idempotent", "desk", "attempts", 1, "timeout_ms", 30_000),
		route("chat", "streaming", "llm", "attempts", 1, "timeout_ms", 30_000)))
}

// unlimited lets the services in a configuration take any number of connections.
func unlimited(d map[string]any) map[string]any {
	for _, s := range d["services"].([]any) {
		s.(map[string]any)["max_connections"] = 100_000
	}
	return d
}

// openAtDrainEnd sends openRequests orders and as many streams to upstreams that answer none, has the router stopped by stop,
// and reports those that don't get a whole 502. A request that no upstream could be connected to for is not open.
func openAtDrainEnd(w *harness, stop func(), ss ...*server.Server) {
	w.t.Helper()
	const interval = time.Millisecond // of one request of each kind
	var y tally
	var clients sync.WaitGroup
	for range openRequests {
		for _, path := range []string{"/order/1", "/chat/1"} {
			clients.Go(func() {
				id := nextID()
				y.add(path, w.converse(exchange{ids: []string{id}, steps: []step{segment(head(path, id, 30_000, sized+"Tarragonvalve-Model-Name: small\r\n") + wholeBody)}}))
			})
		}
		time.Sleep(interval)
	}
	w.eventually("arrival of all requests at the upstreams", func() bool { return requestsAt(ss)+y.ended() == 2*openRequests })
	if n := requestsAt(ss); n < openRequests {
		w.t.Fatalf("only %d requests are open", n)
	}
	stop()
	clients.Wait()
	y.check(w.t, ss...)
	wrong := map[string]int{}
	for id, a := range y.all {
		if a.err != nil || (a.status != http.StatusBadGateway && a.code() != "overloaded not-run") {
			wrong[y.names[id]+": "+a.outcome()]++
		}
	}
	if len(wrong) > 0 {
		w.t.Errorf("got %v, want a whole 502 for all %d", wrong, 2*openRequests)
	}
}

// ended returns the number of requests that have ended.
func (y *tally) ended() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return len(y.all)
}

// Guards against requests whose answers have not begun at the end of a drain and whose connections are closed without one, as
// they are too many for the time in which they are answered.
func TestLostManyOpenAtDrainEnd(t *testing.T) {
	t.Parallel()
	for name, grace := range map[string]int{"short": 3, "usual": 8} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, openDocument(1), grace)
			ss := []*server.Server{w.server("desk", "s1", "v1", always(server.Hang{})), w.server("llm", "m1", "v1", always(server.Hang{}))}
			w.awaitUpstreams(len(ss))
			openAtDrainEnd(w, w.stop, ss...)
		})
	}
}

// Guards against the same in a process that has one processor, or only a part of one while the drain ends.
func TestLostManyOpenOnOneProcessor(t *testing.T) {
	t.Parallel()
	const period = 20 * time.Millisecond
	tests := map[string]struct {
		grace int
		// runs is how long the process runs in each period from 0.5 s before the end of the drain on; else it is stopped.
		runs time.Duration
	}{
		"half of it":             {3, period / 2},
		"a quarter of it":        {3, period / 4},
		"half of it, usual time": {8, period / 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, ss := platform(t, c.grace, always(server.Hang{}))
			w.writeConfig(openDocument(2))
			ss = append(ss, w.server("llm", "m1", "v1", always(server.Hang{})))
			p := w.startOnOneProcessor()
			w.eventually("readiness", w.ready)
			time.Sleep(200 * time.Millisecond) // until all upstreams are listed
			openAtDrainEnd(w, func() {
				if err := p.Process.Signal(syscall.SIGTERM); err != nil {
					t.Error(err)
				}
				const margin = 600 * time.Millisecond // the drain ends that long before the grace period
				time.Sleep(time.Duration(c.grace)*time.Second - margin - 500*time.Millisecond)
				end := pause.Throttle(p.Process, c.runs, period)
				time.Sleep(1100 * time.Millisecond)
				// An error means that the router has ended, as its stop does.
				end()
			}, ss...)
			if err := p.Wait(); err != nil {
				t.Errorf("the router ended: %v", err)
			}
		})
	}
}

// startOnOneProcessor is startProcess with GOMAXPROCS=1.
func (w *harness) startOnOneProcessor() *process {
	w.t.Helper()
	x, err := os.Executable()
	if err != nil {
		w.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(x, "--config", w.path)}
	p.Env = append(slices.Clone(os.Environ()), processVariable+"=1", "GORACE=atexit_sleep_ms=0", "GOMAXPROCS=1")
	p.Stdout, p.Stderr = &p.logs, &p.logs
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		p.Process.Kill()
		if w.t.Failed() {
			s := p.logs.String()
			w.t.Logf("last logs of process %d:\n%s", p.Process.Pid, s[max(len(s)-3000, 0):])
		}
	})
	return p
}
