package boot

import (
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against requests that a stop cuts before the last sixth of a short grace period, in which the users' rule LOST
// permits it.
func TestCutsInShortGracePeriods(t *testing.T) {
	t.Parallel()
	for name, grace := range map[string]int{"2 s": 2, "3 s": 3, "4 s": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, document(1, route("fast", "idempotent", "desk"), route("chat", "streaming", "llm", "resumable", true, "timeout_ms", 30_000)), grace)
			w.server("desk", "s1", "v1", always(fine))
			w.server("llm", "s2", "v1", always(server.Events{Count: 200, Pause: 100 * time.Millisecond}))
			w.awaitUpstreams(2)
			k := w.keep(1)[0]
			signalled := time.Now()
			w.stop()
			a := k.send("POST", "/chat/1", 30_000)
			if past, from := time.Since(signalled), time.Duration(grace)*time.Second*5/6; past < from {
				t.Errorf("cut %s after SIGTERM (%d, %v), the last sixth begins after %s", past, a.status, a.err, from)
			}
		})
	}
}
