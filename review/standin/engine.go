package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a model server. It runs slots requests at a time, queues a few more and rejects
// others as not executed. A stream goes on after the request's Last-Event-Id.
type engine struct {
	id, address string
	record      *record
	// slots holds an entry for each request that runs; places holds also those in the queue.
	slots, places chan struct{}
	// events is the number of events of a stream, interval the time between two.
	events   int
	interval time.Duration

	mu sync.Mutex
	// pausedUntil is the time until which the server makes no events.
	pausedUntil time.Time
}

// newEngine starts a model server on a free loopback port and registers it in the store.
func newEngine(id, service string, slots, queue, events int, interval time.Duration, r *record, s *store) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &engine{id: id, address: l.Addr().String(), record: r, events: events, interval: interval, slots: make(chan struct{}, slots), places: make(chan struct{}, slots+queue)}
	go http.Serve(l, x) //nolint:errcheck // it serves until the program ends
	s.put("servers", id, map[string]any{
		"service": service, "address": x.address, "zone": "zone-a", "version": "v1", "slots": slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	return x, nil
}

// pause preempts the requests that run now for some time: they make no events until then.
func (x *engine) pause(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pausedUntil = time.Now().Add(d)
	x.record.add("server %s preempts the %d requests that it runs for %s", x.id, len(x.slots), d)
}

// next returns when the next event is due.
func (x *engine) next() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := time.Now().Add(x.interval)
	if x.pausedUntil.After(t) {
		return x.pausedUntil
	}
	return t
}

// ServeHTTP runs a request. It stops when the connection closes.
func (x *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Tarragonvalve-Attempt-Id")
	w.Header().Set("Tarragonvalve-Attempt-Id", id)
	if q.Header.Get("Tarragonvalve-Expect-Instance") != x.id {
		w.Header().Set("Tarragonvalve-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	select {
	case x.places <- struct{}{}:
		defer func() { <-x.places }()
	default:
		x.record.add("server %s is full and rejects %s", x.id, id)
		w.Header().Set("Tarragonvalve-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case x.slots <- struct{}{}:
		defer func() { <-x.slots }()
	case <-q.Context().Done():
		x.record.add("server %s drops %s from its queue, as its connection was closed", x.id, id)
		return
	}
	n, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		n = 0
	}
	x.record.add("server %s runs %s from event %d", x.id, id, n+1)
	w.Header().Set("Tarragonvalve-Server-Signature", "signature-of-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for n++; n <= x.events; n++ {
		due := x.next()
		select {
		case <-time.After(time.Until(due)):
		case <-q.Context().Done():
			x.record.add("server %s stops work on %s before event %d, as its connection was closed", x.id, id, n)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
	}
	x.record.add("server %s has run %s", x.id, id)
}
