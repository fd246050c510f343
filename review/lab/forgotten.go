package main

import (
	"sync"
	"syscall"
	"time"
)

// forgotten has requests come whose prompt holds a part that crashes servers, until they are refused. Then all routers are
// killed at once and start again, and the requests come on when all machines are in touch again.
func forgotten(l *Lab) (int, error) {
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
	var w sync.WaitGroup
	sound := func() (end func()) {
		stop := make(chan struct{})
		l.soundTraffic(l.routers, &w, stop)
		return func() { close(stop) }
	}
	end := sound()
	time.Sleep(5 * time.Second)
	l.Say("from now on requests come whose prompt holds the part %s", badPart)
	l.badTraffic(l.routers, 10, 2*time.Second, &w)
	end()
	// The streams in progress end before the kill, which isn't to break them off.
	time.Sleep(1500 * time.Millisecond)
	if l.Trouble {
		for _, r := range l.routers {
			r.Signal(syscall.SIGKILL)
		}
		for _, r := range l.routers {
			<-r.done
		}
		l.Say("all routers are killed")
		time.Sleep(500 * time.Millisecond)
		if err := l.StartRouters(); err != nil {
			return cannot, err
		}
		l.Say("all routers are ready again")
	}
	end = sound()
	time.Sleep(stabilityWindow + 3*time.Second)
	l.Say("the requests with the part come on")
	l.badTraffic(l.routers, 20, 2*time.Second, &w)
	end()
	w.Wait()
	return l.checkCrashes(servers), nil
}
