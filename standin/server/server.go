// Package server is a stand-in of the users' servers: plain services and model
// servers that answer over HTTP/1.1, with the faults that such servers have.
package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Reply is what a server does with a request; the sealed cases are below.
type Reply interface{ reply() }

type (
	// Answer is a whole answer.
	Answer struct {
		Status int
		Body   string
		// Confidence is sent if it is not negative.
		Confidence int
	}
	// Events is a stream of events with ids from the one after the last seen.
	Events struct {
		// Count is the id of the last event.
		Count int
		// TruncateAfter breaks the connection after the event with that id, in the
		// middle of the next one; 0 means never.
		TruncateAfter int
		// Pause is the time between events.
		Pause      time.Duration
		Confidence int
		// SkipID is the id of an event to leave out.
		SkipID int
	}
	// Reject is a promise that the request was not run. RetryAfter is sent unless it is empty.
	Reject struct {
		Status     int
		RetryAfter string
	}
	// Leaving is a whole answer of a server that leaves.
	Leaving struct{ Answer }
	// Endless sends a head and then, each after a pause, a unit again and again until the
	// caller closes.
	Endless struct {
		Head, Unit string
		Pause      time.Duration
	}
	// Truncated closes the connection in the middle of the answer's body.
	Truncated struct{}
	// Reset closes the connection without an answer.
	Reset struct{}
	// Hang doesn't answer until the caller leaves.
	Hang struct{}
	// Malformed sends bytes that are no answer.
	Malformed struct{}
	// Duplicate sends the answer twice.
	Duplicate struct{ Answer }
	// Mismatched sends the answer of another request before the own one.
	Mismatched struct{ Answer }
	// Encoded sends an answer with a content coding.
	Encoded struct{}
	// Early answers before the body was read, and reads on a moment later.
	Early struct{ Answer }
)

func (Answer) reply()     {}
func (Events) reply()     {}
func (Reject) reply()     {}
func (Leaving) reply()    {}
func (Endless) reply()    {}
func (Truncated) reply()  {}
func (Reset) reply()      {}
func (Hang) reply()       {}
func (Malformed) reply()  {}
func (Duplicate) reply()  {}
func (Mismatched) reply() {}
func (Encoded) reply()    {}
func (Early) reply()      {}

// Request is a request as the server read it.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Body is empty for a script, which decides before the body is read.
	Body string
	// Connection counts the server's connections from 1.
	Connection int
}

// ID returns the id of the client's attempt.
func (r Request) ID() string {
	return r.Header.Get("Tarragonvalve-Attempt-Id")
}

// Server is one server. It is safe for concurrent use.
type Server struct {
	// Name is the id under which the server expects to be addressed.
	Name     string
	listener net.Listener
	script   func(r Request) Reply

	mu       sync.Mutex
	requests []Request
	// clientAborts counts requests whose caller closed the connection before the end.
	clientAborts int
	conns        map[net.Conn]bool
	accepted     int
	tasks        sync.WaitGroup
}

// New starts a server on loopback. script says what it does with each request;
// it is asked once, before the body is read.
func New(name string, script func(r Request) Reply) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", name, err)
	}
	s := &Server{Name: name, listener: l, script: script, conns: map[net.Conn]bool{}}
	s.tasks.Go(s.accept)
	return s, nil
}

// Address returns IP:PORT.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Requests returns the requests read so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// ClientAborts returns how many callers closed their connection before the answer's end.
func (s *Server) ClientAborts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientAborts
}

// Close ends the server and all its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.CloseConnections()
	s.tasks.Wait()
}

// CloseConnections closes all open connections, as an idle timeout would.
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

func (s *Server) serve(c net.Conn, n int) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x := Request{Method: q.Method, Target: q.RequestURI, Host: q.Host, Header: q.Header, Connection: n}
		reply := s.chooseReply(x)
		early, ok := reply.(Early)
		if ok {
			reply = early.Answer
		} else {
			b, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			x.Body = string(b)
		}
		s.mu.Lock()
		s.requests = append(s.requests, x)
		s.mu.Unlock()
		if !s.send(c, r, x, reply) {
			return
		}
		if ok && !drainBody(q.Body) {
			return
		}
	}
}

