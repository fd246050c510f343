package boot

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// signal sends a signal to a process. It returns once all threads have stopped if that is SIGSTOP.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
	for s == syscall.SIGSTOP && !p.isStopped(t) {
		time.Sleep(time.Millisecond)
	}
}

// isStopped reports whether all threads of a process are stopped by a signal.
func (p *process) isStopped(t *testing.T) bool {
	t.Helper()
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Process.Pid))
	if err != nil || len(paths) == 0 {
		t.Fatalf("threads of the router: %v, %v", paths, err)
	}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if _, state, ok := strings.Cut(string(b), ") "); err == nil && (!ok || state[0] != 'T') {
			return false
		}
	}
	return true
}

// Guards against a route's time-out that counts from when a router which had no processor time noticed the request.
func TestTimeoutCountsFromArrival(t *testing.T) {
	t.Parallel()
	const (
		timeout = 1500 * time.Millisecond
		stopped = 800 * time.Millisecond
		// held is the time past its time-out from which on a request counts as held on.
		held = 500 * time.Millisecond
	)
	w, _ := platform(t, 8, func(r server.Request) server.Reply {
		if r.Target == "/slow/1" {
			return server.Delayed{Answer: fine, Delay: timeout - 50*time.Millisecond}
		}
		return fine
	})
	w.writeConfig(document(2, route("fast", "idempotent", "desk"), route("slow", "idempotent", "desk", "timeout_ms", timeout.Milliseconds())))
	p := w.startProcess()
	w.eventually("readiness", w.ready)
	time.Sleep(200 * time.Millisecond) // until all upstreams are listed
	conns := w.keep(8)
	p.signal(t, syscall.SIGSTOP)
	var clients sync.WaitGroup
	for _, k := range conns {
		clients.Go(func() {
			sent := time.Now()
			a := k.send("GET", "/slow/1", 3000)
			if past := time.Since(sent); a.err != nil || past >= timeout+held {
				t.Errorf("%d, %v, %s after it was sent", a.status, a.err, past)
			}
		})
	}
	time.Sleep(stopped)
	p.signal(t, syscall.SIGCONT)
	clients.Wait()
}

// Guards against requests that are sent to an upstream although their time was over, or their client had left, before
// the router could read them.
func TestNothingSentThatCameTooLate(t *testing.T) {
	t.Parallel()
	const (
		requests = 64
		timeout  = 500 * time.Millisecond
	)
	for name, c := range map[string]struct {
		stopped time.Duration
		leave   bool
	}{
		"time over":   {timeout + 100*time.Millisecond, false},
		"client left": {timeout / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, desk := platform(t, 8, always(fine))
			w.writeConfig(document(2, route("fast", "idempotent", "desk"), route("late", "idempotent", "desk", "timeout_ms", timeout.Milliseconds())))
			p := w.startProcess()
			w.eventually("readiness", w.ready)
			time.Sleep(200 * time.Millisecond) // until all upstreams are listed
			conns := w.keep(requests)
			p.signal(t, syscall.SIGSTOP)
			for i, k := range conns {
				if _, err := fmt.Fprintf(k, "GET /late/%d HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\n\r\n", i); err != nil {
					t.Fatal(err)
				}
				if c.leave {
					k.Close()
				}
			}
			time.Sleep(c.stopped)
			p.signal(t, syscall.SIGCONT)
			for _, k := range conns {
				if c.leave {
					continue
				}
				if a, err := http.ReadResponse(k.r, nil); err != nil || a.StatusCode != http.StatusGatewayTimeout {
					t.Errorf("got %v, %v", a, err)
				}
			}
			time.Sleep(timeout)
			if n := sentTo(desk, "/late/"); n > 0 {
				t.Errorf("%d of %d requests reached upstreams", n, requests)
			}
		})
	}
}

// sentTo returns the number of requests below a path that reached upstreams.
func sentTo(us []*server.Server, prefix string) int {
	n := 0
	for _, u := range us {
		for _, r := range u.Requests() {
			if strings.HasPrefix(r.Target, prefix) {
				n++
			}
		}
	}
	return n
}
