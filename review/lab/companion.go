package main

import (
	"sync"
	"time"
)

// companion has requests come whose prompt holds a part that crashes servers. The first of them are about one document of a
// project, the next ones about another document of it, and the later ones about others. Sound requests about the same
// documents come too, from the time on at which the bad ones are no longer about them.
func companion(l *Lab) (int, error) {
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
	l.soundTraffic(l.routers, &w, stop)
	time.Sleep(6 * time.Second)
	const (
		project           = "a0b0c0d0"
		document, another = "d0c11111", "d0c22222"
	)
	if l.Trouble {
		l.Say("from now on requests come whose prompt holds the part %s", badPart)
	}
	for i := range 45 {
		r := l.routers[(i+1)%len(l.routers)]
		bad, about := badPart, []string{soundPart(), soundPart()}
		if !l.Trouble {
			bad = soundPart()
		}
		switch {
		case i < 4:
			about = []string{project, document}
		case i < 8:
			about = []string{project, another}
		default:
			w.Go(func() { l.ask(l.routers[i%len(l.routers)], planPath, project, []string{document, another}[i%2]) })
		}
		w.Go(func() { l.ask(r, planPath, append([]string{bad}, about...)...) })
		time.Sleep(2 * time.Second)
	}
	close(stop)
	w.Wait()
	return l.checkCrashes(servers), nil
}
