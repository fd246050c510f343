package boot

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against missing, doubled or foreign events when a stream goes on elsewhere.
func TestStreamGoesOn(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]server.Reply{
		"cut within an event": server.Events{Count: 9, TruncateAfter: 4, Confidence: 100},
		"event left out":      server.Events{Count: 9, SkipID: 3, Confidence: 100},
		"reset at the start":  server.Reset{},
		"rejected":            server.Reject{Status: 503},
		"silent":              server.Hang{},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, standard())
			script := sequence(first, server.Events{Count: 9, Confidence: 100})
			w.server("llm", "s1", "v1", script)
			w.server("llm", "s2", "v1", script)
			w.knows(2)
			a := w.call("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*", "Tarragonvalve-Token-Usage", "100,60")
			if a.err != nil || a.status != 200 || a.body != events(9) {
				t.Errorf("got %d %v %q", a.status, a.err, a.body)
			}
		})
	}
}

// Guards against a stream that is broken off since its server pauses, though it
// can't go on elsewhere (score of ksls-valve-grown: LOST on quiet-1).
func TestPauseAlone(t *testing.T) {
	t.Parallel()
	for name, attempts := range map[string]int{"last attempt": 1, "no other upstream": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", attempts, "timeout_ms", 20_000)))
			s := w.server("llm", "s1", "v1", always(server.Events{Count: 3, Pause: 2500 * time.Millisecond}))
			w.knows(1)
			a := w.call("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "15000")
			if a.err != nil || a.status != 200 || a.body != events(3) {
				t.Errorf("got %d %v %q", a.status, a.err, a.body)
			}
			if n := len(s.Requests()); n != 1 {
				t.Errorf("ran %d times", n)
			}
		})
	}
}

// Guards against a broken stream that looks complete when nothing can go on.
func TestStreamCut(t *testing.T) {
	t.Parallel()
	w := start(t, document(1, route("chat", "streaming", "llm", "resumable", false, "attempts", 3)))
	s := w.server("llm", "s1", "v1", always(server.Events{Count: 9, TruncateAfter: 4}))
	w.knows(1)
	a := w.call("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small")
	if a.err == nil || a.body != events(4) {
		t.Errorf("got %v %q, want an error after four whole events", a.err, a.body)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against a wrong answer of a small model that is kept though it says so,
// and against a sure one that is paid for twice.
func TestCascade(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		confidence int
		models     string
	}{
		"unsure": {5, "small,large"},
		"sure":   {98, "small"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, standard())
			s := w.server("llm", "s1", "v1", always(server.Events{Count: 5, Confidence: c.confidence}))
			w.knows(1)
			a := w.call("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*", "Tarragonvalve-Token-Usage", "6000,400")
			if a.status != 200 || a.body != events(5) {
				t.Errorf("got %d %q", a.status, a.body)
			}
			var ms []string
			for _, r := range s.Requests() {
				ms = append(ms, r.Header.Get("Tarragonvalve-Model-Name"))
			}
			if got := strings.Join(ms, ","); got != c.models {
				t.Errorf("models %s, want %s", got, c.models)
			}
		})
	}
}

// Guards against work for a client that has left.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	w := start(t, standard())
	s := w.server("llm", "s1", "v1", always(server.Events{Count: 1000, Pause: 5 * time.Millisecond, Confidence: 100}))
	w.knows(1)
	ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer leave()
	a := w.callCtx(ctx, "POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*")
	if !errors.Is(a.err, context.DeadlineExceeded) {
		t.Fatalf("got %v", a.err)
	}
	w.eventually("the upstream to see the client leave", func() bool { return s.ClientAborts() == 1 })
	if n := len(s.Requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}
