package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that reached a server.
type Arrival struct {
	ID     string
	At     time.Time
	Server string
	Path   string
	Key    string
	Tenant string
	Prefix string
	// Ran is false if the server turned it away.
	Ran bool
}

// Server is a stand-in for a back end.
type Server struct {
	ID, Service, Zone, Version, Address string
	Slots                               int

	store  *Store
	record *Record
	// Work is how long a plain request takes.
	Work time.Duration
	// Crashes decides whether the server crashes as it begins to write an answer to a request.
	Crashes func(q *http.Request) bool
	// Limit is the rate that the server names; 0 means none.
	limit float64
	// Hold is how long it is away after a crash.
	Hold time.Duration

	mu       sync.Mutex
	born     int64
	sequence int
	state    string
	leaving  bool
	running  int
	arrivals []Arrival
	listener net.Listener
	http     *http.Server
	conns    map[net.Conn]struct{}
	stop     chan struct{}
	crashes  []time.Time
}

// Start opens the server's port and registers it.
func (s *Server) Start() error {
	a := s.Address
	if a == "" {
		a = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", a)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.Address = l.Addr().String()
	s.listener, s.conns = l, map[net.Conn]struct{}{}
	s.born, s.sequence, s.state, s.leaving, s.running = time.Now().UnixMilli(), 0, "ready", false, 0
	s.stop = make(chan struct{})
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: func(c net.Conn, x http.ConnState) { //nolint:gosec // a stand-in
		s.mu.Lock()
		defer s.mu.Unlock()
		if x == http.StateNew {
			s.conns[c] = struct{}{}
		}
		if x == http.StateClosed {
			delete(s.conns, c)
		}
	}}
	s.http = h
	stop := s.stop
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.Write()
	go s.beat(stop)
	return nil
}

// entry returns the server's entry.
func (s *Server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": s.Version, "slots": s.Slots,
		"state": s.state, "cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

// Write writes the server's entry and returns when that was acknowledged.
func (s *Server) Write() time.Time { return s.store.Put("servers", s.ID, s.entry()) }

// beat writes the entry while a copy of the store lacks it.
func (s *Server) beat(stop chan struct{}) {
	t := time.NewTicker(1200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		s.mu.Lock()
		state := s.state
		s.mu.Unlock()
		if state != "gone" && !s.store.Holds("servers", s.ID, state) {
			s.Write()
		}
	}
}

// Drain reports that the server leaves, and returns when the store has acknowledged that.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.state, s.leaving = "draining", true
	s.mu.Unlock()
	return s.Write()
}

// Leave removes the server's entry, as those do that never report draining, and returns when the store has acknowledged
// that. The server serves on.
func (s *Server) Leave() time.Time {
	s.mu.Lock()
	s.state = "gone"
	s.mu.Unlock()
	return s.store.Remove("servers", s.ID)
}

// Exit ends the server's process.
func (s *Server) Exit() { s.down(true) }

// crash ends the server without a word. It starts again after Hold.
func (s *Server) crash() {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	s.down(true)
	time.AfterFunc(s.Hold, func() {
		if err := s.Start(); err != nil {
			s.record.Add("server %s doesn't start again: %v", s.ID, err)
			return
		}
		s.record.Add("server %s starts again", s.ID)
	})
}

// down closes the port and all connections, by a reset if reset is true.
func (s *Server) down(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return
	default:
	}
	close(s.stop)
	s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	s.running = 0
}

// Arrivals returns the requests that have reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// CrashTimes returns when the server crashed.
func (s *Server) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

// SetLimit sets the rate that the server names in its answers.
func (s *Server) SetLimit(l float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = l
}

func (s *Server) serve(w http.ResponseWriter, q *http.Request) {
	body := make([]byte, 0, 512)
	b := make([]byte, 4096)
	for {
		n, err := q.Body.Read(b)
		body = append(body, b[:n]...)
		if err != nil {
			break
		}
	}
	id := q.Header.Get("Tarragonvalve-Attempt-Id")
	x := Arrival{ID: id, At: time.Now(), Server: s.ID, Path: q.URL.Path, Tenant: q.Header.Get("Tarragonvalve-Tenant-Name"), Prefix: q.Header.Get("Tarragonvalve-Prompt-Prefix")}
	h := w.Header()
	h.Set("Tarragonvalve-Attempt-Id", id)
	h.Set("Tarragonvalve-Instance-Id", s.ID)
	s.mu.Lock()
	if s.leaving {
		h.Set("Connection", "close")
		h.Set("Server-Leaving", "1")
	}
	if s.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	stop := s.stop
	switch e := q.Header.Get("Tarragonvalve-Expect-Instance"); {
	case e != "" && e != s.ID:
		s.mu.Unlock()
		s.record.AddAt(x.At, "request %s reaches %s, which isn't the one that it names", id, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		s.mu.Unlock()
		h.Set("Tarragonvalve-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case s.running >= s.Slots:
		s.arrivals = append(s.arrivals, x)
		s.mu.Unlock()
		s.record.AddAt(x.At, "request %s reaches %s, which is full", id, s.ID)
		h.Set("Tarragonvalve-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.Ran = true
	s.running++
	h.Set("Tarragonvalve-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.Slots))
	s.arrivals = append(s.arrivals, x)
	s.mu.Unlock()
	s.record.AddAt(x.At, "request %s runs at %s: %s", id, s.ID, q.URL.Path)
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	h.Set("Tarragonvalve-Server-Signature", fmt.Sprintf("%s.%s", s.ID, id))
	if strings.HasPrefix(q.URL.Path, "/stream") {
		s.stream(w, q, stop)
		return
	}
	if !s.wait(s.Work, q, stop) {
		s.record.Add("run of request %s at %s is broken off", id, s.ID)
		panic(http.ErrAbortHandler)
	}
	if s.Crashes != nil && s.Crashes(q) {
		s.record.Add("server %s crashes under request %s", s.ID, id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("Content-Type", "text/plain")
	answer := fmt.Sprintf("answer of %s to %s\n", s.ID, id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write([]byte(answer))
}

// wait waits for d. It returns false if the caller has left or the server goes down.
func (s *Server) wait(d time.Duration, q *http.Request, stop chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
	case <-stop:
	}
	return false
}

const (
	// firstEvent is the time until the first event of a stream, eventPause that between two.
	firstEvent = 60 * time.Millisecond
	eventPause = 20 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 20
)

// stream answers with events with the ids 1 to streamEvents, from the one after Last-Event-Id.
func (s *Server) stream(w http.ResponseWriter, q *http.Request, stop chan struct{}) {
	id := q.Header.Get("Tarragonvalve-Attempt-Id")
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Tarragonvalve-Route-Confidence", "90")
	c := http.NewResponseController(w)
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= streamEvents; i++ {
		d := eventPause
		if i == first+1 {
			d = firstEvent
		}
		if !s.wait(d, q, stop) {
			s.record.Add("run of request %s at %s is broken off", id, s.ID)
			panic(http.ErrAbortHandler)
		}
		if i == first+1 && s.Crashes != nil && s.Crashes(q) {
			w.WriteHeader(http.StatusOK)
			_ = c.Flush()
			s.record.Add("server %s crashes under request %s", s.ID, id)
			s.crash()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
		_ = c.Flush()
	}
}
