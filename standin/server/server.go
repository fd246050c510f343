// Package server is a stand-in for upstreams: plain services and model servers that answer
// over HTTP/1.1. A script selects the response, or the fault, for each request.
package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tarragonvalve.example/standin/flood"
	"tarragonvalve.example/standin/ports"
)

// Reply is what a server does with a request: one of the types below.
type Reply interface{ reply() }

// Framing is how the end of a response's body is marked.
type Framing int

const (
	// ByLength is a Content-Length.
	ByLength Framing = iota
	// ByChunks is the transfer coding chunked, with a body that isn't empty in one chunk.
	ByChunks
	// ByClose is the end of the connection.
	ByClose
)

type (
	// Answer is a complete response.
	Answer struct {
		Status int
		Body   string
		// Framing is ignored by Leaving.
		Framing Framing
		// Confidence is sent in Tarragonvalve-Route-Confidence unless it is negative.
		Confidence int
	}
	// Delayed sends the response after a delay.
	Delayed struct {
		Answer
		Delay time.Duration
	}
	// Events is a stream of server-sent events with consecutive ids. It starts at 1, or
	// after the request's Last-Event-Id.
	Events struct {
		// Count is the id of the last event.
		Count int
		// TruncateAfter is the id of the last complete event: the connection is closed in
		// the middle of the next one. 0 means that the stream is not truncated.
		TruncateAfter int
		// Pause is the time between events.
		Pause      time.Duration
		Confidence int
		// SkipID is the id of an event to leave out; 0 leaves none out.
		SkipID int
		// Unframed streams have neither a length nor chunks and end with the connection.
		Unframed bool
	}
	// Paused is a stream that makes no events for a time after an event, as an engine does that preempts it.
	Paused struct {
		Events
		// After is the id of the last event before the pause.
		After int
		For   time.Duration
	}
	// Late is a stream whose head and events come after a delay.
	Late struct {
		Events
		Delay time.Duration
	}
	// Reject is a response that marks the request as not executed. RetryAfter is sent unless
	// it is empty.
	Reject struct {
		Status     int
		RetryAfter string
	}
	// RejectTwice sends a Reject, and the same once more after a moment, when the next request may
	// already be on its way.
	RejectTwice struct{ Reject }
	// Leaving is a complete response that announces the server's shutdown and closes the
	// connection.
	Leaving struct{ Answer }
	// Endless sends Head and then Unit repeatedly, with a pause before each, until the client
	// closes the connection.
	Endless struct {
		Head, Unit string
		Pause      time.Duration
	}
	// Flood sends a response in which one part goes on without end, within the sender's bounds. Its head has the
	// headers that all responses have.
	Flood struct{ flood.Sender }
	// Raw sends a text as it is and closes the connection unless it is to be kept.
	Raw struct {
		Text string
		Keep bool
	}
	// Truncated closes the connection in the middle of the response body.
	Truncated struct{}
	// Reset closes the connection without a response.
	Reset struct{}
	// Crash closes the listener and all connections of the server after a delay. Head is true if
	// the head of an event stream is sent before.
	Crash struct {
		Head  bool
		Delay time.Duration
	}
	// Hang sends nothing and waits until the client closes the connection.
	Hang struct{}
	// Malformed sends bytes that are not an HTTP response and closes the connection.
	Malformed struct{}
	// Duplicate sends the same response twice.
	Duplicate struct{ Answer }
	// Mismatched sends a response with the attempt id of another request before the right one.
	Mismatched struct{ Answer }
	// Encoded sends a response with Content-Encoding gzip; its body is not valid gzip.
	Encoded struct{}
	// Early sends the response before it reads the request body, which it reads
	// earlyBodyDelay later.
	Early struct{ Answer }
)

func (Answer) reply()      {}
func (Delayed) reply()     {}
func (Events) reply()      {}
func (Paused) reply()      {}
func (Late) reply()        {}
func (Reject) reply()      {}
func (RejectTwice) reply() {}
func (Leaving) reply()     {}
func (Endless) reply()     {}
func (Flood) reply()       {}
func (Raw) reply()         {}
func (Truncated) reply()   {}
func (Reset) reply()       {}
func (Crash) reply()       {}
func (Hang) reply()        {}
func (Malformed) reply()   {}
func (Duplicate) reply()   {}
func (Mismatched) reply()  {}
func (Encoded) reply()     {}
func (Early) reply()       {}

