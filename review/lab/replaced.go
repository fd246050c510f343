package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// replaced replaces the three machines that are the seeds, one after the other, by others at new addresses. Later requests
// come whose prompt holds a part that crashes servers.
func replaced(l *Lab) (int, error) {
	servers, err := l.addModelServers()
	if err != nil {
		return cannot, err
	}
	if err := l.AddRouters(5, func(int) string { return l.Store.Address }, sameSeeds); err != nil {
		return cannot, err
	}
	if err := l.StartRouters(); err != nil {
		return cannot, err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	time.Sleep(5 * time.Second)
	routers := l.routers
	if l.Trouble {
		old, stay := l.routers[:3], l.routers[3:]
		seeds := []string{old[0].Share, old[1].Share, old[2].Share}
		var added []*Router
		for i, o := range old {
			n := newRouter(l.program, l.dir, fmt.Sprintf("edge-%s-9", o.Zone), o.Zone, fmt.Sprintf("%s.%d", l.network, 20+i))
			l.routers = append(l.routers, n)
			added = append(added, n)
			seeds[i] = n.Share
			if err := n.Configure(l.Store.Address, seeds); err != nil {
				return cannot, err
			}
			if err := n.Start(); err != nil {
				return cannot, err
			}
			if err := n.AwaitReady(10 * time.Second); err != nil {
				return cannot, err
			}
			o.Signal(syscall.SIGTERM)
			l.Say("%s replaces %s, which gets SIGTERM", n.Name, o.Name)
			<-o.done
			for _, r := range stay {
				if err := r.Configure(l.Store.Address, seeds); err != nil {
					return cannot, err
				}
				r.Signal(syscall.SIGHUP)
			}
			for _, r := range added {
				if err := r.Configure(l.Store.Address, seeds); err != nil {
					return cannot, err
				}
				r.Signal(syscall.SIGHUP)
			}
		}
		routers = append(added, stay...)
	}
	l.soundTraffic(routers, &w, stop)
	time.Sleep(8 * time.Second)
	l.Say("from now on requests come whose prompt holds the part %s", badPart)
	l.badTraffic(routers, 25, 2*time.Second, &w)
	close(stop)
	w.Wait()
	return l.checkCrashes(servers), nil
}
