package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is heartbeat_interval_ms: a server that is silent for three of them is removed from the store.
	heartbeat = 1200 * time.Millisecond
	// promptRate is the number of prompt tokens that a server reads per ms.
	promptRate = 92
)

// kind describes the servers of a service.
type kind struct {
	service string
	engine  bool
	slots   int
	// token is the time for a generated token, eventTokens the number of them in an event.
	token       time.Duration
	eventTokens int
	// work is the time for a request to a plain service.
	work time.Duration
	// poison is the prompt part under which a server crashes as it begins to write an answer; empty for none. It crashes
	// that long after the first bytes, or with a negative time before they leave.
	poison      string
	poisonDelay time.Duration
	// crashes has servers crash under poisonPart from some time on.
	crashes atomic.Bool
	// poisonBody is the body of a request under which a server crashes as it begins to run it; empty for none.
	poisonBody string
	// down is how long a crashed server is down.
	down time.Duration
}

// run is a request that a server began to work on.
type run struct {
	id, server   string
	began, ended time.Time
	how          string
}

// farm holds the servers of a test and what they ran.
type farm struct {
	store  *store
	record *record

	mu      sync.Mutex
	servers []*server
	runs    []*run
	// reached holds when requests reached servers, whether they ran or not.
	reached []reach
	crashes []time.Time
	closed  bool
}

// reach is the arrival of a request at a server.
type reach struct {
	id, server string
	at         time.Time
}

// server is one place for a server; each start is a new incarnation with another id.
type server struct {
	*kind
	farm          *farm
	zone, address string
	version       string

	// slow is by how much work takes longer, in thousandths.
	slow atomic.Int64

	mu       sync.Mutex
	id       string
	born     int64
	up       bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
	sequence int
}

// add starts a server.
func (f *farm) add(k *kind, zone, version, ip string) (*server, error) {
	a, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	s := &server{kind: k, farm: f, zone: zone, version: version, address: a}
	s.slow.Store(1000)
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, s.start()
}

// start begins a new incarnation.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.born = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli()
	s.up, s.listener, s.conns, s.running, s.sequence = true, l, map[net.Conn]struct{}{}, 0, 0
	id := s.id
	s.mu.Unlock()
	s.farm.record.add("server %s of %s starts at %s", id, s.service, s.address)
	go s.accept(l, id)
	go s.beat(id)
	return nil
}

// beat keeps the entry of an incarnation in the store while it lives, and has it expire afterwards.
func (s *server) beat(id string) {
	for {
		s.mu.Lock()
		up := s.up && s.id == id
		s.sequence++
		entry := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
		}
		if s.engine {
			entry["phase"] = "colocated"
			entry["model_list"] = []any{map[string]any{"name": modelName, "version": 1, "loras": []string{}}}
		}
		first := s.sequence == 1
		s.mu.Unlock()
		if !up {
			time.Sleep(2 * heartbeat)
			s.farm.store.remove("servers", id)
			return
		}
		if first {
			s.farm.store.put("servers", id, entry)
		}
		time.Sleep(heartbeat)
	}
}

// crash ends the incarnation with all its connections, and starts another one after the time down.
func (s *server) crash(id, why string) {
	s.mu.Lock()
	if !s.up || s.id != id {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	s.mu.Unlock()
	now := time.Now()
	s.farm.mu.Lock()
	s.farm.crashes = append(s.farm.crashes, now)
	n := len(s.farm.crashes)
	s.farm.mu.Unlock()
	s.farm.record.add("server %s crashes (crash %d) under %s", id, n, why)
	time.AfterFunc(s.down, func() {
		s.farm.mu.Lock()
		closed := s.farm.closed
		s.farm.mu.Unlock()
		if !closed {
			if err := s.start(); err != nil {
				s.farm.record.add("a server doesn't start again: %v", err)
			}
		}
	})
}

func (s *server) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.up || s.id != id {
			s.mu.Unlock()
			c.Close()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				c.Close()
			}()
			s.serve(c, id)
		}()
	}
}

// serve answers the requests of a connection.
func (s *server) serve(c net.Conn, id string) {
	r := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !s.answer(c, r, q, string(b), id) {
			return
		}
	}
}

