package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
)

// Guards against requests that are refused unread although more than their first bytes matter: whether they are whole,
// how long they are, and what their client expects.
func TestSimple(t *testing.T) {
	tests := map[string]struct {
		text string
		want bool
	}{
		"without a body":    {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"no headers":        {"GET / HTTP/1.1\r\n\r\n", true},
		"whole body":        {"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab", true},
		"part of the body":  {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", false},
		"pipelined":         {"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n", false},
		"two lengths":       {"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", false},
		"no number":         {"POST / HTTP/1.1\r\nContent-Length: +\r\n\r\n", false},
		"chunked":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"ends connection":   {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false},
		"expects":           {"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n", false},
		"continues":         {"GET / HTTP/1.1\r\nlast-event-id: 3\r\n\r\n", false},
		"no body wanted":    {"HEAD / HTTP/1.1\r\n\r\n", false},
		"signed length":     {"POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nab", false},
		"old version":       {"GET / HTTP/1.0\r\n\r\n", false},
		"part of the head":  {"GET / HTTP/1.1\r\nHost: a\r\n", false},
		"folded lines only": {"GET / HTTP/1.1\nHost: a\n\n", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := simple([]byte(c.text)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// overloaded makes the queue of s stand, for requests that have waited at all.
func overloaded(s *runningServer) {
	o := &s.server.Gate.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	for past := -300 * time.Millisecond; past <= 0; past += 10 * time.Millisecond {
		o.queue.Add(time.Now().Add(past), time.Second)
	}
}

// Guards against refusals by overload that cost as much as answers, end their connection or reach the handler.
func TestShedUnread(t *testing.T) {
	handled := 0
	s := serveClients(t, time.Second, func(http.ResponseWriter, *http.Request) { handled++ })
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	send := func() (*http.Response, string) {
		t.Helper()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(a.Body)
		if err != nil {
			t.Fatal(err)
		}
		return a, string(b)
	}
	if a, _ := send(); a.StatusCode != http.StatusOK {
		t.Fatalf("status %d on time", a.StatusCode)
	}
	overloaded(s)
	fill(&s.server.Gate.overload)
	for range closeEach - 1 {
		a, b := send()
		if a.StatusCode != http.StatusServiceUnavailable || a.Close || a.Header.Get("Retry-After") != "0.050" || !strings.Contains(b, string(refuse.NotRun)) {
			t.Fatalf("got %d, %v, %s", a.StatusCode, a.Header, b)
		}
	}
	if handled != 1 {
		t.Errorf("%d requests handled, want 1", handled)
	}
}

// fill makes the open requests take all of the room.
func fill(o *overload) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for range 100 {
		o.flow.Answered(time.Now(), 50*time.Millisecond)
	}
	o.flow.Update(time.Now(), true, 0)
	o.open = 1000
}
