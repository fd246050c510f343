package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// SetSlots makes the server reject event streams while n are in progress; 0 means no bound.
func (s *Server) SetSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = n
}

// takeSlot counts an event stream as in progress; freeSlot must follow. It returns false if the server is full.
func (s *Server) takeSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots > 0 && s.streams >= s.slots {
		return false
	}
	s.streams++
	return true
}

func (s *Server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
}

// sendEvents carries out a reply that is an event stream.
func (s *Server) sendEvents(c net.Conn, r *bufio.Reader, x Request, reply Reply) bool {
	if !s.takeSlot() {
		return write(c, s.rejection(x, Reject{Status: http.StatusServiceUnavailable}))
	}
	defer s.freeSlot()
	switch a := reply.(type) {
	case Events:
		return s.stream(c, r, x, a, func(int) time.Duration { return a.Pause })
	case Paused:
		return s.stream(c, r, x, a.Events, func(n int) time.Duration {
			if n == a.After {
				return a.For
			}
			return a.Pause
		})
	case Late:
		time.Sleep(a.Delay)
		return s.stream(c, r, x, a.Events, func(int) time.Duration { return a.Pause })
	default:
		return false
	}
}

// EventText returns the server-sent event with id n as it is sent.
func EventText(n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
}

// stream sends a chunked event stream. pause returns the time after an event. It stops when the client closes
// the connection.
func (s *Server) stream(c net.Conn, r *bufio.Reader, x Request, e Events, pause func(n int) time.Duration) bool {
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
	framing, chunk := "Transfer-Encoding: chunked\r\n", func(t string, n int) string { return fmt.Sprintf("%x\r\n%s", n, t) }
	if e.Unframed {
		framing, chunk = "", func(t string, _ int) string { return strings.TrimSuffix(t, "\r\n") }
	}
	if !write(c, s.responseHead(x, http.StatusOK, e.Confidence)+"Content-Type: text/event-stream\r\n"+framing+"\r\n") {
		return false
	}
	for n := first; n <= e.Count; n++ {
		if n == e.SkipID {
			continue
		}
		t := EventText(n)
		if e.TruncateAfter > 0 && n == e.TruncateAfter+1 {
			write(c, chunk(t[:len(t)/2], len(t)))
			return false
		}
		if !write(c, chunk(t+"\r\n", len(t))) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause(n)):
		}
	}
	write(c, chunk("\r\n", 0))
	// The goroutine above still reads from r, so no further request can be read from it.
	return false
}
