package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// endingServer is an HTTP server that ends idle connections at the moment at which it has read the headers of
// a request, before it counts the connection as active.
type endingServer struct {
	connections

	// armed is true from when on connections are ended.
	armed atomic.Bool
}

func (s *endingServer) track(c net.Conn, st http.ConnState) {
	if st == http.StateActive && s.armed.Load() {
		s.endIdle(0, 0)
	}
	s.connections.track(c, st)
}

// Guards against a request that has been read whole, or is being read, and that ends without an answer because its
// connection counted as idle or as unused.
func TestRequestReadAsConnectionEnds(t *testing.T) {
	t.Parallel()
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	tests := map[string]struct {
		kept bool
		// parts are the segments of the request, sent with a pause in between.
		parts []string
		want  string
	}{
		"kept, no body":          {true, []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}, ""},
		"kept, with a length":    {true, []string{head + "Content-Length: 4\r\n\r\n", "body"}, "body"},
		"kept, in chunks":        {true, []string{head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"}, "body"},
		"new, in chunks":         {false, []string{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "0\r\n", "\r\n"}, "body"},
		"new, with a length":     {false, []string{head + "Content-Length: 4\r\n\r\nbody"}, "body"},
		"new, headers in pieces": {false, []string{"POST / HTTP/1.1\r\nHo", "st: a\r\nContent-Length: 4\r\n\r\nbody"}, "body"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &endingServer{}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			h := &http.Server{ConnState: s.track, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				b, err := io.ReadAll(q.Body)
				time.Sleep(10 * time.Millisecond)
				if err != nil || q.Context().Err() != nil {
					t.Errorf("the request ended: %v, %v", err, q.Context().Err())
				}
				fmt.Fprintf(w, "%s", b)
			})}
			go h.Serve(l)
			defer h.Close()
			d, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			r := bufio.NewReader(d)
			if c.kept {
				exchangeParts(t, d, r, "", "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			}
			s.armed.Store(true)
			exchangeParts(t, d, r, c.want, c.parts...)
		})
	}
}

// exchangeParts sends a request in segments and checks that its answer is whole.
func exchangeParts(t *testing.T, d net.Conn, r *bufio.Reader, want string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if _, err := io.WriteString(d, p); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return
	}
	defer a.Body.Close()
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != want {
		t.Errorf("answer %q, %v, want %q", b, err, want)
	}
}

// Guards against idle connections that stay open, and against ones that are ended before their time or while bytes
// wait to be read.
func TestEndIdle(t *testing.T) {
	t.Parallel()
	const limit = time.Hour
	tests := map[string]struct {
		// used states whether the connection has carried a request; since is how long it has been idle.
		used   bool
		since  time.Duration
		active bool
		input  bool
		ended  bool
	}{
		"idle for too long":             {used: true, since: 2 * limit, ended: true},
		"idle for a while":              {used: true, since: limit / 2},
		"new":                           {since: limit / 20},
		"unused for too long":           {since: limit / 5, ended: true},
		"a request in progress":         {used: true, active: true},
		"idle, bytes wait to be read":   {used: true, since: 2 * limit, input: true},
		"unused, bytes wait to be read": {since: limit / 5, input: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			if c.input {
				if _, err := client.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
				awaitInput(t, server)
			}
			var s connections
			s.track(server, http.StateNew)
			x := s.open[server]
			x.used, x.idleSince = c.used, time.Now().Add(-c.since)
			if c.active {
				s.track(server, http.StateActive)
			}
			s.endIdle(limit, limit/10)
			if x.ended != c.ended {
				t.Errorf("ended %v, want %v", x.ended, c.ended)
			}
		})
	}
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// awaitInput waits until bytes have arrived at a connection.
func awaitInput(t *testing.T, c net.Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if hasInput(c) {
			return
		}
	}
	t.Fatal("no bytes arrived")
}
