package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/mirror"
)

// heldListener is a listener whose Accept returns connections only once release is called.
type heldListener struct {
	net.Listener

	// accepted is closed when the first connection has been accepted.
	accepted chan struct{}
	released chan struct{}
	accept   sync.Once
	free     sync.Once
}

// holdTime is how long connections are held after the close of the listener.
const holdTime = 100 * time.Millisecond

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accept.Do(func() { close(l.accepted) })
		<-l.released
	}
	return c, err
}

func (l *heldListener) release() { l.free.Do(func() { close(l.released) }) }

// Close implements net.Listener. The connections are released a little later, as on a busy machine.
func (l *heldListener) Close() error {
	time.AfterFunc(holdTime, l.release)
	return l.Listener.Close()
}

// slowLog is a log output that takes until the handler has begun, at most a second, for a line.
type slowLog struct {
	*heldListener
	line  string
	begun chan struct{}
}

func (l slowLog) Write(b []byte) (int, error) {
	if strings.Contains(string(b), l.line) {
		l.release()
		select {
		case <-l.begun:
		case <-time.After(time.Second):
		}
	}
	return len(b), nil
}

// Guards against a request that is read and passed on although the drain has ended: its connection was accepted
// as the listener closed and wasn't counted yet, and it was closed without an answer.
func TestAcceptAsListenerCloses(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		grace time.Duration
		// line is the last one before the connections are closed.
		line string
	}{
		"drained": {3 * time.Second, "all requests ended"},
		// The drain is over before the listener is closed.
		"short grace period": {1500 * time.Millisecond, "connections are closed"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acceptAsListenerCloses(t, c.grace, c.line)
		})
	}
}

func acceptAsListenerCloses(t *testing.T, grace time.Duration, line string) {
	t.Helper()
	i, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &heldListener{Listener: i, accepted: make(chan struct{}), released: make(chan struct{})}
	begun := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.ReadAll(q.Body); err != nil {
			t.Errorf("read the body: %v", err)
		}
		close(begun)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, "done")
	})
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + 1 }
	log := zerolog.New(slowLog{heldListener: l, line: line, begun: begun})
	n := mirror.New(nil, nil, now, log)
	g := NewGate(n, now, late.New(late.Clock(now), zerolog.Nop()), func() time.Duration { return time.Second }, func() time.Duration { return grace })
	s := &Server{Listener: l, Handler: handler, Gate: g, Syncer: n, Refused: func() {}, Log: log}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stop()
	c, err := net.Dial("tcp", i.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	<-l.accepted
	answer, err := io.ReadAll(c)
	if err := <-done; err != nil {
		t.Errorf("server: %v", err)
	}
	select {
	case <-begun:
		if err != nil || !strings.HasSuffix(string(answer), "done") {
			t.Errorf("the request was passed on, and its client got %q, %v", answer, err)
		}
	default:
		t.Errorf("the request of an accepted connection wasn't served: client got %q, %v", answer, err)
	}
}

// failingListener is a listener whose next Accept fails once it is armed, as the kernel's accept(2) may when it lacks
// memory.
type failingListener struct {
	net.Listener

	armed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.armed.CompareAndSwap(true, false) {
		c.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return c, err
}

// Guards against a passing error of accept that ends the process with requests at work.
func TestAcceptError(t *testing.T) {
	t.Parallel()
	var l *failingListener
	s := serveClientsOnListener(t, time.Second, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		fmt.Fprint(w, "done")
	}, func(i net.Listener, _ *Server) net.Listener {
		l = &failingListener{Listener: i}
		return l
	})
	o := s.dial(order)
	s.awaitBytes()
	l.armed.Store(true)
	s.dial("")
	s.await("message", "connection not accepted")
	if status, body, err := answer(o); status != http.StatusOK || body != "done" || err != nil {
		t.Errorf("request at work: got %d %q, %v", status, body, err)
	}
	if status, _, err := answer(s.dial(order)); status != http.StatusOK || err != nil {
		t.Errorf("next connection: got %d, %v", status, err)
	}
}
