package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// openRequest opens a connection and sends the headers of a POST request with a body of
// length bytes and a deadline in ms.
func (w *harness) openRequest(path string, length, deadline int) net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", w.clients)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nTarragonvalve-Attempt-Id: slow-%d\r\n"+
		"Tarragonvalve-Deadline-Ms: %d\r\nTarragonvalve-Model-Name: small\r\nContent-Length: %d\r\n\r\n", path, length, deadline, length)
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

// Guards against a client that keeps a request open beyond its own deadline by sending its
// body a byte at a time, and against a slow client that is cut off before its deadline.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ deadline, length, status int }{
		"in time":  {3000, 20, http.StatusOK},
		"too late": {600, 1000, http.StatusRequestTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			s := w.server("desk", "s1", "v1", always(fine))
			w.awaitUpstreams(1)
			n := w.openRequest("/order/1", c.length, c.deadline)
			go func() {
				for range c.length {
					if _, err := n.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			a, err := http.ReadResponse(bufio.NewReader(n), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			if a.StatusCode != c.status {
				t.Errorf("got %d, want %d", a.StatusCode, c.status)
			}
			if over := c.status == http.StatusRequestTimeout; over != a.Close || over != (len(s.Requests()) == 0) {
				t.Errorf("connection closed: %t, requests at the upstream: %d", a.Close, len(s.Requests()))
			}
		})
	}
}

// Guards against a client that doesn't read its response and so keeps a stream, its upstream
// and their memory occupied indefinitely.
func TestClientDoesNotRead(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	unit := "data: " + strings.Repeat("x", 4000) + "\n\n"
	s := w.server("llm", "s1", "v1", endlessScript(receiptHeaders+"Content-Type: text/event-stream\r\n\r\n", unit))
	w.awaitUpstreams(1)
	n := w.openRequest("/chat/1", 1, 700)
	if _, err := n.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	w.eventually("start of the stream", func() bool { return len(s.Requests()) == 1 })
	w.eventually("end of the request", func() bool {
		a, err := http.Get("http://" + w.admin + "/metrics")
		if err != nil {
			return false
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		return err == nil && strings.Contains(string(b), "tarragonvalve_router_open_requests 0\n")
	})
	b, err := io.ReadAll(n)
	if err == nil && strings.HasSuffix(string(b), "0\r\n\r\n") {
		t.Error("the abandoned response looks complete")
	}
}

// Guards against a stream that is cut off although its client reads it slowly, but in time.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	w.server("llm", "s1", "v1", always(server.Events{Count: 200}))
	w.awaitUpstreams(1)
	n := w.openRequest("/chat/1", 1, 10_000)
	if _, err := n.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(slowReader{n}), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil || string(b) != events(200) {
		t.Errorf("got %d bytes and %v, want the complete stream", len(b), err)
	}
}

// slowReader reads up to 64 bytes at a time, with a delay of 2 ms each.
type slowReader struct{ io.Reader }

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Reader.Read(b[:min(len(b), 64)])
}
