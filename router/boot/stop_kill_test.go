package boot

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// terminatePaused sends SIGTERM to a process that doesn't run for a time from then on, as for want of a processor, and
// returns when the signal was sent. It returns once the process runs again.
func (p *process) terminatePaused(t *testing.T, pause time.Duration) time.Time {
	t.Helper()
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGTERM} {
		if err := p.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	at := time.Now()
	time.Sleep(pause)
	if err := p.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	return at
}

// Guards against connections that SIGKILL ends without an answer, because the router noticed SIGTERM late and counts
// the grace period from then on.
func TestAnswersBeforeKillAfterLateNotice(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	for name, pause := range map[string]time.Duration{"at once": 0, "after 0.49 s": 490 * time.Millisecond, "after 1 s": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := platform(t, 8, func(r server.Request) server.Reply {
				if r.Method == "POST" {
					return server.Delayed{Answer: fine, Delay: 9 * time.Second}
				}
				return fine
			})
			w.writeConfig(document(2, route("fast", "idempotent", "desk"), route("order", "non_idempotent", "desk", "timeout_ms", 30_000),
				route("chat", "streaming", "llm", "resumable", true, "timeout_ms", 30_000)))
			llm := w.server("llm", "m1", "v1", always(server.Events{Count: 200, Pause: 100 * time.Millisecond}))
			p := w.startProcess()
			w.eventually("readiness", w.ready)
			time.Sleep(200 * time.Millisecond) // until all upstreams are listed
			conns := w.keep(16)
			var signalled time.Time
			var clients, sent sync.WaitGroup
			sent.Add(1)
			for i, k := range conns {
				clients.Go(func() {
					path := "/order/1"
					if i%2 == 0 {
						path = "/chat/1"
					}
					a := k.send("POST", path, 30_000)
					sent.Wait()
					if past := time.Since(signalled); past >= grace || (i%2 == 1 && a.status != 502) {
						t.Errorf("%s: %d, %v, %s after SIGTERM", path, a.status, a.err, past)
					}
				})
			}
			w.eventually("the streams at their upstream", func() bool { return len(llm.Requests()) == len(conns)/2 })
			signalled = p.terminatePaused(t, pause)
			sent.Done()
			clients.Wait()
			if err := p.Wait(); err != nil {
				t.Errorf("the router ended: %v", err)
			}
			if past := time.Since(signalled); past >= grace {
				t.Errorf("the router ended %s after SIGTERM, SIGKILL comes after %s", past, grace)
			}
		})
	}
}
