package boot

import (
	"bufio"
	"fmt"
	"net"
	"net/http/httputil"
	"strings"
	"testing"

	"tarragonvalve.example/standin/server"
)

// An upstream sends twenty events at a time, as one does whose router runs late. Guards against a write to the client
// for each of them, and against events that are lost or held back when the next one isn't passed on.
func TestEventsSentTogether(t *testing.T) {
	t.Parallel()
	const count = 20
	for name, c := range map[string]struct {
		more  string
		whole bool
	}{
		"whole":             {"0\r\n\r\n", true},
		"cut":               {"", false},
		"event out of turn": {fmt.Sprintf("%x\r\n%s\r\n", len(server.EventText(99)), server.EventText(99)), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, document(1, route("chat", "streaming", "llm", "resumable", false, "attempts", 1)))
			w.server("llm", "s1", "v1", func(r server.Request) server.Reply {
				var b strings.Builder
				fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.ID())
				for i := 1; i <= count; i++ {
					fmt.Fprintf(&b, "%x\r\n%s\r\n", len(server.EventText(i)), server.EventText(i))
				}
				return server.Raw{Text: b.String() + c.more}
			})
			w.awaitUpstreams(1)
			body, chunks, err := w.chunks("/chat/1")
			if body != events(count) || (err == nil) != c.whole {
				t.Errorf("got %q, %v", body, err)
			}
			// The kernel may pass the events on in two parts.
			if chunks > 3 {
				t.Errorf("%d events came in %d chunks, want 3 at most", count, chunks)
			}
		})
	}
}

// chunks sends a request for a stream and returns the body and the number of its chunks that are not empty.
func (w *harness) chunks(path string) (string, int, error) {
	c, err := net.Dial("tcp", w.clients)
	if err != nil {
		return "", 0, err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 3000\r\nTarragonvalve-Model-Name: small\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nx", path, nextID()); err != nil {
		return "", 0, err
	}
	var raw strings.Builder
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", 0, err
		}
		if line == "\r\n" {
			break
		}
	}
	if _, err := r.WriteTo(&raw); err != nil {
		return "", 0, err
	}
	n := 0
	rest := raw.String()
	for {
		size, after, ok := strings.Cut(rest, "\r\n")
		var length int
		if _, err := fmt.Sscanf(size, "%x", &length); !ok || err != nil || length == 0 || len(after) < length+2 {
			break
		}
		n++
		rest = after[length+2:]
	}
	var b strings.Builder
	_, err = bufio.NewReader(httputil.NewChunkedReader(strings.NewReader(raw.String()))).WriteTo(&b)
	return b.String(), n, err
}
