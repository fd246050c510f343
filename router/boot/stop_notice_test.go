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
			checkRefused(t, conns, timeout, llm)
		})
	}
}

// Guards against the same after a longer time in which the process didn't run, such as for want of a processor.
func TestStreamsAfterLongPause(t *testing.T) {
	t.Parallel()
	const (
		grace, timeout = 8, 20_000
		// pause is how long the process doesn't run after SIGTERM, sent when the streams are sent.
		pause = 700 * time.Millisecond
		sent  = 3100 * time.Millisecond
	)
	w, _ := platform(t, grace, always(fine))
	w.writeConfig(document(2, route("fast", "idempotent", "desk"), route("chat", "streaming", "llm", "resumable", true, "timeout_ms", timeout)))
	llm := w.server("llm", "m1", "v1", always(server.Events{Count: 60, Pause: 100 * time.Millisecond}))
	p := w.startProcess()
	w.eventually("readiness", w.ready)
	time.Sleep(200 * time.Millisecond) // until all upstreams are listed
	conns := w.keep(4)
	signalled := p.terminatePaused(t, pause)
	time.Sleep(time.Until(signalled.Add(sent)))
	checkRefused(t, conns, timeout, llm)
	if err := p.Wait(); err != nil {
		t.Errorf("the router ended: %v", err)
	}
}

// checkRefused sends a stream with a timeout in ms on each connection and reports those that are not refused as not run, or
// reach the upstream s.
func checkRefused(t *testing.T, conns []*keptConn, timeout int, s *server.Server) {
	t.Helper()
	var clients sync.WaitGroup
	for _, k := range conns {
		clients.Go(func() {
			if a := k.send("POST", "/chat/1", timeout); a.err != nil || statusAndCode(a) != "503 draining not-run" {
				t.Errorf("got %s after %d bytes, %v; want a refusal", statusAndCode(a), len(a.body), a.err)
			}
		})
	}
	clients.Wait()
	if n := len(s.Requests()); n > 0 {
		t.Errorf("%d streams reached an upstream", n)
	}
}