// Request is a request as the server read it.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Body is empty when the script runs, which is before the body is read. It stays empty
	// after an Early or Abrupt reply.
	Body string
	// Connection is the number of the request's connection, counted from 1 per server.
	Connection int
	// At is when the request's headers had been read.
	At time.Time
}

// ID returns the attempt id that the client sent.
func (r Request) ID() string {
	return r.Header.Get("Tarragonvalve-Attempt-Id")
}

// Server is one running stand-in server. It is safe for concurrent use.
type Server struct {
	// Name is the instance id that requests must name in Tarragonvalve-Expect-Instance.
	Name     string
	listener net.Listener
	script   func(r Request) Reply

	mu       sync.Mutex
	requests []Request
	// limit is sent in Server-Limit with all proper responses unless it is empty.
	limit string
	// slots bounds the event streams in progress; 0 means no bound. streams counts them.
	slots, streams int
	// clientAborts is the count that ClientAborts returns.
	clientAborts int
	conns        map[net.Conn]bool
	accepted     int
	tasks        sync.WaitGroup
	crashOnce    sync.Once
	crashed      chan struct{}
}

// New starts a server on a loopback address that no other server gets: the kernel would choose the
// port of a closed one again, to which routers may still send requests. script selects the reply to
// each request; it is called once per request, before the body is read.
func New(name string, script func(r Request) Reply) (*Server, error) {
	l, err := ports.Listen()
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", name, err)
	}
	s := &Server{Name: name, listener: l, script: script, conns: map[net.Conn]bool{}, crashed: make(chan struct{})}
	s.tasks.Go(s.accept)
	return s, nil
}

// Address returns the server's address as IP:PORT.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// SetLimit makes the server state the rate of requests, per second, that it takes from all
// routers together, from its next response on. It doesn't enforce it. Empty states none.
func (s *Server) SetLimit(rate string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = rate
}

// limitHeader returns the header line that states the limit, or "" without one.
func (s *Server) limitHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == "" {
		return ""
	}
	return "Server-Limit: " + s.limit + "\r\n"
}

// Requests returns the requests read so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// ClientAborts returns how many connections were closed by the client during an Events or
// Hang reply. It also counts those that the server closed after the end of an Events reply.
func (s *Server) ClientAborts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientAborts
}

// Close closes the listener and all connections and waits for their goroutines.
func (s *Server) Close() {
	s.listener.Close()
	s.CloseConnections()
	s.tasks.Wait()
}

// crash ends the server from within a reply.
func (s *Server) crash() {
	s.listener.Close()
	s.CloseConnections()
	s.crashOnce.Do(func() { close(s.crashed) })
}

// Crashed is closed when the server has carried out a Crash.
func (s *Server) Crashed() <-chan struct{} { return s.crashed }

// CloseConnections closes all open connections, as a server does on an idle timeout.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.accepted++
		n := s.accepted
		s.mu.Unlock()
		s.tasks.Go(func() {
			s.serve(c, n)
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// serve handles the requests of connection n one after the other until it must be closed.
func (s *Server) serve(c net.Conn, n int) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x := Request{Method: q.Method, Target: q.RequestURI, Host: q.Host, Header: q.Header, Connection: n, At: time.Now()}
		reply := s.chooseReply(x)
		early, isEarly := reply.(Early)
		if isEarly {
			reply = early.Answer
		}
		abrupt, isAbrupt := reply.(Abrupt)
		if !isEarly && !isAbrupt {
			b, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			x.Body = string(b)
		}
		s.mu.Lock()
		s.requests = append(s.requests, x)
		s.mu.Unlock()
		if isAbrupt {
			sendAbrupt(c, q.Body, abrupt)
			return
		}
		if !s.send(c, r, x, reply) {
			return
		}
		if isEarly && !drainBody(q.Body) {
			return
		}
	}
}

// earlyBodyDelay is the time from an early response until the request body is read.
const earlyBodyDelay = 200 * time.Millisecond

