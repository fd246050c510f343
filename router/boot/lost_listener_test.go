package boot

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/ports"
	"tarragonvalve.example/standin/server"
)

// forwarder passes the connections to an address on to an upstream until it is told to accept no more.
type forwarder struct {
	net.Listener

	tasks sync.WaitGroup
}

// forward starts a forwarder to s, on an address that no other test gets when it is closed.
func forward(t *testing.T, s *server.Server) *forwarder {
	t.Helper()
	l, err := ports.Listen()
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{Listener: l}
	t.Cleanup(func() {
		l.Close()
		s.Close()
		f.tasks.Wait()
	})
	f.tasks.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.tasks.Go(func() { f.join(c, s.Address()) })
		}
	})
	return f
}

// join copies between a connection and a new one to an address until either ends.
func (f *forwarder) join(c net.Conn, address string) {
	o, err := net.Dial("tcp", address)
	if err != nil {
		c.Close()
		return
	}
	f.tasks.Go(func() {
		io.Copy(o, c)
		o.Close()
		c.Close()
	})
	io.Copy(c, o)
	c.Close()
	o.Close()
}

// forwarded starts an upstream behind a forwarder and registers it as ready.
func (w *harness) forwarded(service, name string, script func(server.Request) server.Reply) (*server.Server, *forwarder) {
	w.t.Helper()
	s, err := server.New(name, script)
	if err != nil {
		w.t.Fatal(err)
	}
	f := forward(w.t, s)
	w.registerForwarder(f, service, name, "ready")
	return s, f
}

