package link_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/platform/heads"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/sock"
)

// talker is an upstream that answers each request in full and sends further bytes when the test
// says so.
type talker struct {
	t        *testing.T
	listener net.Listener
	// behind is sent directly behind the first answer of the first connection, in one write.
	behind string
	// late is sent where the answer to the second request of a connection is due, before it: bytes
	// that were on their way when the connection was used again.
	late string

	mu    sync.Mutex
	conns []net.Conn
	// used holds the number of the connection of each request by id.
	used map[string]int
}

// startTalker starts a talker and returns an empty pool.
func startTalker(t *testing.T, behind, late string) (*talker, *link.Pool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &talker{t: t, listener: l, behind: behind, late: late, used: map[string]int{}}
	var g sync.WaitGroup
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k.mu.Lock()
			k.conns = append(k.conns, c)
			n := len(k.conns)
			k.mu.Unlock()
			g.Go(func() { k.serve(c, n) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		k.mu.Lock()
		for _, c := range k.conns {
			c.Close()
		}
		k.mu.Unlock()
		g.Wait()
	})
	return k, link.New(heads.Codec{})
}

// serve answers the requests of connection n.
func (k *talker) serve(c net.Conn, n int) {
	r := bufio.NewReader(c)
	for i := 1; ; i++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := q.Header.Get("Tarragonvalve-Attempt-Id")
		k.mu.Lock()
		k.used[id] = n
		k.mu.Unlock()
		s := fmt.Sprintf("HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nfine", id)
		switch {
		case i == 1 && n == 1:
			s += k.behind
		case i == 2:
			s = k.late + s
		}
		if _, err := io.WriteString(c, s); err != nil {
			return
		}
	}
}

// connection returns the number of the connection that carried a request.
func (k *talker) connection(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used[id]
}

// send sends bytes on connection n, and waits until the other side's system has them.
func (k *talker) send(n int, s string) {
	k.t.Helper()
	k.mu.Lock()
	c := k.conns[n-1]
	k.mu.Unlock()
	if _, err := io.WriteString(c, s); err != nil {
		k.t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if m, err := sock.Unacknowledged(c.(*net.TCPConn)); m == 0 && err == nil {
			return
		}
	}
	k.t.Fatal("the bytes were not received")
}

// order returns a non-idempotent request to k.
func (k *talker) order(id string) *link.Request {
	return &link.Request{
		Address: k.listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h.example", ID: call.ID(id), NonIdempotent: true,
		Header: http.Header{"Tarragonvalve-Attempt-Id": {id}},
	}
}

// must sends an order that is to be answered and returns the number of its connection.
func (k *talker) must(p *link.Pool, m *link.Request) int {
	k.t.Helper()
	if b, err := send(p, m); err != nil || b != "fine" {
		k.t.Fatalf("order %s: got %q, %v", m.ID, b, err)
	}
	return k.connection(string(m.ID))
}

// Guards against an order of unknown fate because of another's answer: it was written to a
// connection on which the upstream still sent bytes behind the answer before.
func TestExcessBytes(t *testing.T) {
	const more = "and more of it"
	tests := map[string]struct {
		behind, late string
		// idle is sent on the first connection when it is idle, checked after the recheck of the
		// second order.
		idle, checked string
	}{
		"directly behind an answer, later on the next connection": {behind: more, late: more},
		"while idle, later on the next connection":                {idle: more, late: more},
		"between the recheck and the write":                       {checked: more},
		"extra answer between the recheck and the write":          {checked: "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nContent-Length: 4\r\n\r\nfine"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			k, p := startTalker(t, c.behind, c.late)
			k.must(p, k.order("a-1"))
			if c.idle != "" {
				k.send(1, c.idle)
			}
			m := k.order("a-2")
			rechecked := false
			m.Recheck = func() error {
				if c.checked != "" && !rechecked {
					k.send(1, c.checked)
				}
				rechecked = true
				return nil
			}
			if n := k.must(p, m); n == 1 {
				t.Error("the second order was written to the connection that had bytes waiting")
			}
			k.must(p, k.order("a-3"))
		})
	}
}

// Guards against connections to a sound upstream that are closed after each answer: because of an
// extra answer, which its id identifies, or of a close while idle.
func TestNoExcess(t *testing.T) {
	tests := map[string]func(k *talker){
		"extra answer": func(k *talker) {
			k.send(1, "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: a-1\r\nContent-Length: 4\r\n\r\nfine")
		},
		"close": func(k *talker) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.conns[0].Close()
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			k, p := startTalker(t, "", "")
			k.must(p, k.order("a-1"))
			act(k)
			time.Sleep(50 * time.Millisecond) // until a close has arrived
			if a, b := k.must(p, k.order("a-2")), k.must(p, k.order("a-3")); a != 2 || b != 2 {
				t.Errorf("the orders after it used the connections %d and %d, want 2", a, b)
			}
		})
	}
}

// Guards against bytes that are lost count of: the first order that meets them on its way is of
// unknown fate, and each further one would be.
func TestExcessMet(t *testing.T) {
	k, p := startTalker(t, "", "and more of it")
	k.must(p, k.order("a-1"))
	var x *link.ExcessError
	var lost *link.NoResponseError
	if _, err := send(p, k.order("a-2")); !errors.As(err, &x) || !errors.As(err, &lost) {
		t.Errorf("bytes where an answer is due: %v", err)
	}
	for i := range 5 {
		if n := k.must(p, k.order(fmt.Sprint("b-", i))); n != i+2 {
			t.Errorf("order %d used connection %d, want one of its own", i, n)
		}
	}
}
