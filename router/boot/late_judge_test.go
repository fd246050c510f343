package boot

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Error(err)
	}
}

// interrupt stops the process for off of each on + off, n times.
func (p *process) interrupt(t *testing.T, on, off time.Duration, n int) {
	t.Helper()
	for range n {
		p.signal(t, syscall.SIGSTOP)
		time.Sleep(off)
		p.signal(t, syscall.SIGCONT)
		time.Sleep(on)
	}
}

// judgements are log lines by which a router calls something else bad.
var judgements = []string{
	`"silent":true`, "upstream ended with requests in progress", "were found to crash upstreams", "crash upstreams and are refused",
	`"phase":"reverted"`, `"message":"dependency lost"`, "peer paused",
}

// blamed returns the lines of a log with a judgement.
func blamed(logs string) []string {
	var out []string
	for l := range strings.Lines(logs) {
		for _, j := range judgements {
			if strings.Contains(l, j) {
				out = append(out, l)
			}
		}
	}
	return out
}

// Guards against a router that was stopped, or had little processor time, and calls sound upstreams silent or crashed,
// prompts guilty, a good version bad or the store lost, and against requests that may run once and run twice.
func TestStoppedRouterBlamesNobody(t *testing.T) {
	for name, c := range map[string]struct {
		// on and off are how long the router runs and is stopped in turn, n is how often.
		on, off time.Duration
		n       int
	}{
		"stopped for 0.3 s":             {700 * time.Millisecond, 300 * time.Millisecond, 4},
		"stopped for 1 s":               {700 * time.Millisecond, time.Second, 2},
		"stopped for 5 s":               {time.Second, 5 * time.Second, 1},
		"5 ms of each 50 ms":            {5 * time.Millisecond, 45 * time.Millisecond, 100},
		"stopped for 0.3 s, many times": {5 * time.Millisecond, 300 * time.Millisecond, 12},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// runs counts the runs of orders by path.
			var mu sync.Mutex
			runs := map[string]int{}
			w, desks := platform(t, 8, func(r server.Request) server.Reply {
				if r.Method == http.MethodPost {
					mu.Lock()
					runs[r.Target]++
					mu.Unlock()
				}
				return server.Delayed{Answer: fine, Delay: 20 * time.Millisecond}
			})
			stream := always(server.Events{Count: 12, Pause: 50 * time.Millisecond, Confidence: 100})
			for i := range 3 {
				w.server("llm", fmt.Sprint("m", i), "v1", stream)
			}
			p := w.startProcess()
			w.eventually("readiness", w.ready)
			w.server("desk", "n1", "v2", always(server.Delayed{Answer: fine, Delay: 20 * time.Millisecond}))
			w.server("llm", "n2", "v2", stream)
			for _, s := range []string{"desk", "llm"} {
				if err := w.store.PutJSON("op", "rollout/"+s, map[string]any{"service": s, "to": "v2", "duration_s": 6}); err != nil {
					t.Fatal(err)
				}
			}
			stop := w.load(10 * time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			p.interrupt(t, c.on, c.off, c.n)
			time.Sleep(time.Second)
			answers := stop()
			if ls := blamed(p.logs.String()); len(ls) > 0 {
				t.Errorf("%d judgements, such as:\n%s", len(ls), strings.Join(ls[:min(len(ls), 5)], ""))
			}
			for path, n := range runs {
				if n > 1 {
					t.Errorf("%s ran %d times", path, n)
				}
			}
			t.Logf("%d requests at the upstreams of desk; statuses: %v", requestsOf(desks...), answers)
		})
	}
}

// load sends a read, an order and a stream in turn, one per pause, until the function that it returns is called. That
// returns the number of responses by status; 0 counts those without one.
func (w *harness) load(pause time.Duration) func() map[int]int {
	var done atomic.Bool
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	send := func(i int) {
		var a response
		switch i % 3 {
		case 0:
			a = w.send("GET", "/read/1", "")
		case 1:
			a = w.send("POST", fmt.Sprint("/order/", i), "")
		default:
			a = w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Prompt-Prefix", "p1,p2")
		}
		if a.err != nil {
			w.t.Logf("%s: %d %v", []string{"read", "order", "stream"}[i%3], a.status, a.err)
		}
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
	}
	clients.Go(func() {
		for i := 0; !done.Load(); i++ {
			clients.Go(func() { send(i) })
			time.Sleep(pause)
		}
	})
	return func() map[int]int {
		done.Store(true)
		clients.Wait()
		return statuses
	}
}

