package main

import (
	"sync"
	"time"
)

// silentPeers makes the open connections between routers go silent once. Later, when all machines are in touch again, requests
// come whose prompt holds a part that crashes servers.
func silentPeers(l *Lab) (int, error) {
	servers, err := l.addModelServers()
	if err != nil {
		return cannot, err
	}
	var proxies []*Proxy
	var failed error
	seedsFor := func(i int, seeds []string) []string {
		out := append([]string(nil), seeds...)
		for j := range out {
			if i == j {
				continue
			}
			p, err := newProxy(out[j])
			if err != nil {
				failed = err
				return nil
			}
			proxies = append(proxies, p)
			out[j] = p.Address
		}
		return out
	}
	if err := l.AddRouters(5, func(int) string { return l.Store.Address }, seedsFor); err != nil {
		return cannot, err
	}
	if failed != nil {
		return cannot, failed
	}
	if err := l.StartRouters(); err != nil {
		return cannot, err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	l.soundTraffic(l.routers, &w, stop)
	time.Sleep(6 * time.Second)
	silentAt := time.Now()
	if l.Trouble {
		n := 0
		for _, p := range proxies {
			n += p.Silence()
		}
		l.Say("the %d open connections between routers go silent", n)
	}
	time.Sleep(8 * time.Second)
	l.Say("from now on requests come whose prompt holds the part %s, %.1f s after the silence", badPart, time.Since(silentAt).Seconds())
	l.badTraffic(l.routers, 25, 2*time.Second, &w)
	close(stop)
	w.Wait()
	return l.checkCrashes(servers), nil
}
