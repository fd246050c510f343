package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 8 * time.Second
	// stopWork is how long a server works on an order. stopTimeout is the route's timeout and the
	// client's time budget, in ms, as the users' sheets have it for orders.
	stopWork    = 2800 * time.Millisecond
	stopTimeout = 3000
	// stopClients is the number of clients; each keeps a connection.
	stopClients = 8
	// lateBy is how long after SIGTERM the second orders are sent: later than the 3 s up to which the
	// end of the grace period excuses a loss.
	lateBy = 4750 * time.Millisecond
)

// stopped sends orders, which may run once, on kept connections around a SIGTERM. Each must be answered
// completely or not be taken.
func stopped(e *env) (int, error) {
	s := newStore()
	s.put("op", "config", config(1, "non_idempotent", stopTimeout, []string{"key-1"}))
	for i := range 3 {
		if _, err := newServer(fmt.Sprintf("server-%d", i+1), service, stopWork, e.record, s, nil); err != nil {
			return failed, err
		}
	}
	rs, err := newRouters(e, s, 3)
	if err != nil {
		return failed, err
	}
	defer endAll(rs)
	time.Sleep(time.Second)
	r := rs[0]
	var conns []net.Conn
	for range stopClients {
		c, err := net.Dial("tcp", r.clients)
		if err != nil {
			return failed, err
		}
		defer c.Close()
		conns = append(conns, c)
	}
	if n := orders(e, conns, "first"); n > 0 {
		return failed, fmt.Errorf("%d orders failed before the stop", n)
	}
	began := time.Now()
	if e.trouble {
		e.record.add("SIGTERM to %s", r.name)
		go r.terminate(grace)
	}
	time.Sleep(time.Until(began.Add(lateBy)))
	lost := orders(e, conns, "second")
	e.record.add("%d of %d orders were passed on and got no complete answer", lost, stopClients)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// orders sends an order on each connection at the same time, and returns how many were lost.
func orders(e *env, conns []net.Conn, name string) int {
	results := make(chan bool, len(conns))
	for i, c := range conns {
		go func() { results <- order(e, c, fmt.Sprintf("%s-order-%d", name, i+1)) }()
	}
	lost := 0
	for range conns {
		if !<-results {
			lost++
		}
	}
	return lost
}

// order sends one order on a kept connection. It returns false if the router read the whole order and
// the connection ended without a complete answer later than 0.2 s after its last byte.
func order(e *env, c net.Conn, id string) bool {
	body := "one lathe hour"
	sent := time.Now()
	e.record.addAt(sent, "client sends %s", id)
	fmt.Fprintf(c, "POST /orders/new HTTP/1.1\r\nHost: %s\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", host, id, stopTimeout, len(body), body)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(a.Body)
	}
	if err != nil {
		e.record.add("connection of %s ends without a complete answer: %v", id, err)
		return time.Since(sent) <= 200*time.Millisecond
	}
	e.record.add("client gets %d for %s", a.StatusCode, id)
	return true
}
