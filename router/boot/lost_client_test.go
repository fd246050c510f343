package boot

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// rawRequest returns a request of HTTP version 1.minor with further header lines.
func rawRequest(path, id string, minor int, lines, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.%d\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 6000\r\nTarragonvalve-Model-Name: small\r\n%s\r\n%s", path, minor, id, lines, body)
}

// Guards against answers that end early as the router takes a client for gone that is there: because of the HTTP version, an
// Expect header, of bytes that follow the request, or as other connections of the client end.
func TestLostWhileClientWaits(t *testing.T) {
	t.Parallel()
	const count = 10
	sizedLine := "Content-Length: 11\r\n"
	tests := map[string]func(path, id string) []step{
		"plain":                func(path, id string) []step { return []step{segment(rawRequest(path, id, 1, sizedLine, wholeBody))} },
		"no body":              func(path, id string) []step { return []step{segment(rawRequest(path, id, 1, "", ""))} },
		"no body, line behind": func(path, id string) []step { return []step{segment(rawRequest(path, id, 1, "", "\r\n"))} },
		"close after it": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine+"Connection: close\r\n", wholeBody))}
		},
		"http/1.0": func(path, id string) []step { return []step{segment(rawRequest(path, id, 0, sizedLine, wholeBody))} },
		"http/1.0, kept": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 0, sizedLine+"Connection: keep-alive\r\n", wholeBody))}
		},
		"expect, body at once": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine+"Expect: 100-continue\r\n", wholeBody))}
		},
		"expect, body later": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine+"Expect: 100-continue\r\n", "")), wait(100 * time.Millisecond), segment(wholeBody)}
		},
		"lines behind": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine, wholeBody+"\r\n\r\n")), wait(200 * time.Millisecond), segment("\r\n")}
		},
		"other bytes behind": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine, wholeBody)), wait(200 * time.Millisecond), segment("\x00\x01 no request \r\n\r\n")}
		},
		"long bytes behind": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine, wholeBody)), wait(200 * time.Millisecond), segment(strings.Repeat("x", 300_000))}
		},
		"half a request behind": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine, wholeBody)), wait(200 * time.Millisecond), segment("POST /order/1 HTTP/1.1\r\nHost: sh")}
		},
		"pipelined, then a wait": func(path, id string) []step {
			return []step{segment(rawRequest(path, id, 1, sizedLine, wholeBody) + "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"), wait(200 * time.Millisecond), segment("GET /read/2")}
		},
	}
	w := startRouter(t, unlimited(standardDocument()))
	ss := []*server.Server{
		w.server("desk", "s1", "v1", always(server.Delayed{Answer: fine, Delay: time.Second})),
		w.server("llm", "m1", "v1", always(server.Events{Count: count, Pause: 100 * time.Millisecond, Confidence: 100})),
	}
	w.awaitUpstreams(len(ss))
	var y tally
	var clients sync.WaitGroup
	for name, steps := range tests {
		for path, want := range map[string]string{"/order/1": "fine", "/chat/1": events(count)} {
			clients.Go(func() {
				id := nextID()
				a := w.exchangeRaw(id, steps(path, id)...)
				y.add(name+" "+path, map[string]response{id: a})
				if a.err != nil || a.status != http.StatusOK || a.body != want {
					t.Errorf("%s %s: got %d %v %.80q, want the whole answer", name, path, a.status, a.err, a.body)
				}
			})
		}
	}
	clients.Go(w.resetOthers)
	clients.Wait()
	if n := w.ends("client-gone"); n > resets {
		t.Errorf("%d connections ended as client-gone, only %d clients left", n, resets)
	}
}

// exchangeRaw takes steps on a new connection and returns the first final response.
func (w *harness) exchangeRaw(id string, steps ...step) response {
	c, err := w.dial()
	if err != nil {
		return response{id: id, err: err}
	}
	defer c.Close()
	// This only ends a broken run.
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return response{id: id, err: err}
	}
	go func() {
		for _, s := range steps {
			switch s := s.(type) {
			case segment:
				io.WriteString(c, string(s))
			case wait:
				time.Sleep(time.Duration(s))
			case halfClose:
				c.CloseWrite()
			}
		}
	}()
	r := bufio.NewReader(c)
	for {
		if a := readResponse(r, id); a.err != nil || a.status != http.StatusContinue {
			return a
		}
	}
}

// resets is the number of connections that resetOthers ends.
const resets = 20

// resetOthers opens connections, sends a request on every second one, and resets them.
func (w *harness) resetOthers() {
	for i := range resets {
		c, err := w.dial()
		if err != nil {
			w.t.Error(err)
			return
		}
		if i%2 == 0 {
			io.WriteString(c, rawRequest("/chat/1", nextID(), 1, "Content-Length: 11\r\n", wholeBody))
		}
		time.Sleep(20 * time.Millisecond)
		if err := errors.Join(c.SetLinger(0), c.Close()); err != nil {
			w.t.Error(err)
		}
	}
}

// cutAnswer reports a stream that ends early and looks complete to a client of HTTP/1.minor.
func cutAnswer(t *testing.T, minor int) {
	t.Helper()
	for name, c := range map[string]struct {
		reply server.Events
		stop  bool
	}{
		"upstream breaks off": {server.Events{Count: 9, TruncateAfter: 4}, false},
		"end of a drain":      {server.Events{Count: 1000, Pause: 50 * time.Millisecond}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "attempts", 1, "timeout_ms", 20_000)))
			s := w.server("llm", "m1", "v1", always(c.reply))
			w.awaitUpstreams(1)
			if c.stop {
				time.AfterFunc(300*time.Millisecond, w.stop)
			}
			id := nextID()
			a := w.exchangeRaw(id, segment(rawRequest("/chat/1", id, minor, "Content-Length: 11\r\n", wholeBody)))
			if a.err == nil || a.status != http.StatusOK {
				t.Errorf("got %d %v, %d bytes, want an error after an incomplete answer", a.status, a.err, len(a.body))
			}
			if n := len(s.Requests()); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
		})
	}
}

// Guards against a cut answer that looks complete to its client.
func TestLostLooksIncomplete(t *testing.T) {
	t.Parallel()
	cutAnswer(t, 1)
}

// Guards against a cut answer that looks complete to a client of HTTP/1.0, for which the end of the connection is that of the
// answer.
func TestLostLooksIncompleteHTTP10(t *testing.T) {
	t.Parallel()
	cutAnswer(t, 0)
}
