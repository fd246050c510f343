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

func message(s *server.Server, id string) *link.Message {
	return &link.Message{
		Address: s.Address(), Method: http.MethodPost, Target: "/x", Host: "h.example", ID: call.ID(id), Once: true,
		Header: http.Header{"Tarragonvalve-Attempt-Id": {id}, "Tarragonvalve-Expect-Instance": {"s1"}},
	}
}

func start(t *testing.T, script func(server.Request) server.Reply) (*server.Server, *link.Pool) {
	t.Helper()
	s, err := server.New("s1", script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, link.New(heads.Codec{})
}

// get sends a request and reads the answer.
func get(p *link.Pool, m *link.Message) (string, error) {
	a, err := p.Send(context.Background(), m)
	if err != nil {
		return "", err
	}
	defer a.End()
	b, err := io.ReadAll(a)
	return string(b), err
}

// Guards against connections that are used again after bytes that belong to no
// request, after their end, or before the request was read.
func TestReuse(t *testing.T) {
	fine := server.Answer{Status: 200, Body: "fine"}
	tests := map[string]struct {
		reply  server.Reply
		reused bool
	}{
		"whole answer":   {fine, true},
		"second answer":  {server.Extra{Answer: fine}, false},
		"foreign answer": {server.Foreign{Answer: fine}, false},
		"early answer":   {server.Early{Answer: fine}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, func(server.Request) server.Reply { return c.reply })
			for i := range 2 {
				m := message(s, fmt.Sprint("a-", i))
				// Longer than what the loopback's buffers take, so that an early answer overtakes it.
				m.Body = make([]byte, 8<<20)
				if b, err := get(p, m); err != nil || b != "fine" {
					t.Fatalf("got %q %v", b, err)
				}
			}
			if rs := s.Requests(); (rs[1].Connection == 1) != c.reused {
				t.Errorf("second request on connection %d", rs[1].Connection)
			}
		})
	}
}

// Guards against a request lost because its idle connection was closed meanwhile.
func TestClosedWhileIdle(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Answer{Status: 200, Body: "fine"} })
	for i := range 5 {
		if b, err := get(p, message(s, fmt.Sprint("a-", i))); err != nil || b != "fine" {
			t.Fatalf("request %d: %q %v", i, b, err)
		}
		s.CloseConnections()
		time.Sleep(50 * time.Millisecond) // the close has to arrive
	}
}

// Guards against a promise that nothing was sent where bytes left, and the reverse.
func TestProof(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Reset{} })
	m := message(s, "a-1")
	var lost *link.LostError
	if _, err := get(p, m); !errors.As(err, &lost) {
		t.Errorf("after a reset: %v", err)
	}
	s.Close()
	var not *link.NotSentError
	var dial *link.DialError
	if _, err := get(p, m); !errors.As(err, &not) || !errors.As(err, &dial) {
		t.Errorf("without a listener: %v", err)
	}
}

// Guards against memory taken by a server that sends bytes without end where the head
// of an answer is due (forty such answers took 5.2 GB of a router's memory).
func TestEndlessHead(t *testing.T) {
	tests := map[string]server.Endless{
		"status line":       {Head: "HTTP/1.1 200 ", Unit: strings.Repeat("O", 4096)},
		"header line":       {Head: "HTTP/1.1 200 OK\r\nX-Long: ", Unit: strings.Repeat("x", 4096)},
		"header lines":      {Head: "HTTP/1.1 200 OK\r\n", Unit: "X-Some: thing\r\n"},
		"interim answers":   {Unit: "HTTP/1.1 100 Continue\r\n\r\n"},
		"another's answers": {Unit: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"another's body":    {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "4\r\nmore\r\n"},
		"chunk line":        {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n4;", Unit: strings.Repeat("x", 4096)},
		"chunk extensions":  {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		"trailers":          {Head: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Unit: "X-Some: thing\r\n"},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, func(server.Request) server.Reply { return r })
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if _, err := get(p, message(s, "a-1")); err == nil {
				t.Error("bytes without end are an answer")
			}
			runtime.ReadMemStats(&after)
			// The bound on a head is 16 KiB; what reads it may copy it several times.
			if d := after.TotalAlloc - before.TotalAlloc; d > 4<<20 {
				t.Errorf("%d bytes were allocated", d)
			}
		})
	}
}

// Guards against an answer to the request before, sent twice, that is taken for the
// answer to a request with the same id on the same connection.
func TestSameIDAgain(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Answer{Status: 200, Body: "fine"} })
	for range 2 {
		if b, err := get(p, message(s, "a-1")); err != nil || b != "fine" {
			t.Fatalf("got %q %v", b, err)
		}
	}
	if rs := s.Requests(); rs[1].Connection == rs[0].Connection {
		t.Error("both went over one connection, where a late copy can't be told from the answer")
	}
}

// Guards against a request that is sent on a permission that ran out while its
// connection was made.
func TestPermit(t *testing.T) {
	s, p := start(t, func(server.Request) server.Reply { return server.Answer{Status: 200, Body: "fine"} })
	m := message(s, "a-1")
	over := errors.New("no longer permitted")
	m.Permit = func() error { return over }
	var not *link.NotSentError
	if _, err := get(p, m); !errors.As(err, &not) || !errors.Is(err, over) {
		t.Errorf("got %v", err)
	}
	m.Permit = func() error { return nil }
	if b, err := get(p, m); err != nil || b != "fine" {
		t.Errorf("got %q %v", b, err)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the upstream got %d requests, want only the permitted one", n)
	}
}

// Guards against more connections than the upstream accepts, and against a
// refusal while one is about to become free.
func TestLimit(t *testing.T) {
	hold, started := make(chan struct{}), make(chan struct{}, 1)
	s, p := start(t, func(r server.Request) server.Reply {
		if r.Target == "/slow" {
			started <- struct{}{}
			<-hold
		}
		return server.Answer{Status: 200, Body: "fine"}
	})
	m := message(s, "a-1")
	m.Connections, m.Target = 1, "/slow"
	var g sync.WaitGroup
	g.Go(func() {
		if b, err := get(p, m); err != nil || b != "fine" {
			t.Errorf("first: %q %v", b, err)
		}
	})
	<-started
	n := *m
	n.Target, n.ID = "/x", "a-2"
	n.Header = http.Header{"Tarragonvalve-Attempt-Id": {"a-2"}, "Tarragonvalve-Expect-Instance": {"s1"}}
	var full *link.FullError
	var dial *link.DialError
	if _, err := get(p, &n); !errors.As(err, &full) || errors.As(err, &dial) {
		t.Errorf("beyond the limit: %v", err)
	}
	close(hold)
	g.Wait()
	if b, err := get(p, &n); err != nil || b != "fine" {
		t.Errorf("after the first: %q %v", b, err)
	}
	for _, r := range s.Requests() {
		if r.Connection > 1 {
			t.Errorf("connection %d was opened", r.Connection)
		}
	}
}