// earlyBodyDelay is the time between an early answer and the rest of the request.
const earlyBodyDelay = 200 * time.Millisecond

// drainBody reads the rest of a request that was answered early. Closing the connection
// in its place would reset it, and the caller might lose the answer.
func drainBody(body io.Reader) bool {
	time.Sleep(earlyBodyDelay)
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// chooseReply refuses requests for another instance and asks the script about all others.
func (s *Server) chooseReply(x Request) Reply {
	if x.Header.Get("Tarragonvalve-Expect-Instance") != s.Name {
		return Reject{Status: http.StatusMisdirectedRequest}
	}
	return s.script(x)
}

// send carries out a reply and reports whether the connection goes on.
func (s *Server) send(c net.Conn, r *bufio.Reader, x Request, reply Reply) bool {
	switch a := reply.(type) {
	case Answer:
		return write(c, responseText(x, a))
	case Duplicate:
		return write(c, responseText(x, a.Answer)+responseText(x, a.Answer))
	case Mismatched:
		y := x
		y.Header = http.Header{"Tarragonvalve-Attempt-Id": {"of-another-request"}}
		return write(c, responseText(y, a.Answer)+responseText(x, a.Answer))
	case Reject:
		later := ""
		if a.RetryAfter != "" {
			later = "Retry-After: " + a.RetryAfter + "\r\n"
		}
		return write(c, fmt.Sprintf("HTTP/1.1 %d Rejected\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", a.Status, x.ID(), later))
	case Leaving:
		write(c, responseHead(x, a.Status, a.Confidence)+fmt.Sprintf("Server-Leaving: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(a.Body), a.Body))
		return false
	case Endless:
		sendEndless(c, a)
		return false
	case Truncated:
		write(c, responseHead(x, http.StatusOK, -1)+"Content-Length: 100\r\n\r\nonly a part")
		return false
	case Encoded:
		return write(c, responseHead(x, http.StatusOK, -1)+"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzip!")
	case Malformed:
		write(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case Reset:
		return false
	case Hang:
		s.awaitAbort(c, r)
		return false
	case Events:
		return s.stream(c, r, x, a)
	default:
		return false
	}
}

// sendEndless sends a unit again and again until the caller closes the connection.
func sendEndless(c net.Conn, e Endless) {
	for ok := write(c, e.Head); ok; {
		time.Sleep(e.Pause)
		ok = write(c, e.Unit)
	}
}

// awaitAbort waits until the caller closes the connection.
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

func responseHead(x Request, status, confidence int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Tarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Server-Signature: receipt-of-%s\r\nTarragonvalve-Server-Load: 1,0,8\r\n", x.ID(), x.ID())
	if confidence >= 0 {
		fmt.Fprintf(&b, "Tarragonvalve-Route-Confidence: %d\r\n", confidence)
	}
	return b.String()
}

func responseText(x Request, a Answer) string {
	return responseHead(x, a.Status, a.Confidence) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
}

// EventText returns the text of an event.
func EventText(n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
}

func (s *Server) stream(c net.Conn, r *bufio.Reader, x Request, e Events) bool {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		if _, err := r.Peek(1); err != nil {
			s.mu.Lock()
			s.clientAborts++
			s.mu.Unlock()
			stop()
		}
	}()
	first := 1
	if n, err := strconv.Atoi(x.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	if !write(c, responseHead(x, http.StatusOK, e.Confidence)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for n := first; n <= e.Count; n++ {
		if n == e.SkipID {
			continue
		}
		t := EventText(n)
		if e.TruncateAfter > 0 && n == e.TruncateAfter+1 {
			write(c, fmt.Sprintf("%x\r\n%s", len(t), t[:len(t)/2]))
			return false
		}
		if !write(c, fmt.Sprintf("%x\r\n%s\r\n", len(t), t)) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(e.Pause):
		}
	}
	write(c, "0\r\n\r\n")
	// The reader of the caller's bytes can't be shared with the next request.
	return false
}
