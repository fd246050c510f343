package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	stabilityWindow = 3 * time.Second
	drainTimeout    = 2 * time.Second
)

// silentStore makes the open connections between the routers and the store go silent, and has a server leave right
// afterwards, one of those that never report draining. DRAIN: nothing may reach it later than drainTimeout after the store
// has acknowledged that it is gone, from machines in touch.
func silentStore(l *Lab) (int, error) {
	servers, err := l.AddServers("orders", "v1", 3, 6, 60*time.Millisecond)
	if err != nil {
		return cannot, err
	}
	l.Store.Put("op", "config", config(1, []map[string]any{route("order", "non_idempotent", "orders", 1500, 300, 1)}, []map[string]any{plainService("orders")}, "key-1"))
	var proxies []*Proxy
	for range 3 {
		p, err := newProxy(l.Store.Address)
		if err != nil {
			return cannot, err
		}
		proxies = append(proxies, p)
	}
	if err := l.AddRouters(3, func(i int) string { return proxies[i].Address }, sameSeeds); err != nil {
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
				for t := time.NewTicker(40 * time.Millisecond); ; {
					select {
					case <-stop:
						t.Stop()
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
	time.Sleep(5*time.Second + rand.N(2500*time.Millisecond))
	silentAt := time.Now()
	if l.Trouble {
		for i, p := range proxies {
			l.Say("the %d open connections of %s to the store go silent", p.Silence(), l.routers[i].Name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	leaver := servers[0]
	acked := leaver.Leave()
	l.AddAt(acked, "the store has acknowledged that %s is gone", leaver.ID)
	time.Sleep(drainTimeout + 1600*time.Millisecond)
	leaver.Exit()
	l.Say("%s exits, %d ms after the acknowledgement", leaver.ID, time.Since(acked).Milliseconds())
	time.Sleep(2 * time.Second)
	close(stop)
	w.Wait()

	inTouch := silentAt.Add(stabilityWindow)
	if !l.Trouble {
		inTouch = silentAt
	}
	late, lost := 0, 0
	for _, x := range leaver.Arrivals() {
		sent := replies[x.ID].Sent
		if x.At.After(acked.Add(drainTimeout)) && sent.After(inTouch) {
			late++
			l.AddAt(x.At, "BROKEN: request %s reaches %s %d ms after the acknowledgement, sent %d ms after the connections went silent", x.ID, leaver.ID,
				x.At.Sub(acked).Milliseconds(), sent.Sub(silentAt).Milliseconds())
			if y := replies[x.ID]; y.Status != 200 {
				lost++
				l.AddAt(y.Sent.Add(y.Took), "its client has no answer of a server: status %d", y.Status)
			}
		}
	}
	l.Say("%d requests reached the leaving server too late, %d of them got no answer of it", late, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
