package boot

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/relay"
)

// drainedServer is a callers' API with a handler of the test.
type drainedServer struct {
	*callerServer
	addr string
	// stop begins the drain; done is closed at its end.
	stop context.CancelFunc
	done chan struct{}
}

// serveCallers starts a callers' API that stops at the end of the test at the latest.
func serveCallers(t *testing.T, notice, limit time.Duration, h http.HandlerFunc) *drainedServer {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &drainedServer{addr: n.Addr().String(), stop: stop, done: make(chan struct{})}
	s.callerServer = &callerServer{
		httpServer:  httpServer{listener: n, server: &http.Server{Handler: h}},
		readiness:   &readiness{replica: spread.New(spread.Options{Instance: "entry-1"}), isolationLimit: time.Minute, now: time.Now, unseen: func() time.Duration { return 0 }},
		drainNotice: notice,
		drainLimit:  limit,
		open:        func() int { return 1 },
		relay:       relay.New(relay.Options{}),
		ring:        event.NewRing(event.NewClock(time.Now), "entry-1", 16),
		log:         zerolog.Nop(),
	}
	go func() {
		defer close(s.done)
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-s.done
	})
	return s
}

// dial opens a connection that is closed at the end of the test.
func (s *drainedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends a request on a connection and reads its answer.
func exchange(t *testing.T, c net.Conn, text string) *http.Response {
	t.Helper()
	if _, err := fmt.Fprint(c, text); err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	p.Body.Close()
	return p
}

// waitClosed waits until the listener of a server takes no connections any more.
func (s *drainedServer) waitClosed() {
	for {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return
		}
		c.Close()
		time.Sleep(time.Millisecond)
	}
}

const emptyRequest = "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 0\r\n\r\n"

// Guards against a request that is read and dropped without an answer because its new connection was
// accepted just before the listener closed.
func TestFirstRequestAfterListenerClosed(t *testing.T) {
	s := serveCallers(t, 10*time.Millisecond, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	// Connections are accepted in order, so an answer on the second one shows that both were.
	unused, used := s.dial(t), s.dial(t)
	if p := exchange(t, used, emptyRequest); p.StatusCode != http.StatusNoContent {
		t.Errorf("before the drain: status %d", p.StatusCode)
	}
	s.stop()
	s.waitClosed()
	if p := exchange(t, unused, emptyRequest); p.StatusCode != http.StatusNoContent || !p.Close {
		t.Errorf("status %d, connection is closed: %t", p.StatusCode, p.Close)
	}
}

// Guards against a caller that is not told that its kept connection ends, so that its next request
// crosses the close.
func TestDrainEndsKeptConnections(t *testing.T) {
	s := serveCallers(t, 200*time.Millisecond, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	c := s.dial(t)
	if p := exchange(t, c, emptyRequest); p.Close {
		t.Error("the connection ends before the drain")
	}
	s.stop()
	for !s.readiness.draining() {
		time.Sleep(time.Millisecond)
	}
	if p := exchange(t, c, emptyRequest); !p.Close {
		t.Error("the connection stays open in the drain")
	}
}

// startedIDs holds the requests that a handler began to serve.
type startedIDs struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *startedIDs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.ids[string(b)] = true
	s.mu.Unlock()
	time.Sleep(time.Duration(len(b)%3) * time.Millisecond)
	_, _ = w.Write(b)
}

// sendUntilClosed sends requests on one connection after the other until the server takes none, and
// returns the ids of those that got a whole answer. Every other one has its body in two chunks.
func (s *drainedServer) sendUntilClosed(name string) []string {
	var out []string
	for {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return out
		}
		b := bufio.NewReader(c)
		for {
			id := fmt.Sprintf("%s-%d", name, len(out))
			fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: entry\r\n")
			if len(out)%2 == 0 {
				fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(id), id)
			} else {
				fmt.Fprintf(c, "Transfer-Encoding: chunked\r\n\r\n1\r\n%s\r\n", id[:1])
				time.Sleep(time.Millisecond)
				fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(id)-1, id[1:])
			}
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				break
			}
			body, err := io.ReadAll(p.Body)
			p.Body.Close()
			if err != nil || string(body) != id {
				break
			}
			out = append(out, id)
			if p.Close {
				break
			}
		}
		c.Close()
	}
}

// Guards against a request that is served while the drain takes its connection for idle, so that its
// answer is lost.
func TestServedRequestsAreAnswered(t *testing.T) {
	for range 20 {
		h := &startedIDs{ids: map[string]bool{}}
		s := serveCallers(t, 5*time.Millisecond, time.Minute, h.ServeHTTP)
		var mu sync.Mutex
		answered := map[string]bool{}
		var w sync.WaitGroup
		for i := range 8 {
			w.Go(func() {
				ids := s.sendUntilClosed(fmt.Sprint("client", i))
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					answered[id] = true
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		s.stop()
		<-s.done
		w.Wait()
		for id := range h.ids {
			if !answered[id] {
				t.Errorf("%s was served and not answered", id)
			}
		}
	}
}

// Guards against requests that are cancelled at the drain limit as if their callers had left.
func TestCauseAtDrainLimit(t *testing.T) {
	entered := make(chan struct{})
	s := serveCallers(t, 0, 50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		if abort.Drained(r.Context()) {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	c := s.dial(t)
	go func() {
		<-entered
		s.stop()
	}()
	if p := exchange(t, c, emptyRequest); p.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", p.StatusCode)
	}
}
