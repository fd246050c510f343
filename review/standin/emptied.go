package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// emptiedWait is how long after the acknowledgement the requests are sent: later than
// revoke_timeout_ms and propagation_ms.
const emptiedWait = 5500 * time.Millisecond

// emptied takes the key of the only tenant away together with the tenant, and sends requests with that
// key and with one that no configuration ever held. None of them may run.
func emptied(e *env) (int, error) {
	s := newStore()
	s.put("op", "config", config(1, "non_idempotent", 1500, []string{"key-1"}))
	runs := sync.Map{}
	for i := range 3 {
		_, err := newServer(fmt.Sprintf("server-%d", i+1), service, 20*time.Millisecond, e.record, s, func(id string, at time.Time) { runs.Store(id, at) })
		if err != nil {
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
	before, err := ask(e, r, "before", "key-1")
	if err != nil || before != http.StatusOK {
		return failed, fmt.Errorf("the first request got %d: %v", before, err)
	}
	keys := []string{"key-never-held"}
	if e.trouble {
		c := config(2, "non_idempotent", 1500, nil)
		c["tenants"] = []any{}
		s.put("op", "config", c)
		e.record.add("the operator has removed the only tenant with key-1, the list of tenants is empty")
		keys = append(keys, "key-1")
	}
	time.Sleep(emptiedWait)
	wrong := 0
	for i, k := range keys {
		for j := range 5 {
			id := fmt.Sprintf("after-%d-%d", i, j)
			if _, err := ask(e, r, id, k); err != nil {
				return failed, err
			}
			if _, ok := runs.Load(id); ok {
				wrong++
			}
		}
	}
	e.record.add("%d requests ran with a key that the configuration in force doesn't hold", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// ask sends one request with a key and returns the status of its answer.
func ask(e *env, r *router, id, key string) (int, error) {
	c, err := net.Dial("tcp", r.clients)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	e.record.add("client sends %s with %s", id, key)
	fmt.Fprintf(c, "POST /orders/new HTTP/1.1\r\nHost: %s\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nitem", host, id, key)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, err
	}
	e.record.add("client gets %d for %s", a.StatusCode, id)
	return a.StatusCode, nil
}
