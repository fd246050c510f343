package boot

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against missing, duplicate or wrong events when a stream continues at another upstream.
func TestStreamContinues(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]server.Reply{
		"truncated event":     server.Events{Count: 9, TruncateAfter: 4, Confidence: 100},
		"unframed, truncated": server.Events{Count: 9, TruncateAfter: 4, Confidence: 100, Unframed: true},
		"unframed, whole":     server.Events{Count: 9, Confidence: 100, Unframed: true},
		"missing event":       server.Events{Count: 9, SkipID: 3, Confidence: 100},
		"reset at the start":  server.Reset{},
		"rejected":            server.Reject{Status: 503},
		"no response":         server.Hang{},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			script := sequence(first, server.Events{Count: 9, Confidence: 100})
			w.server("llm", "s1", "v1", script)
			w.server("llm", "s2", "v1", script)
			w.awaitUpstreams(2)
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*", "Tarragonvalve-Token-Usage", "100,60")
			if a.err != nil || a.status != 200 || a.body != events(9) {
				t.Errorf("got %d %v %q", a.status, a.err, a.body)
			}
		})
	}
}

// Guards against a stream that is aborted because its upstream pauses, although no other
// upstream can continue it. This happened on ksls-valve-grown, scenario quiet-1: LOST.
func TestPauseWithoutAlternative(t *testing.T) {
	t.Parallel()
	for name, attempts := range map[string]int{"last attempt": 1, "no other upstream": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", attempts, "timeout_ms", 20_000)))
			s := w.server("llm", "s1", "v1", always(server.Events{Count: 3, Pause: 2500 * time.Millisecond}))
			w.awaitUpstreams(1)
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "15000")
			if a.err != nil || a.status != 200 || a.body != events(3) {
				t.Errorf("got %d %v %q", a.status, a.err, a.body)
			}
			if n := len(s.Requests()); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
		})
	}
}

// Guards against a truncated stream that looks complete to the client when no upstream can
// continue it, also if nothing but the end of the connection marks the end of the stream.
func TestStreamTruncated(t *testing.T) {
	t.Parallel()
	for name, unframed := range map[string]bool{"chunks": false, "unframed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", false, "attempts", 3)))
			s := w.server("llm", "s1", "v1", always(server.Events{Count: 9, TruncateAfter: 4, Unframed: unframed}))
			w.awaitUpstreams(1)
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small")
			if a.err == nil || a.body != events(4) {
				t.Errorf("got %v %q, want an error after four complete events", a.err, a.body)
			}
			if n := len(s.Requests()); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
		})
	}
}

// A stream breaks off and the next upstream answers with an error. Guards against the text or the
// head of that error in the middle of the stream, and against a stream that seems to be complete.
func TestErrorInsteadOfContinuation(t *testing.T) {
	t.Parallel()
	const text = "{\"error\":\"no such stream\"}\n\n"
	for name, next := range map[string]server.Reply{
		"error of the server":   server.Answer{Status: 500, Body: text},
		"overload":              server.Answer{Status: 503, Body: text},
		"error of the request":  server.Answer{Status: 404, Body: text},
		"rejected":              server.Reject{Status: 503},
		"no answer of the kind": server.Answer{Status: 204},
		"success that is none":  server.Answer{Status: 200, Body: text},
		"head as a body":        server.Answer{Status: 200, Body: "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno\n\n"},
		"malformed":             server.Malformed{},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", 2)))
			script := func(r server.Request) server.Reply {
				if r.Header.Get("Last-Event-Id") != "" {
					return next
				}
				return server.Events{Count: 9, TruncateAfter: 4}
			}
			w.server("llm", "s1", "v1", script)
			w.server("llm", "s2", "v1", script)
			w.awaitUpstreams(2)
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small")
			if a.err == nil || a.body != events(4) {
				t.Errorf("got %v %q, want an error after four complete events", a.err, a.body)
			}
		})
	}
}

// Guards against a response of the small model that is kept despite its low confidence, and
// against a second, larger model for a response with high confidence.
func TestModelEscalation(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		confidence int
		models     string
	}{
		"low confidence":  {5, "small,large"},
		"high confidence": {98, "small"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			s := w.server("llm", "s1", "v1", always(server.Events{Count: 5, Confidence: c.confidence}))
			w.awaitUpstreams(1)
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*", "Tarragonvalve-Token-Usage", "6000,400")
			if a.status != 200 || a.body != events(5) {
				t.Errorf("got %d %q", a.status, a.body)
			}
			var ms []string
			for _, r := range s.Requests() {
				ms = append(ms, r.Header.Get("Tarragonvalve-Model-Name"))
			}
			if got := strings.Join(ms, ","); got != c.models {
				t.Errorf("asked models %s, want %s", got, c.models)
			}
		})
	}
}

// Guards against upstreams that keep working for a client that has disconnected.
func TestClientDisconnects(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("llm", "s1", "v1", always(server.Events{Count: 1000, Pause: 5 * time.Millisecond, Confidence: 100}))
	w.awaitUpstreams(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan response, 1)
	go func() { done <- w.sendCtx(ctx, "POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*") }()
	w.eventually("request at the upstream", func() bool { return len(s.Requests()) == 1 })
	cancel()
	if a := <-done; !errors.Is(a.err, context.Canceled) {
		t.Fatalf("got %v", a.err)
	}
	w.eventually("end of the upstream's connection", func() bool { return s.ClientAborts() == 1 })
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the upstream got %d requests, want 1", n)
	}
}

