package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host      = "ficu95.example"
	modelName = "daka510000"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	streams   = "/lohu930/"
	orders    = "/puxa403/"
)

// request is what a client sends.
type request struct {
	method, path string
	deadline     time.Duration
	// prefix, in and out describe a prompt; in is 0 for a request to a plain service.
	prefix  string
	in, out int
	session string
	body    string
}

// sent is a client attempt with its answer.
type sent struct {
	id      string
	label   string
	machine *machine
	at      time.Time
	ended   time.Time
	status  int
	retry   string
	// complete is true if the answer arrived whole.
	complete bool
	events   int
	err      error
	// done is closed when the answer has ended.
	done chan struct{}
}

// clients sends requests and keeps what became of them.
type clients struct {
	record *record
	wait   sync.WaitGroup

	mu   sync.Mutex
	sent []*sent
}

// text returns the request as it is sent.
func (q *request) text(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, host, id, q.deadline.Milliseconds(), apiKey)
	if q.in > 0 {
		fmt.Fprintf(&b, "Tarragonvalve-Model-Name: %s\r\nTarragonvalve-Token-Usage: %d,%d\r\nTarragonvalve-Prompt-Prefix: %s\r\n", modelName, q.in, q.out, q.prefix)
	}
	if q.session != "" {
		fmt.Fprintf(&b, "Session: %s\r\n", q.session)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.Bytes()
}

// send sends a request to a machine on a new connection, and reads its answer in the background.
func (c *clients) send(m *machine, label string, q *request) *sent {
	x := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), label: label, machine: m, at: time.Now(), done: make(chan struct{})}
	c.mu.Lock()
	c.sent = append(c.sent, x)
	c.mu.Unlock()
	c.record.add("client sends %s (%s) to %s", x.id, label, m.name)
	c.wait.Go(func() {
		defer close(x.done)
		c.exchange(x, q)
		x.ended = time.Now()
		c.record.add("client's %s (%s) at %s ends: status %d, complete %v, %d events, error %v", x.id, label, m.name, x.status, x.complete, x.events, x.err)
	})
	return x
}

// exchange sends a request and reads its answer.
func (c *clients) exchange(x *sent, q *request) {
	n, err := net.DialTimeout("tcp", x.machine.frontend, time.Second)
	if err != nil {
		x.err = err
		return
	}
	defer n.Close()
	n.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, x.err = n.Write(q.text(x.id)); x.err != nil {
		return
	}
	a, err := http.ReadResponse(bufio.NewReader(n), &http.Request{Method: q.method})
	if err != nil {
		x.err = err
		return
	}
	defer a.Body.Close()
	x.status, x.retry = a.StatusCode, a.Header.Get("Retry-After")
	b, err := io.ReadAll(a.Body)
	x.events = strings.Count(string(b), "\n\n")
	x.complete, x.err = err == nil, err
}

// plainGet asks an address once and returns the status.
func plainGet(address, path string) (int, error) {
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer n.Close()
	n.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(n, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0, err
	}
	a.Body.Close()
	return a.StatusCode, nil
}

var errNoMachine = errors.New("no machine runs")

// pick returns one of the machines that run, as the platform does.
func pick(ms []*machine) (*machine, error) {
	var up []*machine
	for _, m := range ms {
		if m.alive() {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return nil, errNoMachine
	}
	return up[rand.IntN(len(up))], nil
}
