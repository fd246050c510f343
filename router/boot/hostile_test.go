package boot

import (
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const signed = "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: ID\r\nTarragonvalve-Server-Signature: r\r\n"

// endless answers with the id of the request.
func endless(head, unit string) func(server.Request) server.Reply {
	return func(r server.Request) server.Reply {
		return server.Endless{Head: strings.ReplaceAll(head, "ID", r.ID()), Unit: unit}
	}
}

// Guards against a router that ends, or fails the requests of other routes, since a server
// sends bytes without end (one such server took 5.2 GB and all answers of a router).
func TestEndlessAnswers(t *testing.T) {
	tests := map[string]struct{ head, unit string }{
		"head":          {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 4096)},
		"body":          {signed + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
		"body to close": {signed + "\r\n", strings.Repeat("x", 4096)},
		"stated body":   {signed + "Content-Length: 9000000000000\r\n\r\n", strings.Repeat("x", 4096)},
		"event":         {signed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", strings.Repeat("x", 4096)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := start(t, standard())
			w.server("llm", "s1", "v1", endless(c.head, c.unit))
			w.server("desk", "s2", "v1", always(fine))
			w.knows(2)
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
					a := w.call("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "2000")
					if a.status == 200 && a.err == nil {
						t.Errorf("bytes without end reached the client as %d bytes of a whole answer", len(a.body))
					}
				})
			}
			for range 20 {
				if a := w.call("GET", "/read/1", ""); a.status != 200 {
					t.Errorf("beside it: got %d %s", a.status, a.body)
				}
			}
			g.Wait()
			close(done)
			watch.Wait()
			// Half of the users' smallest machine, 120 MB, with all stand-ins of the test.
			if p := peak.Load(); p > 60<<20 {
				t.Errorf("the heap took %d MB", p>>20)
			}
		})
	}
}

// Guards against a stream that never ends since its server sends comments and no events,
// though another server could go on.
func TestCommentsAreNoProgress(t *testing.T) {
	t.Parallel()
	w := start(t, standard())
	var n atomic.Int64
	script := func(r server.Request) server.Reply {
		if n.Add(1) == 1 {
			return server.Endless{
				Head: strings.ReplaceAll(signed, "ID", r.ID()) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: event 1\n\n", Unit: ": still here\n\n",
				Pause: 100 * time.Millisecond,
			}
		}
		return server.Events{Count: 9}
	}
	w.server("llm", "s1", "v1", script)
	w.server("llm", "s2", "v1", script)
	w.knows(2)
	a := w.call("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "4000")
	body := strings.ReplaceAll(a.body, ": still here\n\n", "")
	if a.err != nil || a.status != 200 || body != events(9) {
		t.Errorf("got %d %v %q", a.status, a.err, body)
	}
}