// The ids of events rise, not always by one. Guards against sound streams that are broken off for that, also when
// they continue at another upstream, and against a missing event that counts as such a step.
func TestSparseEvents(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// ids are those that the upstreams send, want those that the client gets; nil stands for a broken stream.
		ids, want []int
	}{
		"tokens so far":        {[]int{6, 12, 18, 24, 30}, []int{6, 12, 18, 24, 30}},
		"uneven steps":         {[]int{4, 9, 10, 30, 31}, []int{4, 9, 10, 30, 31}},
		"from one":             {[]int{1, 2, 3, 4, 5}, []int{1, 2, 3, 4, 5}},
		"from two":             {[]int{2, 3, 4, 5, 6}, []int{2, 3, 4, 5, 6}},
		"second event missing": {[]int{1, 3, 4, 5, 6}, nil},
		"third event missing":  {[]int{2, 3, 5, 6, 7}, nil},
		"repeated":             {[]int{6, 12, 12, 18, 24}, []int{6, 12, 18, 24}},
		"falling":              {[]int{6, 12, 11, 18, 24}, []int{6, 12, 18, 24}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var whole strings.Builder
			for _, n := range c.want {
				whole.WriteString(server.EventText(n))
			}
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", 2)))
			script := func(r server.Request) server.Reply {
				text := strings.ReplaceAll(receiptHeaders, "ID", r.ID()) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
				from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				if err != nil {
					from = -1
				}
				for i, n := range c.ids {
					if n > from && (from >= 0 || i < 4) {
						text += fmt.Sprintf("%x\r\n%s\r\n", len(server.EventText(n)), server.EventText(n))
					}
				}
				if from >= 0 {
					text += "0\r\n\r\n"
				}
				// The first answer breaks off after four events.
				return server.Raw{Text: text}
			}
			w.server("llm", "s1", "v1", script)
			w.server("llm", "s2", "v1", script)
			w.awaitUpstreams(2)
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small")
			complete := a.err == nil && a.status == 200
			if complete != (c.want != nil) || (complete && a.body != whole.String()) {
				t.Errorf("got %d %v %q, want the events %v", a.status, a.err, a.body, c.want)
			}
		})
	}
}

// Review case 3: an upstream preempts its streams for some seconds while others are full, have room, or fail.
// Guards against streams that are given up before another upstream has taken them, against ones that stay at
// an upstream although another one has room, and against events that are missing, repeated or of two runs.
func TestPreemptedStream(t *testing.T) {
	t.Parallel()
	const count, pause = 6, 2500 * time.Millisecond
	preempted := server.Paused{Events: server.Events{Count: count, Pause: 20 * time.Millisecond, Confidence: 100}, After: 3, For: pause}
	whole := server.Events{Count: count, Pause: 20 * time.Millisecond, Confidence: 100}
	breaks := preempted
	breaks.TruncateAfter, breaks.For = breaks.After, 1600*time.Millisecond
	tests := map[string]struct {
		// first is what the upstream answers that pauses, others what the other ones do.
		first, others server.Reply
		// moves is true if another upstream must continue the stream.
		moves bool
	}{
		"others full":                  {preempted, server.Reject{Status: 503}, false},
		"others take it":               {preempted, whole, true},
		"others take it too late":      {preempted, server.Late{Events: whole, Delay: 2 * time.Second}, false},
		"others fail":                  {preempted, server.Answer{Status: 500, Body: "no"}, false},
		"others answer no stream":      {preempted, server.Answer{Status: 200, Body: "no stream\n\n"}, false},
		"others reset":                 {preempted, server.Reset{}, false},
		"others miss an event":         {preempted, server.Events{Count: count, SkipID: 4, Confidence: 100}, false},
		"others take long to fail":     {preempted, server.Late{Events: server.Events{Count: 3, Confidence: 100}, Delay: time.Second}, false},
		"breaks before others take it": {breaks, server.Late{Events: whole, Delay: 800 * time.Millisecond}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", 3, "timeout_ms", 20_000)))
			script := func(r server.Request) server.Reply {
				if r.Header.Get("Last-Event-Id") != "" {
					return c.others
				}
				return c.first
			}
			var ss []*server.Server
			for i := range 3 {
				ss = append(ss, w.server("llm", fmt.Sprint("s", i), "v1", script))
			}
			w.awaitUpstreams(3)
			began := time.Now()
			a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "15000")
			if a.err != nil || a.status != 200 || a.body != events(count) {
				t.Errorf("got %d %v %q", a.status, a.err, a.body)
			}
			if moved := time.Since(began) < pause; moved != c.moves {
				t.Errorf("ended after %s, moved to another upstream: %v, want %v", time.Since(began), moved, c.moves)
			}
			aborts := 0
			for _, s := range ss {
				aborts += s.ClientAborts()
			}
			if c.moves && c.first == server.Reply(preempted) && aborts == 0 {
				t.Error("the upstream that paused still runs the stream")
			}
		})
	}
}
