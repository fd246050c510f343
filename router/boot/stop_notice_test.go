package boot

import (
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against streams that are cut at the end of a drain although they were sent later than 3 s after SIGTERM,
// because the router noticed the signal late: what outlasts the drain is taken only if it was sent before that.
func TestStreamsAfterLateNotice(t *testing.T) {
	t.Parallel()
	const (
		// grace is the grace period in s, timeout that of the streams in ms.
		grace, timeout = 8, 20_000
		// sent is when the streams are sent, after SIGTERM.
		sent = 3005 * time.Millisecond
	)
	// Half a second is the time from which on the users count a machine as slowed.
	tests := map[string]struct{ notice time.Duration }{
		"at once":         {0},
		"busy machine":    {100 * time.Millisecond},
		"nearly too slow": {450 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, document(1, route("fast", "idempotent", "desk"), route("chat", "streaming", "llm", "resumable", true, "timeout_ms", timeout)), grace)
			w.server("desk", "s1", "v1", always(fine))
			llm := w.server("llm", "s2", "v1", always(server.Events{Count: 60, Pause: 100 * time.Millisecond}))
			w.awaitUpstreams(2)
			conns := w.keep(4)
			signalled := time.Now()
			time.Sleep(c.notice)
			w.stop()
			time.Sleep(time.Until(signalled.Add(sent)))
			var clients sync.WaitGroup
			for _, k := range conns {
				clients.Go(func() {
					if a := k.send("POST", "/chat/1", timeout); a.err != nil || statusAndCode(a) != "503 draining not-run" {
						t.Errorf("got %s after %d bytes, %v; want a refusal", statusAndCode(a), len(a.body), a.err)
					}
				})
			}
			clients.Wait()
			if n := len(llm.Requests()); n > 0 {
				t.Errorf("%d streams reached an upstream", n)
			}
		})
	}
}
