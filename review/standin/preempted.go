package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// engines is the number of model servers, engineSlots and engineQueue that of the requests that each
	// runs and queues.
	engines, engineSlots, engineQueue = 3, 2, 1
	// streamEvents and streamInterval give the length of a stream, 2.5 s.
	streamEvents   = 50
	streamInterval = 50 * time.Millisecond
	// streamGap is the time between the starts of two streams.
	streamGap = 30 * time.Millisecond
	// preemptAfter is the time from the last start to the preemption.
	preemptAfter = 400 * time.Millisecond
	// preemption is how long a preempted request makes no events. Clients wait for 12 s: four times
	// the objective of 3 s.
	preemption = 2500 * time.Millisecond
)

// preempted fills all model servers with streams and lets one server preempt its own for a time, after a
// SIGHUP of one router. Each stream must reach its client whole.
func preempted(e *env) (int, error) {
	s := newStore()
	s.put("op", "config", chatConfig(engineSlots))
	var xs []*engine
	for i := range engines {
		x, err := newEngine(fmt.Sprintf("server-%d", i+1), "chat", engineSlots, engineQueue, streamEvents, streamInterval, e.record, s)
		if err != nil {
			return failed, err
		}
		xs = append(xs, x)
	}
	rs, err := newRouters(e, s, 4)
	if err != nil {
		return failed, err
	}
	defer endAll(rs)
	// The machine must be in touch.
	time.Sleep(4 * time.Second)
	e.record.add("SIGHUP to %s", rs[0].name)
	if err := rs[0].cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return failed, err
	}
	const n = engines * (engineSlots + engineQueue)
	results := make(chan bool, n)
	for i := range n {
		go func() { results <- stream(e, rs[0], fmt.Sprintf("stream-%d", i+1)) }()
		time.Sleep(streamGap)
	}
	time.Sleep(preemptAfter)
	if e.trouble {
		xs[0].pause(preemption)
	}
	lost := 0
	for range n {
		if !<-results {
			lost++
		}
	}
	e.record.add("%d of %d streams were passed on and ended before their last event", lost, n)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// stream sends one request and reads its stream. It returns false if the router took the request and the
// connection ended without a complete answer.
func stream(e *env, r *router, id string) bool {
	c, err := net.Dial("tcp", r.clients)
	if err != nil {
		e.record.add("%s: %v", id, err)
		return true
	}
	defer c.Close()
	e.record.add("client sends %s", id)
	body := "plan the week"
	fmt.Fprintf(c, "POST /chat/1 HTTP/1.1\r\nHost: %s\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 25000\r\nTarragonvalve-Model-Name: model-a\r\nTarragonvalve-Token-Usage: 100,480\r\nTarragonvalve-Prompt-Prefix: aa01:40,%x:60\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", host, id, id, len(body), body)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		e.record.add("connection of %s ends without an answer: %v", id, err)
		return false
	}
	b, err := io.ReadAll(a.Body)
	events := strings.Count(string(b), "id: ")
	if err != nil {
		e.record.add("connection of %s ends after %d of %d events: %v", id, events, streamEvents, err)
		return false
	}
	e.record.add("client gets %d with %d of %d events for %s", a.StatusCode, events, streamEvents, id)
	return a.StatusCode != http.StatusOK || events == streamEvents
}