// drainBody reads the body of a request that was answered early. Closing the connection
// with unread data would reset it, and the client might lose the response.
func drainBody(body io.Reader) bool {
	time.Sleep(earlyBodyDelay)
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// chooseReply rejects requests for another instance with 421 and runs the script for all
// others.
func (s *Server) chooseReply(x Request) Reply {
	if x.Header.Get("Tarragonvalve-Expect-Instance") != s.Name {
		return Reject{Status: http.StatusMisdirectedRequest}
	}
	return s.script(x)
}

// send carries out a reply and reports whether the connection can take another request.
func (s *Server) send(c net.Conn, r *bufio.Reader, x Request, reply Reply) bool {
	switch a := reply.(type) {
	case Answer:
		return write(c, s.responseText(x, a)) && a.Framing != ByClose
	case Delayed:
		time.Sleep(a.Delay)
		return write(c, s.responseText(x, a.Answer)) && a.Framing != ByClose
	case Duplicate:
		return write(c, s.responseText(x, a.Answer)+s.responseText(x, a.Answer))
	case Mismatched:
		y := x
		y.Header = http.Header{"Tarragonvalve-Attempt-Id": {"of-another-request"}}
		return write(c, s.responseText(y, a.Answer)+s.responseText(x, a.Answer))
	case Reject:
		return write(c, s.rejection(x, a))
	case RejectTwice:
		ok := write(c, s.rejection(x, a.Reject))
		time.Sleep(repeatDelay)
		return ok && write(c, s.rejection(x, a.Reject))
	case Leaving:
		write(c, s.responseHead(x, a.Status, a.Confidence)+fmt.Sprintf("Server-Leaving: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(a.Body), a.Body))
		return false
	case Endless, Flood:
		s.sendEndless(c, x, a)
		return false
	case Raw:
		return write(c, a.Text) && a.Keep
	case Truncated:
		write(c, s.responseHead(x, http.StatusOK, -1)+"Content-Length: 100\r\n\r\nonly a part")
		return false
	case Encoded:
		return write(c, s.responseHead(x, http.StatusOK, -1)+"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzip!")
	case Malformed:
		write(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case Reset:
		return false
	case Crash:
		if a.Head {
			write(c, s.responseHead(x, http.StatusOK, -1)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		}
		time.Sleep(a.Delay)
		s.crash()
		return false
	case Hang:
		s.awaitAbort(c, r)
		return false
	case Events, Paused, Late:
		return s.sendEvents(c, r, x, a)
	default:
		return false
	}
}

// sendEndless carries out a reply without end. It sends until a write fails because the client closed the connection,
// a Flood at most until its bounds.
func (s *Server) sendEndless(c net.Conn, x Request, reply Reply) {
	switch e := reply.(type) {
	case Endless:
		// Tests measure what the client allocates in the same process.
		unit := []byte(e.Unit)
		for ok := write(c, e.Head); ok; {
			time.Sleep(e.Pause)
			_, err := c.Write(unit)
			ok = err == nil
		}
	case Flood:
		e.Head = s.responseHead(x, http.StatusOK, -1)
		// An error says that the client has closed the connection, which is what it should do.
		_, _ = e.Send(c)
	}
}

// awaitAbort waits until the client closes the connection or sends more data, and closes it.
func (s *Server) awaitAbort(c net.Conn, r *bufio.Reader) {
	_, err := r.Peek(1)
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || err != nil {
		s.mu.Lock()
		s.clientAborts++
		s.mu.Unlock()
	}
	c.Close()
}

func write(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}

// responseHead returns the status line and the headers that all responses have, without the
// empty line.
func (s *Server) responseHead(x Request, status, confidence int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Tarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Server-Signature: receipt-of-%s\r\nTarragonvalve-Server-Load: 1,0,8\r\n", x.ID(), x.ID())
	if confidence >= 0 {
		fmt.Fprintf(&b, "Tarragonvalve-Route-Confidence: %d\r\n", confidence)
	}
	b.WriteString(s.limitHeader())
	return b.String()
}

// repeatDelay is the time between the two responses of a RejectTwice.
const repeatDelay = 5 * time.Millisecond

// rejection returns the text of a Reject.
func (s *Server) rejection(x Request, a Reject) string {
	later := ""
	if a.RetryAfter != "" {
		later = "Retry-After: " + a.RetryAfter + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Rejected\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Not-Executed: 1\r\n%s%sContent-Length: 0\r\n\r\n", a.Status, x.ID(), later, s.limitHeader())
}

// responseText returns a complete response.
func (s *Server) responseText(x Request, a Answer) string {
	head := s.responseHead(x, a.Status, a.Confidence)
	switch a.Framing {
	case ByChunks:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(a.Body), a.Body)
	case ByClose:
		return head + "\r\n" + a.Body
	default:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
	}
}
