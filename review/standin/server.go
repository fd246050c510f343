package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// server is a stand-in for a server of a plain service.
type server struct {
	id, address string
	record      *record
	// work is how long a request runs.
	work time.Duration
	// onRun is called when a request begins to run; nil does nothing.
	onRun func(id string, at time.Time)
}

// newServer starts a server on a free loopback port and registers it in the store.
func newServer(id, service string, work time.Duration, r *record, s *store, onRun func(id string, at time.Time)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &server{id: id, address: l.Addr().String(), record: r, work: work, onRun: onRun}
	go http.Serve(l, x) //nolint:errcheck // it serves until the program ends
	s.put("servers", id, map[string]any{
		"service": service, "address": x.address, "zone": "zone-a", "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	return x, nil
}

// ServeHTTP runs a request. It stops when the connection closes, as most servers do.
func (x *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Tarragonvalve-Attempt-Id")
	w.Header().Set("Tarragonvalve-Attempt-Id", id)
	if q.Header.Get("Tarragonvalve-Expect-Instance") != x.id {
		w.Header().Set("Tarragonvalve-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	at := time.Now()
	x.record.add("server %s runs %s", x.id, id)
	if x.onRun != nil {
		x.onRun(id, at)
	}
	select {
	case <-time.After(x.work):
	case <-q.Context().Done():
		x.record.add("server %s stops work on %s, as its connection was closed", x.id, id)
		return
	}
	text := fmt.Sprintf("answer to %s with %d bytes", id, len(b))
	w.Header().Set("Tarragonvalve-Server-Signature", "signature-of-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(http.StatusOK)
	io.WriteString(w, text)
	x.record.add("server %s has run %s", x.id, id)
}
