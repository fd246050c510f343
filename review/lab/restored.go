package main

import (
	"sync"
	"time"
)

// revokeTimeout is the bound for keys that were taken away.
const revokeTimeout = 5 * time.Second

// restored takes a key away, has the store come back from a copy of before, and restarts the first seed while the store is
// away. The operator writes again what the copy lacks a second after the return. CONFIG: with strict_revocation no request with the key that is sent later than
// revokeTimeout after the acknowledgement may run.
func restored(l *Lab) (int, error) {
	servers, err := l.AddServers("orders", "v1", 3, 6, 60*time.Millisecond)
	if err != nil {
		return cannot, err
	}
	put := func(version int, keys ...string) time.Time {
		return l.Store.Put("op", "config", config(version, []map[string]any{route("order", "non_idempotent", "orders", 1500, 300, 1)}, []map[string]any{plainService("orders")}, keys...))
	}
	put(1, "key-1", "key-2")
	if err := l.AddRouters(3, func(int) string { return l.Store.Address }, sameSeeds); err != nil {
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
		for _, key := range []string{"key-1", "key-2"} {
			w.Go(func() {
				t := time.NewTicker(50 * time.Millisecond)
				defer t.Stop()
				for {
					select {
					case <-stop:
						return
					case <-t.C:
					}
					x := send(newClient(), r.Clients, Call{Method: "POST", Path: "/order/" + key, Key: key, Body: "order", Deadline: 3 * time.Second}, l.Record)
					mu.Lock()
					replies[x.ID] = x
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	before := l.Store.Copy()
	time.Sleep(500 * time.Millisecond)
	acked := put(2, "key-1")
	l.Say("the store has acknowledged the configuration without key-2")
	if l.Trouble {
		time.Sleep(5 * time.Second)
		l.Store.SetAway(true)
		first := l.routers[0]
		first.Kill()
		l.Say("the store is away, and %s is killed", first.Name)
		time.Sleep(500 * time.Millisecond)
		if err := first.Start(); err != nil {
			return cannot, err
		}
		time.Sleep(500 * time.Millisecond)
		l.Store.Restore(before)
		l.Say("the store is back from a copy, %.1f s after that acknowledgement", time.Since(acked).Seconds())
		time.Sleep(time.Second)
		put(2, "key-1")
		l.Say("the operator has written the configuration again, %.1f s after its first acknowledgement", time.Since(acked).Seconds())
	}
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	close(stop)
	w.Wait()

	late := 0
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if x := replies[a.ID]; a.Ran && a.Path == "/order/key-2" && x.Sent.After(acked.Add(revokeTimeout)) {
				late++
				l.AddAt(a.At, "BROKEN: request %s with key-2 runs at %s, sent %d ms after the acknowledgement", a.ID, s.ID, x.Sent.Sub(acked).Milliseconds())
			}
		}
	}
	l.Say("%d requests with the key ran that were sent later than %s after the acknowledgement", late, revokeTimeout)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
