package link_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/platform/heads"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/standin/server"
)

// newRequest returns a non-idempotent POST request to s.
func newRequest(s *server.Server, id string) *link.Request {
	return &link.Request{
		Address: s.Address(), Method: http.MethodPost, Target: "/x", Host: "h.example", ID: call.ID(id), NonIdempotent: true,
		Header: http.Header{"Tarragonvalve-Attempt-Id": {id}, "Tarragonvalve-Expect-Instance": {"s1"}},
	}
}

// start starts a stand-in upstream that responds by script, and returns an empty pool.
func start(t *testing.T, script func(server.Request) server.Reply) (*server.Server, *link.Pool) {
	t.Helper()
	s, err := server.New("s1", script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, link.New(heads.Codec{})
}

// send sends a request and returns the body of the response.
func send(p *link.Pool, m *link.Request) (string, error) {
	a, err := p.Send(context.Background(), m)
	if err != nil {
		return "", err
	}
	defer a.End()
	b, err := io.ReadAll(a)
	return string(b), err
}

// Guards against the reuse of a connection that carried bytes of no request or of another
// one, or whose request the upstream hadn't read completely when it responded.
func TestReuse(t *testing.T) {
	fine := server.Answer{Status: 200, Body: "fine"}
	tests := map[string]struct {
		reply  server.Reply
		reused bool
	}{
		"complete response":             {fine, true},
		"duplicate response":            {server.Duplicate{Answer: fine}, false},
		"response of another request":   {server.Mismatched{Answer: fine}, false},
		"response before the body ends": {server.Early{Answer: fine}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, func(server.Request) server.Reply { return c.reply })
			for i := range 2 {
				m := newRequest(s, fmt.Sprint("a-", i))
				// Longer than the loopback's buffers, so that an early response arrives before
				// the body is sent.
				m.Body = make([]byte, 8<<20)
				if b, err := send(p, m); err != nil || b != "fine" {
					t.Fatalf("got %q %v", b, err)
				}
			}
			if rs := s.Requests(); (rs[1].Connection == 1) != c.reused {
				t.Errorf("second request was sent on connection %d", rs[1].Connection)
			}
		})
	}
}

// Guards against a request that fails because the upstream closed the idle connection on
// which it is sent.
func TestClosedWhileIdle(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Answer{Status: 200, Body: "fine"} })
	for i := range 5 {
		if b, err := send(p, newRequest(s, fmt.Sprint("a-", i))); err != nil || b != "fine" {
			t.Fatalf("request %d: %q %v", i, b, err)
		}
		s.CloseConnections()
		time.Sleep(50 * time.Millisecond) // until the close has arrived
	}
}

// Guards against an error that says that nothing was sent although bytes were, and the
// reverse: only the first kind of request may be retried safely.
func TestNotSentOrNoResponse(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Reset{} })
	m := newRequest(s, "a-1")
	var lost *link.NoResponseError
	if _, err := send(p, m); !errors.As(err, &lost) {
		t.Errorf("after a reset: %v", err)
	}
	s.Close()
	var not *link.NotSentError
	var dial *link.DialError
	if _, err := send(p, m); !errors.As(err, &not) || !errors.As(err, &dial) {
		t.Errorf("without a listener: %v", err)
	}
}

// Guards against unbounded memory for an upstream that sends endless bytes where a
// response's headers, chunk lines or trailers are due. Forty such responses took 5.2 GB.
func TestEndlessHeaders(t *testing.T) {
	tests := map[string]server.Endless{
		"status line":       {Head: "HTTP/1.1 200 ", Unit: strings.Repeat("O", 4096)},
		"header line":       {Head: "HTTP/1.1 200 OK\r\nX-Long: ", Unit: strings.Repeat("x", 4096)},
		"header lines":      {Head: "HTTP/1.1 200 OK\r\n", Unit: "X-Some: thing\r\n"},
		"interim responses": {Unit: "HTTP/1.1 100 Continue\r\n\r\n"},
		"other responses":   {Unit: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"other's body":      {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "4\r\nmore\r\n"},
		"chunk line":        {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n4;", Unit: strings.Repeat("x", 4096)},
		"chunk extensions":  {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		"trailers":          {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Unit: "X-Some: thing\r\n"},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, func(server.Request) server.Reply { return r })
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if _, err := send(p, newRequest(s, "a-1")); err == nil {
				t.Error("endless bytes were accepted as a response")
			}
			runtime.ReadMemStats(&after)
			// Headers are limited to 16 KiB, but may be copied several times while they are read.
			if d := after.TotalAlloc - before.TotalAlloc; d > 4<<20 {
				t.Errorf("allocated %d bytes, want at most 4 MiB", d)
			}
		})
	}
}

// Guards against a late duplicate of a response that is taken for the response to the next
// request, which has the same id and uses the same connection.
func TestSameIDTwice(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Answer{Status: 200, Body: "fine"} })
	for range 2 {
		if b, err := send(p, newRequest(s, "a-1")); err != nil || b != "fine" {
			t.Fatalf("got %q %v", b, err)
		}
	}
	if rs := s.Requests(); rs[1].Connection == rs[0].Connection {
		t.Error("both requests used one connection, where a late duplicate can't be told from the second response")
	}
}

// Guards against a request that is sent although it became inadmissible while its
// connection was set up.
func TestRecheck(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Answer{Status: 200, Body: "fine"} })
	m := newRequest(s, "a-1")
	over := errors.New("no longer permitted")
	m.Recheck = func() error { return over }
	var not *link.NotSentError
	if _, err := send(p, m); !errors.As(err, &not) || !errors.Is(err, over) {
		t.Errorf("got %v", err)
	}
	m.Recheck = func() error { return nil }
	if b, err := send(p, m); err != nil || b != "fine" {
		t.Errorf("got %q %v", b, err)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the upstream got %d requests, want 1, the permitted one", n)
	}
}

// Guards against more connections than allowed, and against a connection that stays in use
// after its request has ended.
func TestConnectionLimit(t *testing.T) {
	hold, started := make(chan struct{}), make(chan struct{}, 1)
	s, p := start(t, func(r server.Request) server.Reply {
		if r.Target == "/slow" {
			started <- struct{}{}
			<-hold
		}
		return server.Answer{Status: 200, Body: "fine"}
	})
	m := newRequest(s, "a-1")
	m.MaxConnections, m.Target = 1, "/slow"
	var g sync.WaitGroup
	g.Go(func() {
		if b, err := send(p, m); err != nil || b != "fine" {
			t.Errorf("first request: %q %v", b, err)
		}
	})
	<-started
	n := *m
	n.Target, n.ID = "/x", "a-2"
	n.Header = http.Header{"Tarragonvalve-Attempt-Id": {"a-2"}, "Tarragonvalve-Expect-Instance": {"s1"}}
	var full *link.ConnectionLimitError
	var dial *link.DialError
	if _, err := send(p, &n); !errors.As(err, &full) || errors.As(err, &dial) {
		t.Errorf("second request while the only connection is in use: %v", err)
	}
	close(hold)
	g.Wait()
	if b, err := send(p, &n); err != nil || b != "fine" {
		t.Errorf("second request after the first ended: %q %v", b, err)
	}
	for _, r := range s.Requests() {
		if r.Connection > 1 {
			t.Errorf("connection %d was opened, want only one", r.Connection)
		}
	}
}
