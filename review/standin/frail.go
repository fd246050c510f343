package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// frail is a stand-in for a model server that crashes when it begins to write an answer to a prompt with a
// certain part, and is back after some time with the same id and address. A stream goes on after the
// request's Last-Event-Id.
type frail struct {
	id, address string
	record      *record
	store       *store
	// part is the id of the part.
	part string
	// events and interval give the length of a stream.
	events   int
	interval time.Duration
	// downTime is the time from a crash until the server is back.
	downTime time.Duration
	// onRun and onCrash are called when a request begins to run and when the server crashes.
	onRun   func(id string)
	onCrash func()

	mu  sync.Mutex
	web *http.Server
}

// start listens, on a free loopback port the first time, and registers the server's new boot.
func (x *frail) start() error {
	var l net.Listener
	var err error
	for end := time.Now().Add(time.Second); ; time.Sleep(10 * time.Millisecond) {
		if l, err = net.Listen("tcp", x.address); err == nil {
			break
		}
		if time.Now().After(end) {
			return err
		}
	}
	x.address = l.Addr().String()
	w := &http.Server{Handler: x}
	x.mu.Lock()
	x.web = w
	x.mu.Unlock()
	go w.Serve(l) //nolint:errcheck // it serves until the server crashes
	born := time.Now().UnixMilli()
	x.record.add("server %s is up, born %d", x.id, born)
	x.store.put("servers", x.id, map[string]any{
		"service": "chat", "address": x.address, "zone": "zone-a", "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
	})
	return nil
}

// crash closes the listener and all connections, and starts the server again later.
func (x *frail) crash(id string) {
	x.mu.Lock()
	w := x.web
	x.web = nil
	x.mu.Unlock()
	if w == nil {
		return
	}
	x.record.add("server %s crashes as it begins to answer %s", x.id, id)
	x.onCrash()
	w.Close()
	time.AfterFunc(x.downTime, func() {
		if err := x.start(); err != nil {
			x.record.add("server %s is not back: %v", x.id, err)
		}
	})
}

// ServeHTTP runs a request.
func (x *frail) ServeHTTP(w http.ResponseWriter, q *http.Request) {
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
	x.record.add("server %s runs %s", x.id, id)
	x.onRun(id)
	w.Header().Set("Tarragonvalve-Server-Signature", "signature-of-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	n, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		n = 0
	}
	for n++; n <= x.events; n++ {
		select {
		case <-time.After(x.interval):
		case <-q.Context().Done():
			return
		}
		if strings.Contains(q.Header.Get("Tarragonvalve-Prompt-Prefix"), x.part) {
			x.crash(id)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, id); err != nil || c.Flush() != nil {
			return
		}
	}
}
