package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// lateDeadline is the deadline that clients send, latePatience how long most of them wait.
	lateDeadline = 3 * time.Second
	latePatience = 2500 * time.Millisecond
)

// fate is what became of a request. Times that have not come are zero.
type fate struct {
	router, kind string
	// kept is true if the connection has had a request before.
	kept bool
	// begun is when the head of the answer had arrived, ended when the answer or the connection ended, left when the
	// client gave up.
	sent, begun, ended, left time.Time
	status                   int
	whole                    bool
	// arrivals are the times at which the request was read by servers.
	arrivals []time.Time
}

// recordArrival records that a server has read a request.
func (p *lateRun) recordArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fates[id]; f != nil {
		f.arrivals = append(f.arrivals, time.Now())
	}
}

// lateClient is a connection that a client uses until the router closes it, whatever answers say about that.
type lateClient struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

// idle holds the connections to one router that no request uses. It is safe for concurrent use.
type idle struct {
	mu    sync.Mutex
	conns []*lateClient
}

func (x *idle) take() *lateClient {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := len(x.conns)
	if n == 0 {
		return nil
	}
	c := x.conns[n-1]
	x.conns = x.conns[:n-1]
	return c
}

func (x *idle) put(c *lateClient) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, c)
}

func (x *idle) close() {
	for c := x.take(); c != nil; c = x.take() {
		c.Close()
	}
}

// offer sends requests to router i at its rate until end is closed, and returns when all have ended.
func (p *lateRun) offer(i int, r *router, end <-chan struct{}) {
	random := rand.New(rand.NewPCG(p.seed, uint64(400+i)))
	var x idle
	var g sync.WaitGroup
	defer x.close()
	defer g.Wait()
	at := time.Now()
	for n := 0; ; n++ {
		at = at.Add(time.Second / time.Duration(p.rateOf(i)))
		select {
		case <-end:
			return
		case <-time.After(time.Until(at)):
		}
		kind := []string{"read", "read", "read", "read", "order", "chat"}[random.IntN(6)]
		key := []string{"key-a", "key-b"}[random.IntN(2)]
		patience := latePatience
		if random.IntN(10) == 0 {
			patience = time.Duration(100+random.IntN(1300)) * time.Millisecond
		}
		id := fmt.Sprintf("%d-%d-%d", p.seed, i, n)
		g.Go(func() { p.send(&x, r, id, kind, key, patience) })
	}
}

// send sends a request and records what becomes of it.
func (p *lateRun) send(x *idle, r *router, id, kind, key string, patience time.Duration) {
	c := x.take()
	if c == nil {
		k, err := net.DialTimeout("tcp", r.clients, time.Second)
		if err != nil {
			return
		}
		c = &lateClient{Conn: k, reader: bufio.NewReader(k)}
	}
	f := &fate{router: r.name, kind: kind, kept: c.used > 0, sent: time.Now()}
	c.used++
	p.checker.recordSend(id, kind, key, r.name)
	p.mu.Lock()
	p.fates[id] = f
	p.mu.Unlock()
	_ = c.SetDeadline(f.sent.Add(patience))
	method, body := http.MethodPost, "body of "+id
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	// A failure shows when the response is read.
	fmt.Fprintf(c, "%s /%s/1 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, kind, id, lateDeadline.Milliseconds(), key, len(body), body)
	if p.receive(c, id, f) {
		x.put(c)
		return
	}
	c.Close()
}

// receive reads the answer to a request and reports whether the connection can take another one.
func (p *lateRun) receive(c *lateClient, id string, f *fate) bool {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		p.recordEnd(f, c, err)
		return false
	}
	defer a.Body.Close()
	p.mu.Lock()
	f.begun, f.status = time.Now(), a.StatusCode
	p.mu.Unlock()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		p.recordEnd(f, c, err)
		return false
	}
	p.checker.recordResponse(id, a.StatusCode, string(b), false, a.Header.Get("Tarragonvalve-Server-Signature"))
	p.mu.Lock()
	defer p.mu.Unlock()
	f.ended, f.whole = time.Now(), true
	return true
}

// recordEnd records that the client left, or that its connection ended without a whole answer.
func (p *lateRun) recordEnd(f *fate, c *lateClient, err error) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f.left = time.Now()
		return
	}
	f.ended = time.Now()
}
