package boot

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// receiptHeaders is the start of a valid response with a receipt. ID stands for the request's
// id.
const receiptHeaders = "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: ID\r\nTarragonvalve-Server-Signature: r\r\n"

// endlessScript returns a script that sends head, with ID replaced by the request's id, and then
// repeats unit endlessly: 4 KiB a millisecond exceed any bound within a second, and forty such
// responses leave the router, which shares the process, time for other requests.
func endlessScript(head, unit string) func(server.Request) server.Reply {
	return func(r server.Request) server.Reply {
		return server.Endless{Head: strings.ReplaceAll(head, "ID", r.ID()), Unit: unit, Pause: time.Millisecond}
	}
}

// Guards against an upstream that crashes the router, or fails the requests of other
// routes, by endless bytes. One such upstream took 5.2 GB and stopped all of a router's
// responses.
func TestEndlessResponses(t *testing.T) {
	tests := map[string]struct{ head, unit string }{
		"head":          {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 4096)},
		"body":          {receiptHeaders + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"body to close": {receiptHeaders + "\r\n", strings.Repeat("x", 4096)},
		"stated body":   {receiptHeaders + "Content-Length: 9000000000000\r\n\r\n", strings.Repeat("x", 4096)},
		"event":         {receiptHeaders + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", strings.Repeat("x", 4096)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := startRouter(t, standardDocument())
			w.server("llm", "s1", "v1", endlessScript(c.head, c.unit))
			w.server("desk", "s2", "v1", always(fine))
			w.awaitUpstreams(2)
			// The connection that the requests to the other upstream use: on a busy machine a new one
			// may take longer than a router waits for one.
			if a := w.send("GET", "/read/1", ""); a.status != 200 {
				t.Fatalf("before the endless responses: got %d %s", a.status, a.body)
			}
			var peak atomic.Uint64
			done := make(chan struct{})
			var g, watch sync.WaitGroup
			watch.Go(func() {
				for {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak.Store(max(peak.Load(), m.HeapAlloc))
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
			for range 40 {
				g.Go(func() {
					a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "2000")
					if a.status == 200 && a.err == nil {
						t.Errorf("the client got endless bytes as a complete response of %d bytes", len(a.body))
					}
				})
			}
			for range 20 {
				if a := w.send("GET", "/read/1", ""); a.status != 200 {
					t.Errorf("request to another upstream: got %d %s", a.status, a.body)
				}
			}
			g.Wait()
			close(done)
			watch.Wait()
			// The users' smallest machine has 120 MB. This test may take half of that, which
			// includes the stand-ins.
			if p := peak.Load(); p > 60<<20 {
				t.Errorf("the heap grew to %d MB, want at most 60", p>>20)
			}
		})
	}
}

// Guards against a stream that hangs because its upstream sends only comments, although
// another upstream could continue it.
func TestCommentsAreNoProgress(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	var n atomic.Int64
	script := func(r server.Request) server.Reply {
		if n.Add(1) == 1 {
			return server.Endless{
				Head: strings.ReplaceAll(receiptHeaders, "ID", r.ID()) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: event 1\n\n", Unit: ": still here\n\n",
				Pause: 100 * time.Millisecond,
			}
		}
		return server.Events{Count: 9}
	}
	w.server("llm", "s1", "v1", script)
	w.server("llm", "s2", "v1", script)
	w.awaitUpstreams(2)
	a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "4000")
	body := strings.ReplaceAll(a.body, ": still here\n\n", "")
	if a.err != nil || a.status != 200 || body != events(9) {
		t.Errorf("got %d %v %q", a.status, a.err, body)
	}
}

// Reported by operators of similar systems: an upstream stops in the middle of its answer's head and
// closes. Guards against a 200 with an empty or short body that looks complete, wherever an answer is cut.
func TestAnswerCutAnywhere(t *testing.T) {
	t.Parallel()
	const framedBody = "a whole answer"
	streamHead := receiptHeaders + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		method, path, text, whole string
		// complete is the length from which on the answer is complete; its end can't be told from a
		// connection that closes after it.
		complete int
	}{
		"with a length":         {"POST", "/order/1", receiptHeaders + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(framedBody), framedBody), framedBody, 0},
		"in chunks":             {"POST", "/order/1", receiptHeaders + "Transfer-Encoding: chunked\r\n\r\n8\r\na whole \r\n6\r\nanswer\r\n0\r\n\r\n", framedBody, 0},
		"interim head":          {"POST", "/order/1", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + receiptHeaders + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(framedBody), framedBody), framedBody, 0},
		"stream":                {"POST", "/once/1", streamHead + fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(server.EventText(1)), server.EventText(1), len(server.EventText(2)), server.EventText(2)), events(2), 0},
		"head without a length": {"POST", "/order/1", receiptHeaders + "\r\n" + framedBody, framedBody, len(receiptHeaders) + 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("order", "non_idempotent", "desk"), route("once", "streaming", "llm")))
			var cut atomic.Int64
			script := func(r server.Request) server.Reply {
				// The receipt and the id are those of the request, so the cut is counted before they are put in.
				text := c.text[:cut.Load()]
				return server.Raw{Text: strings.ReplaceAll(text, "Attempt-Id: ID", "Attempt-Id: "+r.ID())}
			}
			desk, llm := w.server("desk", "s1", "v1", script), w.server("llm", "s2", "v1", script)
			w.awaitUpstreams(2)
			end := c.complete
			if end == 0 {
				end = len(c.text)
			}
			for n := range end {
				cut.Store(int64(n))
				before := len(desk.Requests()) + len(llm.Requests())
				a := w.send(c.method, c.path, "x")
				if a.status == 200 && a.err == nil {
					t.Errorf("cut after %d of %d bytes, at %q: got a complete 200 with %q", n, len(c.text), c.text[max(n-20, 0):n], a.body)
				}
				if len(desk.Requests())+len(llm.Requests()) == before {
					t.Fatalf("cut after %d bytes: no upstream got the request: %d %s", n, a.status, a.body)
				}
			}
			cut.Store(int64(len(c.text)))
			if a := w.send(c.method, c.path, "x"); a.status != 200 || a.body != c.whole {
				t.Errorf("whole answer: got %d %q %v", a.status, a.body, a.err)
			}
		})
	}
}
