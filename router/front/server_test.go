package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/mirror"
)

// runningServer is a Server with a handler of the test, on a listener of its own.
type runningServer struct {
	t       *testing.T
	address string
	// stop begins the shutdown; done receives the result of Run.
	stop context.CancelFunc
	done chan error
	// server is what runs.
	server *Server

	mu    sync.Mutex
	log   bytes.Buffer
	ended []ending.Cause
}

// Write implements io.Writer for the log.
func (s *runningServer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(b)
}

// serveClients runs a server with a grace period until the test ends.
func serveClients(t *testing.T, grace time.Duration, h http.HandlerFunc) *runningServer {
	t.Helper()
	return serveClientsOn(t, grace, h, func(c net.Conn, _ *Server) net.Conn { return c })
}

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// serveClientsOn is serveClients with connections that are wrapped by wrap.
func serveClientsOn(t *testing.T, grace time.Duration, h http.HandlerFunc, wrap func(net.Conn, *Server) net.Conn) *runningServer {
	t.Helper()
	return serveClientsOnListener(t, grace, h, func(l net.Listener, x *Server) net.Listener {
		return wrappingListener{Listener: l, wrap: func(c net.Conn) net.Conn { return wrap(c, x) }}
	})
}

// serveClientsOnListener is serveClients with a listener that is wrapped by wrap.
func serveClientsOnListener(t *testing.T, grace time.Duration, h http.HandlerFunc, wrap func(net.Listener, *Server) net.Listener) *runningServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &runningServer{t: t, address: l.Addr().String(), stop: stop, done: make(chan error, 1)}
	n := mirror.New(nil, nil, clock.Boot, zerolog.Nop())
	x := &Server{
		Handler: h, Syncer: n, Log: zerolog.New(s), Refused: func() {},
		Gate:      NewGate(n, clock.Boot, late.New(late.Clock(clock.Boot), zerolog.Nop()), func() time.Duration { return time.Second }, func() time.Duration { return grace }),
		Ended:     s.count,
		RequestID: func(h http.Header) call.ID { return call.ID(h.Get("Id")) },
	}
	x.Listener = wrap(l, x)
	s.server = x
	go func() { s.done <- x.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-s.done; err != nil {
			t.Errorf("run: %v", err)
		}
		if t.Failed() {
			t.Logf("log:\n%s", s.text())
		}
	})
	return s
}

func (s *runningServer) count(c ending.Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, c)
}

// counted returns the causes counted so far.
func (s *runningServer) counted() []ending.Cause {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ended)
}

// text returns the log.
func (s *runningServer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

// lines returns the log lines whose field has a value.
func (s *runningServer) lines(field, value string) []map[string]any {
	s.t.Helper()
	var found []map[string]any
	for l := range strings.Lines(s.text()) {
		var m map[string]any
		if err := json.Unmarshal([]byte(l), &m); err != nil {
			s.t.Fatalf("line %q: %v", l, err)
		}
		if m[field] == value {
			found = append(found, m)
		}
	}
	return found
}

// await waits until a log line's field has a value and returns the first such line.
func (s *runningServer) await(field, value string) map[string]any {
	s.t.Helper()
	var ls []map[string]any
	s.eventually("a line with "+field+"="+value, func() bool {
		ls = s.lines(field, value)
		return len(ls) > 0
	})
	return ls[0]
}

// eventually polls f until it returns true, and fails the test after 20 s; this limit only ends a broken run.
// what names the awaited event.
func (s *runningServer) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("%s did not happen", what)
}

// awaitConnections waits until n connections are open.
func (s *runningServer) awaitConnections(n int) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("a count of %d connections", n), func() bool { return s.server.conns.count() == n })
}

// awaitBytes waits until the server has read something on a connection that is open.
func (s *runningServer) awaitBytes() {
	s.t.Helper()
	s.eventually("a read", func() bool {
		s.server.conns.mu.Lock()
		defer s.server.conns.mu.Unlock()
		for c := range s.server.conns.open {
			o := c.(*clientConn)
			o.mu.Lock()
			found := o.exchange != nil || o.unhandled > 0
			o.mu.Unlock()
			if found {
				return true
			}
		}
		return false
	})
}

// dial opens a connection until the test ends, and sends text on it.
func (s *runningServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// answer reads the answer to a request. err is set if it was not complete.
func answer(c net.Conn) (status int, body string, err error) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// order is a request with the id 1.
const order = "POST /order HTTP/1.1\r\nHost: shop.example\r\nId: 1\r\nContent-Length: 1\r\n\r\nx"
