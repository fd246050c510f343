package main

import (
	"sync"
	"time"
)

// stray has a server drain, and another writer overwrite its entry by one with fields missing. DRAIN: nothing may reach the
// server later than drainTimeout after the store has acknowledged that it is draining.
func stray(l *Lab) (int, error) {
	servers, err := l.AddServers("orders", "v1", 3, 6, 400*time.Millisecond)
	if err != nil {
		return cannot, err
	}
	l.Store.Put("op", "config", config(1, []map[string]any{route("order", "non_idempotent", "orders", 1500, 300, 1)}, []map[string]any{plainService("orders")}, "key-1"))
	if err := l.AddRouters(5, func(int) string { return l.Store.Address }, sameSeeds); err != nil {
		return cannot, err
	}
	if err := l.StartRouters(); err != nil {
		return cannot, err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]Reply{}
	for _, r := range l.routers {
		for range 2 {
			w.Go(func() {
				c := newClient()
				t := time.NewTicker(50 * time.Millisecond)
				defer t.Stop()
				for {
					select {
					case <-stop:
						return
					case <-t.C:
					}
					x := send(c, r.Clients, Call{Method: "POST", Path: "/order/1", Key: "key-1", Body: "order", Deadline: 3 * time.Second}, l.Record)
					mu.Lock()
					replies[x.ID] = x
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	leaver := servers[0]
	acked := leaver.Drain()
	l.AddAt(acked, "the store has acknowledged that %s is draining", leaver.ID)
	time.Sleep(drainTimeout + 200*time.Millisecond)
	if l.Trouble {
		l.Store.Put("servers", leaver.ID, map[string]any{"service": leaver.Service, "address": leaver.Address, "state": "ready"})
		l.Say("another writer has overwritten the entry of %s, without zone, version, slots, sequence and born", leaver.ID)
	}
	time.Sleep(400 * time.Millisecond)
	leaver.Leave()
	leaver.Exit()
	l.Say("%s exits, %d ms after the acknowledgement", leaver.ID, time.Since(acked).Milliseconds())
	time.Sleep(2 * time.Second)
	close(stop)
	w.Wait()

	late, lost := 0, 0
	for _, x := range leaver.Arrivals() {
		if !x.At.After(acked.Add(drainTimeout)) {
			continue
		}
		late++
		l.AddAt(x.At, "BROKEN: request %s reaches %s %d ms after the acknowledgement", x.ID, leaver.ID, x.At.Sub(acked).Milliseconds())
		if y := replies[x.ID]; y.Status != 200 {
			lost++
			l.AddAt(y.Sent.Add(y.Took), "its client has no answer of a server: status %d", y.Status)
		}
	}
	l.Say("%d requests reached the leaving server too late, %d of them got no answer of it", late, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
