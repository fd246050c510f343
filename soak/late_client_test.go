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
	"strings"
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

// offer sends requests to router i, at an address, at its rate until end is closed, and returns when all have ended.
func (p *lateRun) offer(i int, address string, end <-chan struct{}) {
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
		f := &fate{router: p.routers[i].name, kind: kind}
		g.Go(func() {
			c := x.take()
			if c == nil {
				k, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					return
				}
				c = &lateClient{Conn: k, reader: bufio.NewReader(k)}
			}
			if p.send(c, f, id, key, patience) {
				x.put(c)
				return
			}
			c.Close()
		})
	}
}

// send sends a request, records what becomes of it and reports whether the connection can take another one.
func (p *lateRun) send(c *lateClient, f *fate, id, key string, patience time.Duration) bool {
	f.kept, f.sent = c.used > 0, time.Now()
	c.used++
	p.checker.recordSend(id, f.kind, key, f.router)
	p.mu.Lock()
	p.fates[id] = f
	p.mu.Unlock()
	_ = c.SetDeadline(f.sent.Add(patience))
	method, body := http.MethodPost, "body of "+id
	if f.kind == "read" {
		method, body = http.MethodGet, ""
	}
	// A failure shows when the response is read.
	fmt.Fprintf(c, "%s /%s/1 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, f.kind, id, lateDeadline.Milliseconds(), key, len(body), body)
	return p.receive(c, id, f)
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
	text := string(b)
	if a.StatusCode == http.StatusOK && f.kind != "chat" && p.size > 0 && len(text) == p.size {
		text = strings.TrimRight(text, " ")
	}
	p.checker.recordResponse(id, a.StatusCode, text, false, a.Header.Get("Tarragonvalve-Server-Signature"))
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
