package boot

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

// Guards against a stop that ends too soon, or requests that fail, because the settings are read while they are written.
func TestSettingsRewrittenInPlace(t *testing.T) {
	t.Parallel()
	tests := map[string]rewrite{
		"nothing":              {"", false},
		"nothing, in a stop":   {"", true},
		"no bounds":            {"[bounds]\n", false},
		"no bounds, in a stop": {"[bounds]\n", true},
		"no grace period":      {"grace-s = ", true},
		"part of a key":        {"grace-", true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// rewrite is a case in which the settings file is truncated and written in two parts.
type rewrite struct {
	// end is the end of the first part, after which the settings are read.
	end string
	// stopping is true if that is during a stop.
	stopping bool
}

// check reports orders and streams that don't end well beside the rewrite.
func (c rewrite) check(t *testing.T) {
	t.Helper()
	const (
		grace    = 12
		clients  = 20
		interval = 40 * time.Millisecond
	)
	w := startRouterWithGrace(t, standardDocument(), grace)
	ss := w.servers(always(server.Delayed{Answer: fine, Delay: 500 * time.Millisecond}))
	stream := always(server.Events{Count: 10, Pause: 50 * time.Millisecond, Unframed: true})
	ss = append(ss, w.server("llm", "m1", "v1", stream), w.server("llm", "m2", "v1", stream))
	w.awaitUpstreams(len(ss))
	var y tally
	var tasks sync.WaitGroup
	for i := range clients {
		for _, path := range []string{"/order/1", "/chat/1"} {
			tasks.Go(func() {
				time.Sleep(time.Duration(i) * interval)
				id := nextID()
				y.add(path, w.converse(exchange{ids: []string{id}, steps: []step{segment(head(path, id, 3000, chunked+"Tarragonvalve-Model-Name: small\r\n") + chunks + lastChunk)}}))
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	if c.stopping {
		w.stop()
	}
	time.Sleep(600 * time.Millisecond)
	w.rewriteSettings(c.end)
	tasks.Wait()
	y.check(t, ss...)
	for id, a := range y.all {
		if a.status != http.StatusOK || (a.body != "fine" && a.body != events(10)) {
			t.Errorf("%s %s: got %d %.60q %v, want the whole answer", y.names[id], id, a.status, a.code(), a.err)
		}
	}
}

// rewriteSettings writes the settings file up to end, and then the rest, and has it read after each.
func (w *harness) rewriteSettings(end string) {
	w.t.Helper()
	b, err := os.ReadFile(w.path)
	if err != nil {
		w.t.Fatal(err)
	}
	n := strings.Index(string(b), end) + len(end)
	for _, part := range [][]byte{b[:n], b} {
		if err := os.WriteFile(w.path, part, 0o600); err != nil {
			w.t.Fatal(err)
		}
		w.reload <- syscall.SIGHUP
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a bound in force that is only the first digits of the one being written: a stop would end at once, or
// all keys would be refused.
func TestSettingsReadInANumber(t *testing.T) {
	t.Parallel()
	tests := map[string]rewrite{
		"grace period in a stop":   {"grace-s = 1", true},
		"revocation":               {"revoke-ms = 5", false},
		"revocation during a stop": {"revoke-ms = 5", true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// order returns an exchange with one request to path whose body is sent in chunks.
func order(path string, deadline int) exchange {
	return framings(path, deadline)["last chunk by itself"]()
}

// sendAround sends requests at each interval from before until after a moment, and returns when all have ended.
func (w *harness) sendAround(y *tally, moment time.Time, before, after, interval time.Duration, request func() exchange) {
	var clients sync.WaitGroup
	for at := moment.Add(-before); at.Before(moment.Add(after)); at = at.Add(interval) {
		time.Sleep(time.Until(at))
		clients.Go(func() {
			y.add(at.Sub(moment).String(), w.converse(request()))
		})
	}
	clients.Wait()
}

// slots serves a few requests at a time and rejects others.
type slots struct {
	mu   sync.Mutex
	free int
	runs map[string]int
}

// script is the script of an upstream.
func (s *slots) script(q server.Request) server.Reply {
	const work = 100 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return server.Reject{Status: http.StatusServiceUnavailable}
	}
	s.free--
	s.runs[q.ID()]++
	time.AfterFunc(work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.free++
	})
	return server.Delayed{Answer: fine, Delay: work}
}

// Guards against requests that wait for a connection or a slot of an upstream when a stop begins or ends, and get no
// answer, or one that denies what they did.
func TestStopUnderFullQueue(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// connections is the most that an upstream takes from all routers, free how many requests run at once.
		connections, free int
	}{
		"connections": {8, 100},
		"slots":       {800, 1},
		"both":        {24, 2},
	}
	for name, c := range tests {
		for _, path := range []string{"/order/1", "/read/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				d := standardDocument()
				d["services"].([]any)[0].(map[string]any)["max_connections"] = c.connections
				w := startRouterWithGrace(t, d, 3)
				u := &slots{free: c.free, runs: map[string]int{}}
				w.server("desk", "s1", "v1", u.script)
				w.awaitUpstreams(1)
				y := tally{repeatable: path == "/read/1"}
				stop := time.Now().Add(400 * time.Millisecond)
				time.AfterFunc(time.Until(stop), w.stop)
				w.sendAround(&y, stop, 300*time.Millisecond, 2*time.Second, 20*time.Millisecond, func() exchange { return order(path, 600) })
				y.checkRuns(t, u.runs)
			})
		}
	}
}

// pauser is an upstream that doesn't read on while it is locked.
type pauser struct{ sync.RWMutex }

// script is the script of the upstream.
func (p *pauser) script(server.Request) server.Reply {
	p.RLock()
	defer p.RUnlock()
	return server.Delayed{Answer: fine, Delay: 30 * time.Millisecond}
}

// Guards against requests without an answer when a router stops while one of its two upstreams is paused or restarts.
func TestStopBesideUpstream(t *testing.T) {
	t.Parallel()
	tests := map[string]func(w *harness, s *server.Server, p *pauser){
		"paused": func(_ *harness, _ *server.Server, p *pauser) {
			p.Lock()
			time.Sleep(700 * time.Millisecond)
			p.Unlock()
		},
		"paused until the end": func(_ *harness, _ *server.Server, p *pauser) {
			p.Lock()
			time.Sleep(4 * time.Second)
			p.Unlock()
			// Requests that it gets only now count as well.
			time.Sleep(300 * time.Millisecond)
		},
		"restarted": func(w *harness, s *server.Server, p *pauser) {
			time.Sleep(200 * time.Millisecond)
			s.Close()
			time.Sleep(300 * time.Millisecond)
			again, err := server.New(s.Name, p.script)
			if err != nil {
				w.t.Error(err)
				return
			}
			w.t.Cleanup(again.Close)
			w.reregister(again, 2)
		},
	}
	for name, disturb := range tests {
		for _, path := range []string{"/order/1", "/read/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				w := startRouterWithGrace(t, standardDocument(), 4)
				var p, sound pauser
				ss := []*server.Server{w.server("desk", "s1", "v1", p.script), w.server("desk", "s2", "v1", sound.script)}
				w.awaitUpstreams(2)
				y := tally{repeatable: path == "/read/1"}
				stop := time.Now().Add(600 * time.Millisecond)
				time.AfterFunc(time.Until(stop), w.stop)
				var disturbed sync.WaitGroup
				disturbed.Go(func() {
					time.Sleep(time.Until(stop.Add(-200 * time.Millisecond)))
					disturb(w, ss[0], &p)
				})
				w.sendAround(&y, stop, 500*time.Millisecond, 2600*time.Millisecond, 20*time.Millisecond, func() exchange { return order(path, 1000) })
				disturbed.Wait()
				y.check(t, ss...)
			})
		}
	}
}

// Guards against requests without an answer when two of three routers stop at once and their clients move to the third.
func TestTwoRoutersStop(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/order/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ws := startRoutersWithGrace(t, standardDocument(), 3, 3)
			ss := ws[0].servers(always(server.Delayed{Answer: fine, Delay: 80 * time.Millisecond}))
			for _, w := range ws {
				w.awaitUpstreams(len(ss))
			}
			y := tally{repeatable: path == "/read/1"}
			stop := time.Now().Add(400 * time.Millisecond)
			for _, w := range ws[:2] {
				time.AfterFunc(time.Until(stop), w.stop)
			}
			var clients sync.WaitGroup
			for _, w := range ws {
				clients.Go(func() {
					w.sendAround(&y, stop, 300*time.Millisecond, 2100*time.Millisecond, 20*time.Millisecond, func() exchange { return order(path, 600) })
				})
			}
			clients.Wait()
			y.check(t, ss...)
		})
	}
}

// processVariable is the environment variable that makes the test binary a router.
const processVariable = "ROUTER_PROCESS"

func init() {
	if os.Getenv(processVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
}

// process is a router in a process of its own.
type process struct {
	*exec.Cmd
	logs lockedBuffer
}

// startProcess starts a router with the settings of w. It is killed at the end of the test.
func (w *harness) startProcess() *process { return w.startProcessWithOutput(nil) }

// startProcessWithOutput is startProcess with another file for the standard output and error, unless that is nil.
func (w *harness) startProcessWithOutput(out *os.File) *process {
	w.t.Helper()
	x, err := os.Executable()
	if err != nil {
		w.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(x, "--config", w.path)}
	// By default, a process with the race detector waits for 1 s before it exits, with its listeners open.
	p.Env = append(os.Environ(), processVariable+"=1", "GORACE=atexit_sleep_ms=0")
	p.Stdout, p.Stderr = &p.logs, &p.logs
	if out != nil {
		p.Stdout, p.Stderr = out, out
	}
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		p.Process.Kill()
		if w.t.Failed() {
			w.t.Logf("logs of process %d:\n%s", p.Process.Pid, p.logs.String())
		}
	})
	return p
}

// terminate sends SIGTERM and waits until the process has ended. It returns an error if that isn't by exit code 0, or by
// the signal if the process may not handle it yet.
func (p *process) terminate(mayBeUnhandled bool) error {
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := p.Wait()
	var x *exec.ExitError
	if mayBeUnhandled && errors.As(err, &x) {
		s, ok := x.Sys().(syscall.WaitStatus)
		if ok && s.Signaled() && s.Signal() == syscall.SIGTERM {
			return nil
		}
	}
	return err
}

// platform returns a harness with a store and upstreams, whose router is yet to be started.
func platform(t *testing.T, grace int, script func(server.Request) server.Reply) (*harness, []*server.Server) {
	t.Helper()
	store := tables.New()
	s := httptest.NewServer(store)
	t.Cleanup(s.Close)
	w := &harness{
		t: t, store: store, address: s.Listener.Addr().String(), clients: freeAddress(t), admin: freeAddress(t),
		path: filepath.Join(t.TempDir(), "router.ini"), name: "r1", grace: grace,
	}
	w.writeSettings(w.address, "5000")
	w.writeConfig(standardDocument())
	return w, []*server.Server{w.server("desk", "s1", "v1", script), w.server("desk", "s2", "v1", script)}
}

// Guards against requests without an answer when a router is stopped while it starts, and against one that starts in its
// place, on its addresses, and loses requests or can't serve.
func TestStopDuringStart(t *testing.T) {
	t.Parallel()
	const (
		grace = 2
		last  = 300 * time.Millisecond
		step  = 20 * time.Millisecond
	)
	for at := time.Duration(0); at <= last; at += step {
		t.Run(at.String(), func(t *testing.T) {
			t.Parallel()
			w, ss := platform(t, grace, always(server.Delayed{Answer: fine, Delay: 30 * time.Millisecond}))
			var y tally
			var clients sync.WaitGroup
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			clients.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					name := []string{"last chunk by itself", "sized, last byte by itself"}[i%2]
					clients.Go(func() { y.add(name, w.converse(framings("/order/1", 1000)[name]())) })
					time.Sleep(15 * time.Millisecond)
				}
			})
			p := w.startProcess()
			time.Sleep(at)
			if err := p.terminate(true); err != nil {
				t.Errorf("the router that was stopped at %s: %v", at, err)
			}
			served := y.served()
			q := w.startProcess()
			w.eventually("readiness of the second router", w.ready)
			w.eventually("service by the second router", func() bool { return y.served() > served })
			if err := q.terminate(false); err != nil {
				t.Errorf("the second router: %v", err)
			}
			stop()
			clients.Wait()
			y.check(t, ss...)
			t.Logf("the first router served %d", served)
		})
	}
}

// served returns the number of successful responses.
func (y *tally) served() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for _, a := range y.all {
		if a.status == http.StatusOK {
			n++
		}
	}
	return n
}

// Guards against a router that ends in the middle of its requests because nobody reads its log any more.
func TestOutputClosed(t *testing.T) {
	t.Parallel()
	for name, stopping := range map[string]bool{"steady": false, "in a stop": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, ss := platform(t, 4, always(server.Delayed{Answer: fine, Delay: 100 * time.Millisecond}))
			r, out, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			p := w.startProcessWithOutput(out)
			out.Close()
			w.eventually("readiness", w.ready)
			var y tally
			closing := time.Now().Add(400 * time.Millisecond)
			if stopping {
				time.AfterFunc(time.Until(closing)-100*time.Millisecond, func() { p.Process.Signal(syscall.SIGTERM) })
			}
			time.AfterFunc(time.Until(closing), func() { r.Close() })
			w.sendAround(&y, closing, 300*time.Millisecond, 500*time.Millisecond, 20*time.Millisecond, func() exchange { return order("/order/1", 1000) })
			y.check(t, ss...)
			if err := p.terminate(false); err != nil {
				t.Errorf("the router ended: %v", err)
			}
		})
	}
}
