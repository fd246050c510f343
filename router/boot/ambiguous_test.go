package boot

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests that a program before the router reads differently: one client could put
// a request into another's connection, or have it run under another account or id.
func TestAmbiguousRequests(t *testing.T) {
	t.Parallel()
	const (
		head = "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
		id   = "Tarragonvalve-Attempt-Id: a1\r\n"
		key  = "Authorization: Bearer key-1\r\n"
		next = "POST /order/2 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: a2\r\n" + key + "Content-Length: 0\r\n\r\n"
	)
	tests := map[string]struct {
		request string
		// status is that of the only answer; ran is true if the first request may run.
		status int
		ran    bool
	}{
		"length and coding":           {head + id + key + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next, 200, true},
		"two accounts":                {head + id + key + "Authorization: Bearer key-2\r\nContent-Length: 0\r\n\r\n" + next, 400, false},
		"two ids":                     {head + id + "Tarragonvalve-Attempt-Id: a9\r\n" + key + "Content-Length: 0\r\n\r\n" + next, 400, false},
		"two deadlines":               {head + id + key + "Tarragonvalve-Deadline-Ms: 100\r\nTarragonvalve-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n" + next, 400, false},
		"two sessions":                {head + id + key + "Session: a\r\nSession: b\r\nContent-Length: 0\r\n\r\n" + next, 400, false},
		"deadline out of range":       {head + id + key + "Tarragonvalve-Deadline-Ms: 99999999999999999999\r\nContent-Length: 0\r\n\r\n" + next, 400, false},
		"deadline beyond all numbers": {head + id + key + "Tarragonvalve-Deadline-Ms: 1e999\r\nContent-Length: 0\r\n\r\n" + next, 400, false},
		"two lengths":                 {head + id + key + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + next, 400, false},
		"unknown coding":              {head + id + key + "Transfer-Encoding: xchunked\r\n\r\n" + next, 501, false},
		"two hosts":                   {head + "Host: other.example\r\n" + id + key + "Content-Length: 0\r\n\r\n" + next, 400, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouter(t, standardDocument())
			s := w.server("desk", "s1", "v1", always(fine))
			w.awaitUpstreams(1)
			n, err := net.Dial("tcp", w.clients)
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			// This only ends a broken run.
			if err := n.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(n, c.request); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(n)
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(a.Body)
			if err != nil {
				t.Fatal(err)
			}
			if a.StatusCode != c.status {
				t.Errorf("got %d %s, want %d", a.StatusCode, b, c.status)
			}
			rest, err := io.ReadAll(r)
			if len(rest) > 0 || (err != nil && !strings.Contains(err.Error(), "reset")) {
				t.Errorf("after the answer: %q, %v; want the end of the connection", rest, err)
			}
			for _, q := range s.Requests() {
				if !c.ran || q.ID() != "a1" {
					t.Errorf("the server got request %s %s", q.ID(), q.Target)
				}
			}
		})
	}
}
