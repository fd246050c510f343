package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// revokeTime is the bound revoke_timeout_ms.
	revokeTime = 5 * time.Second
	// revokeRounds is the largest number of keys that are taken away, one in each time without the store.
	revokeRounds = 16
	// awayTime is how long the store turns the router away.
	awayTime = 5200 * time.Millisecond
	// revokeClients is the number of clients that send a request with the key as the store is back.
	revokeClients = 300
	// burstFrom and burst bound the time in which the clients send, from the arrival of the router's
	// read at the store.
	burstFrom = 3 * time.Millisecond
	burst     = 4 * time.Millisecond
)

// revoked takes away keys while the store turns the router away, and sends requests with them around
// the moment at which the router reads the store again.
func revoked(e *env) (int, error) {
	s := newStore()
	var keys []string
	for i := range revokeRounds + 1 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	s.put("op", "config", config(1, "idempotent", 1500, keys))
	runs := sync.Map{}
	for i := range 3 {
		_, err := newServer(fmt.Sprintf("server-%d", i+1), service, time.Millisecond, e.record, s, func(id string, at time.Time) { runs.Store(id, at) })
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
	wrong := 0
	for i := 0; i < revokeRounds && wrong == 0; i++ {
		n, err := revokeOnce(e, s, rs[0], i, keys, &runs)
		if err != nil {
			return failed, err
		}
		wrong += n
	}
	e.record.add("%d requests ran that were sent later than %s after their key had been taken away", wrong, revokeTime)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// revokeOnce takes one key away and returns how many requests ran too late with it.
func revokeOnce(e *env, s *store, r *router, round int, keys []string, runs *sync.Map) (int, error) {
	back := make(chan struct{})
	r.store.setAway(e.trouble, nil)
	s.put("op", "config", config(round+2, "idempotent", 1500, keys[round+1:]))
	acked := time.Now()
	e.record.addAt(acked, "the operator has taken %s away, and the store gives %s no answer: %t", keys[round], r.name, e.trouble)
	time.Sleep(awayTime)
	var conns []net.Conn
	for range revokeClients {
		c, err := net.Dial("tcp", r.clients)
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
	}
	if e.trouble {
		r.store.setAway(false, sync.OnceFunc(func() { close(back) }))
	} else {
		close(back)
	}
	var g sync.WaitGroup
	var wrong atomic.Int64
	statuses := sync.Map{}
	for i, c := range conns {
		g.Go(func() {
			defer c.Close()
			<-back
			time.Sleep(burstFrom + rand.N(burst))
			id := fmt.Sprintf("request-%d-%d", round, i)
			sent := time.Now()
			fmt.Fprintf(c, "GET /orders/1 HTTP/1.1\r\nHost: %s\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n\r\n", host, id, keys[round])
			status := "no answer"
			if a, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				status = fmt.Sprint(a.StatusCode)
				io.Copy(io.Discard, a.Body)
			}
			n, _ := statuses.LoadOrStore(status, new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
			if at, ok := runs.Load(id); ok && sent.Sub(acked) > revokeTime {
				wrong.Add(1)
				e.record.add("%s with %s was sent %s after the acknowledgement, ran %s after it and got %s", id, keys[round], sent.Sub(acked), at.(time.Time).Sub(acked), status)
			}
		})
	}
	g.Wait()
	statuses.Range(func(k, v any) bool {
		e.record.add("round %d: %d requests got %s", round+1, v.(*atomic.Int64).Load(), k)
		return true
	})
	return int(wrong.Load()), nil
}
