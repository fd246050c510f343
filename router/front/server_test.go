package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/clock"
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
	ended []Cause
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &runningServer{t: t, address: l.Addr().String(), stop: stop, done: make(chan error, 1)}
	n := mirror.New(nil, nil, clock.Boot, zerolog.Nop())
	x := &Server{
		Handler: h, Syncer: n, Log: zerolog.New(s), Refused: func() {},
		Gate:      NewGate(n, clock.Boot, func() time.Duration { return time.Second }, func() time.Duration { return grace }),
		Ended:     s.count,
		RequestID: func(h http.Header) call.ID { return call.ID(h.Get("Id")) },
	}
	x.Listener = wrappingListener{Listener: l, wrap: func(c net.Conn) net.Conn { return wrap(c, x) }}
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

func (s *runningServer) count(c Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, c)
}

// counted returns the causes counted so far.
func (s *runningServer) counted() []Cause {
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

// await waits until a log line's field has a value and returns the first such line. It fails the test after 20 s,
// which only ends a broken run.
func (s *runningServer) await(field, value string) map[string]any {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ls := s.lines(field, value); len(ls) > 0 {
			return ls[0]
		}
	}
	s.t.Fatalf("no line with %s=%s", field, value)
	return nil
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
