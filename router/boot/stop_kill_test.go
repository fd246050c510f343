package boot

import (
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against connections that SIGKILL ends without an answer, because the router noticed SIGTERM late and counts
// the grace period from then on.
func TestAnswersBeforeKillAfterLateNotice(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	for name, notice := range map[string]time.Duration{"at once": 0, "nearly too slow": 490 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, document(1, route("fast", "idempotent", "desk"), route("order", "non_idempotent", "desk", "timeout_ms", 30_000),
				route("chat", "streaming", "llm", "resumable", true, "timeout_ms", 30_000)), 8)
			w.server("desk", "s1", "v1", func(r server.Request) server.Reply {
				if r.Method == "POST" {
					return server.Delayed{Answer: fine, Delay: 9 * time.Second}
				}
				return fine
			})
			w.server("llm", "s2", "v1", always(server.Events{Count: 200, Pause: 100 * time.Millisecond}))
			w.awaitUpstreams(2)
			conns := w.keep(16)
			signalled := time.Now()
			var clients sync.WaitGroup
			for i, k := range conns {
				clients.Go(func() {
					path := "/order/1"
					if i%2 == 0 {
						path = "/chat/1"
					}
					a := k.send("POST", path, 30_000)
					if past := time.Since(signalled); past >= grace || (i%2 == 1 && a.status != 502) {
						t.Errorf("%s: %d, %v, %s after SIGTERM", path, a.status, a.err, past)
					}
				})
			}
			time.Sleep(notice)
			w.stop()
			clients.Wait()
			err := <-w.done
			w.done <- err
			if past := time.Since(signalled); past >= grace {
				t.Errorf("the router ended %s after SIGTERM, SIGKILL comes after %s", past, grace)
			} else {
				t.Logf("ended %s after SIGTERM", past)
			}
		})
	}
}