// answer answers a request and reports whether the connection can be used again.
func (s *server) answer(c net.Conn, r *bufio.Reader, q *http.Request, body, id string) bool {
	a := q.Header.Get("Tarragonvalve-Attempt-Id")
	load := func() string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return fmt.Sprintf("%d,0,%d", s.running, s.slots)
	}
	if q.URL.Path == "/healthz" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarragonvalve-Instance-Id: %s\r\nTarragonvalve-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", id, load())
		return true
	}
	if e := q.Header.Get("Tarragonvalve-Expect-Instance"); e != "" && e != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", a, id)
		return true
	}
	now := time.Now()
	s.farm.mu.Lock()
	s.farm.reached = append(s.farm.reached, reach{id: a, server: id, at: now})
	s.farm.mu.Unlock()
	s.farm.record.add("server %s gets %s", id, a)
	s.mu.Lock()
	full := s.running >= s.slots
	if !full {
		s.running++
	}
	s.mu.Unlock()
	if full {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Not-Executed: 1\r\nTarragonvalve-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", a, load())
		return true
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	ms, err := strconv.Atoi(q.Header.Get("Tarragonvalve-Deadline-Ms"))
	if err != nil {
		ms = 30_000
	}
	// A server drops a request when its connection closes.
	gone := make(chan struct{})
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := r.Peek(1)
			var t net.Error
			if errors.As(err, &t) && t.Timeout() {
				select {
				case <-stop:
					return
				default:
					continue
				}
			}
			if err != nil {
				close(gone)
			}
			return
		}
	}()
	x := &work{server: s, conn: c, request: q, body: body, id: a, server0: id, gone: gone, end: time.NewTimer(time.Duration(ms) * time.Millisecond), load: load}
	var ok bool
	if s.engine {
		ok = x.stream()
	} else {
		ok = x.plain()
	}
	x.end.Stop()
	close(stop)
	<-watched
	c.SetReadDeadline(time.Time{})
	select {
	case <-gone:
		return false
	default:
		return ok
	}
}

// work is a request at a server.
type work struct {
	server      *server
	conn        net.Conn
	request     *http.Request
	body        string
	id, server0 string
	gone        chan struct{}
	end         *time.Timer
	load        func() string
	run         *run
}

// wait works for a time, which is longer while the server is slow. It returns why it ended early, or "".
func (x *work) wait(d time.Duration) string {
	const step = 2 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	last := time.Now()
	for done := time.Duration(0); done < d; {
		select {
		case <-x.gone:
			return "its caller left"
		case <-x.end.C:
			return "its time was over"
		case now := <-t.C:
			done += now.Sub(last) * 1000 / time.Duration(x.server.slow.Load())
			last = now
		}
		x.server.mu.Lock()
		up := x.server.up && x.server.id == x.server0
		x.server.mu.Unlock()
		if !up {
			return "the server ended"
		}
	}
	return ""
}

// begin records that the server begins to run the request.
func (x *work) begin() {
	x.run = &run{id: x.id, server: x.server0, began: time.Now()}
	f := x.server.farm
	f.mu.Lock()
	f.runs = append(f.runs, x.run)
	f.mu.Unlock()
	f.record.add("server %s runs %s (Last-Event-Id %q)", x.server0, x.id, x.request.Header.Get("Last-Event-Id"))
}

// done records the end of the run.
func (x *work) done(how string) {
	f := x.server.farm
	f.mu.Lock()
	x.run.ended, x.run.how = time.Now(), how
	f.mu.Unlock()
	f.record.add("server %s ends %s: %s", x.server0, x.id, how)
}

const signature = "Tarragonvalve-Server-Signature: 3e1b.07.5a2."

// plain answers a request to a plain service.
func (x *work) plain() bool {
	x.begin()
	if x.server.poisonBody != "" && x.body == x.server.poisonBody {
		x.done("the server crashes")
		x.server.crash(x.server0, x.id)
		return false
	}
	if why := x.wait(x.server.work); why != "" {
		x.done(why)
		return false
	}
	body := strings.Repeat("x", 800)
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: %s\r\n%s%s\r\nTarragonvalve-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s", x.id, signature, x.id, x.load(), len(body), body)
	x.done("whole")
	return err == nil
}

// stream answers a request to a model server.
func (x *work) stream() bool {
	in, out, _ := strings.Cut(x.request.Header.Get("Tarragonvalve-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(in)
	tokens, _ := strconv.Atoi(out)
	last, _ := strconv.Atoi(x.request.Header.Get("Last-Event-Id"))
	events := (tokens + x.server.eventTokens - 1) / x.server.eventTokens
	if why := x.wait(time.Duration(prompt) * time.Millisecond / promptRate); why != "" {
		x.server.farm.record.add("server %s drops %s before it ran: %s", x.server0, x.id, why)
		return false
	}
	poisoned := x.server.poison != "" && strings.Contains(x.request.Header.Get("Tarragonvalve-Prompt-Prefix"), x.server.poison+":")
	poisoned = poisoned || (x.server.crashes.Load() && strings.Contains(x.request.Header.Get("Tarragonvalve-Prompt-Prefix"), poisonPart+":"))
	poisoned = poisoned || (x.server.poisonBody != "" && x.body == x.server.poisonBody)
	// A request starts to run with its first token.
	x.begin()
	if poisoned && x.server.poisonDelay < 0 {
		x.done("the server crashes")
		x.server.crash(x.server0, x.id)
		return false
	}
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: %s\r\n%s%s\r\nTarragonvalve-Server-Load: %s\r\nTarragonvalve-Weight-Versions: 1\r\nTarragonvalve-Route-Confidence: 90\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", x.id, signature, x.id, x.load())
	if poisoned {
		x.wait(x.server.poisonDelay)
		x.done("the server crashes")
		x.server.crash(x.server0, x.id)
		return false
	}
	for n := last + 1; n <= events; n++ {
		if why := x.wait(x.server.token * time.Duration(x.server.eventTokens)); why != "" {
			x.done(why)
			return false
		}
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("t", 40))
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			x.done("its caller left")
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	x.done("whole")
	return err == nil
}