// Guards against requests that are served by what the router knew before it was stopped: with a key that was taken away
// meanwhile for longer than the users allow, or at an upstream that has drained.
func TestKnowledgeAfterStop(t *testing.T) {
	const pause = 5200 * time.Millisecond // longer than the time within which a key must be refused
	revoked := standardDocument()
	revoked["version"] = 2
	revoked["tenants"] = []any{map[string]any{"name": "ada", "api_keys": []string{"key-2"}}}
	for name, c := range map[string]struct {
		change func(w *harness, s *server.Server)
		// refused is true if no request may be served.
		refused bool
	}{
		"key taken away":    {func(w *harness, _ *server.Server) { w.writeConfig(revoked) }, true},
		"upstream drained":  {func(w *harness, s *server.Server) { w.register(s, "desk", "v1", "draining") }, false},
		"upstream unlisted": {func(w *harness, s *server.Server) { w.store.Delete("servers", s.Name) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, desks := platform(t, 8, always(fine))
			p := w.startProcess()
			w.eventually("readiness", w.ready)
			time.Sleep(300 * time.Millisecond) // until all upstreams are listed
			for range 4 {
				w.send("GET", "/read/1", "")
			}
			p.signal(t, syscall.SIGSTOP)
			c.change(w, desks[0])
			time.Sleep(pause - 100*time.Millisecond)
			before, all := len(desks[0].Requests()), requestsOf(desks...)
			var clients sync.WaitGroup
			for range 12 {
				clients.Go(func() { w.send("GET", "/read/1", "") })
			}
			time.Sleep(100 * time.Millisecond)
			p.signal(t, syscall.SIGCONT)
			clients.Wait()
			if n := len(desks[0].Requests()) - before; n > 0 {
				t.Errorf("%d requests reached the upstream after the stop", n)
			}
			if n := requestsOf(desks...) - all; n > 0 && c.refused {
				t.Errorf("%d requests reached upstreams after the stop", n)
			}
		})
	}
}

// Guards against a request that is sent once more although its answer came in time, as the router was stopped when it came.
func TestNoRepeatAfterStop(t *testing.T) {
	const (
		reads = 12
		delay = 150 * time.Millisecond
	)
	for name, pause := range map[string]time.Duration{"0.3 s": 300 * time.Millisecond, "1 s": time.Second, "1.5 s": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, desks := platform(t, 8, always(server.Delayed{Answer: fine, Delay: delay}))
			p := w.startProcess()
			w.eventually("readiness", w.ready)
			time.Sleep(300 * time.Millisecond) // until all upstreams are listed
			var clients sync.WaitGroup
			for range reads {
				clients.Go(func() {
					if a := w.send("GET", "/read/1", ""); a.status != http.StatusOK {
						t.Errorf("got %d %s %v", a.status, a.code(), a.err)
					}
				})
			}
			w.eventually("the requests at their upstreams", func() bool { return requestsOf(desks...) >= reads })
			p.interrupt(t, 0, pause, 1)
			clients.Wait()
			if n := requestsOf(desks...); n != reads {
				t.Errorf("%d requests reached upstreams, want each of %d once", n, reads)
			}
		})
	}
}

// Guards against a good version that is reverted, since requests in progress at it ended by their deadlines while the
// router was stopped: their answers had come in time.
func TestVersionAfterStop(t *testing.T) {
	t.Parallel()
	const (
		duration = 20 * time.Second
		// delay keeps some 50 requests in progress.
		delay = 700 * time.Millisecond
		pause = 3200 * time.Millisecond // longer than the clients' deadline
	)
	w, _ := platform(t, 8, always(server.Delayed{Answer: fine, Delay: delay}))
	p := w.startProcess()
	w.eventually("readiness", w.ready)
	w.server("desk", "n1", "v2", always(server.Delayed{Answer: fine, Delay: delay}))
	if err := w.store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
		t.Fatal(err)
	}
	var clients sync.WaitGroup
	var done atomic.Bool
	clients.Go(func() {
		for !done.Load() {
			clients.Go(func() { w.send("GET", "/read/1", "") })
			time.Sleep(15 * time.Millisecond)
		}
	})
	w.eventually("the begin of the roll-out", func() bool {
		r, _ := w.store.Get("status", "rollout/desk")
		return strings.Contains(string(r.Data), "canary")
	})
	time.Sleep(2 * time.Second) // until both versions have answered
	p.interrupt(t, time.Second, pause, 1)
	done.Store(true)
	clients.Wait()
	r, _ := w.store.Get("status", "rollout/desk")
	if strings.Contains(string(r.Data), "reverted") {
		t.Errorf("state %s", r.Data)
	}
}