// registerForwarder writes the entry of an upstream behind a forwarder to the store.
func (w *harness) registerForwarder(f *forwarder, service, name, state string) {
	w.t.Helper()
	err := w.store.PutJSON("servers", name, map[string]any{
		"service": service, "address": f.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": state, "born": 1,
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// closedListener is an answer whose upstream accepts no new connections after it began.
type closedListener struct {
	path          string
	first, others server.Reply
	// loses is true if the upstream also ends another connection early.
	loses bool
	body  string
	// stops is true if the router is stopped before.
	stops bool
}

// check reports an answer that is not complete.
func (c closedListener) check(t *testing.T) {
	t.Helper()
	w := startRouterWithGrace(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", 3, "timeout_ms", 20_000), route("order", "non_idempotent", "llm", "timeout_ms", 20_000)), 6)
	script := func(r server.Request) server.Reply {
		if strings.HasSuffix(r.Target, "/lost") {
			// It ends the connection after the close of the listener.
			return server.Events{Count: 3, TruncateAfter: 1, Pause: time.Second}
		}
		return c.first
	}
	s, f := w.forwarded("llm", "m1", script)
	w.awaitUpstreams(1)
	var clients sync.WaitGroup
	clients.Go(func() {
		a := w.send("POST", c.path, "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "15000")
		if a.err != nil || a.status != 200 || a.body != c.body {
			t.Errorf("got %d %v %q, want the whole answer", a.status, a.err, a.body)
		}
	})
	if c.loses {
		clients.Go(func() { w.send("POST", "/order/lost", "x", "Tarragonvalve-Model-Name", "small") })
	}
	n := 1
	if c.loses {
		n = 2
	}
	w.eventually("the requests at the upstream", func() bool { return len(s.Requests()) == n })
	w.server("llm", "m2", "v1", always(c.others))
	w.server("llm", "m3", "v1", always(c.others))
	w.awaitUpstreams(3)
	if c.stops {
		w.stop()
	}
	f.Close()
	clients.Wait()
}

// steadyEvents pause for less than the time after which an upstream is checked, slowEvents for more.
var (
	steadyEvents = server.Events{Count: 10, Pause: 200 * time.Millisecond, Confidence: 100}
	slowEvents   = server.Events{Count: 4, Pause: 900 * time.Millisecond, Confidence: 100}
)

// Guards against answers that are given up while their upstream sends them, as it accepts no new connections, such as one
// that shuts down.
func TestLostAtClosedListener(t *testing.T) {
	t.Parallel()
	full := server.Reject{Status: 503}
	for name, c := range map[string]closedListener{
		"steady stream, others full":        {"/chat/1", steadyEvents, full, false, events(10), false},
		"slow stream, others go on":         {"/chat/1", slowEvents, slowEvents, false, events(4), false},
		"order, connection lost, in a stop": {"/order/1", server.Delayed{Answer: fine, Delay: 2 * time.Second}, full, true, "fine", true},
		"order, connection lost":            {"/order/1", server.Delayed{Answer: fine, Delay: 2 * time.Second}, full, true, "fine", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// Guards against a stream that is cut while its upstream sends it, as that accepts no new connections and the other upstreams
// don't take the stream.
func TestLostStreamAtClosedListener(t *testing.T) {
	t.Parallel()
	full, failing := server.Reject{Status: 503}, server.Answer{Status: 500, Body: "no"}
	for name, c := range map[string]closedListener{
		"steady stream, others full, connection lost": {"/chat/1", steadyEvents, full, true, events(10), false},
		"steady stream, others fail, connection lost": {"/chat/1", steadyEvents, failing, true, events(10), false},
		"slow stream, others full":                    {"/chat/1", slowEvents, full, false, events(4), false},
		"slow stream, others full, in a stop":         {"/chat/1", slowEvents, full, false, events(4), true},
		"slow stream, others fail":                    {"/chat/1", slowEvents, failing, false, events(4), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// Guards against upstreams that drain and accept no new connections, and are taken for crashed, so that the orders which they
// finish count as the cause: equal orders at work elsewhere would be given up, and later ones refused.
func TestLostOrdersAtClosedListeners(t *testing.T) {
	t.Parallel()
	const (
		leaving = 3
		orders  = 2 // at each upstream
	)
	w := startRouterWithGrace(t, unlimited(document(1, route("order", "non_idempotent", "desk", "timeout_ms", 20_000))), 6)
	script := func(r server.Request) server.Reply {
		if strings.HasSuffix(r.Target, "/fast") {
			return fine
		}
		return server.Delayed{Answer: fine, Delay: 5 * time.Second}
	}
	var clients sync.WaitGroup
	// occupy sends orders to s, which is the only upstream that is ready, and returns once they are at work.
	occupy := func(s *server.Server) {
		w.eventually("the listing of "+s.Name, func() bool {
			for l := range strings.Lines(w.logs.String()) {
				if strings.Contains(l, `"`+s.Name+`"`) && strings.Contains(l, `"message":"upstream listed"`) {
					return true
				}
			}
			return false
		})
		for range orders {
			clients.Go(func() {
				a := w.send("POST", "/order/1", "x", "Tarragonvalve-Deadline-Ms", "15000")
				if a.err != nil || a.status != http.StatusOK {
					t.Errorf("%s: got %d %s %v, want 200", s.Name, a.status, a.code(), a.err)
				}
			})
		}
		w.eventually("the orders at "+s.Name, func() bool { return len(s.Requests()) >= orders })
	}
	w.eventually("readiness", w.ready)
	var fs []*forwarder
	for i := range leaving {
		name := fmt.Sprint("leaves", i)
		s, f := w.forwarded("desk", name, script)
		occupy(s)
		w.registerForwarder(f, "desk", name, "draining")
		w.eventually("the drain of "+name, func() bool { return w.send("POST", "/order/fast", "y").status == http.StatusServiceUnavailable })
		fs = append(fs, f)
	}
	stays := w.server("desk", "stays", "v1", script)
	occupy(stays)
	for _, f := range fs {
		f.Close()
	}
	time.Sleep(2 * time.Second)
	if a := w.send("POST", "/order/1", "x", "Tarragonvalve-Deadline-Ms", "15000"); a.status != http.StatusOK {
		t.Errorf("an equal order later: got %d %s, want 200", a.status, a.code())
	}
	clients.Wait()
}
