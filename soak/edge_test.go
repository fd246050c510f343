package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// edgeMark is in the ids of streams that are sent near lateRequest after SIGTERM.
	edgeMark = "-edge-"
	// edgeStreams is the number of such streams in a stop. Half of them are sent up to edgeSpread earlier or later,
	// half up to edgeLate later, as a router that takes notice of the signal late takes them.
	edgeStreams = 24
	edgeSpread  = 100 * time.Millisecond
	edgeLate    = 5 * time.Millisecond
	// edgeGrace is the grace period. With a shorter one than 8.1 s, routers take all requests for less than lateRequest
	// (core/drain), which hides a late notice.
	edgeGrace = 10 * time.Second
	// edgeLength is the length of such a stream. One that is sent lateRequest after SIGTERM lasts until the end of the
	// grace period, after that of the drain.
	edgeLength = edgeGrace - lateRequest
)

// edgeScript is the behavior of model servers: streams that are sent near lateRequest last for edgeLength.
func edgeScript(l *checker) func(service string) func(server.Request) server.Reply {
	return func(service string) func(server.Request) server.Reply {
		return func(r server.Request) server.Reply {
			l.mu.Lock()
			defer l.mu.Unlock()
			e := l.find(r)
			if e == nil {
				return server.Reject{Status: http.StatusBadRequest}
			}
			l.recordRun(r, e)
			if service != "llm" {
				return server.Answer{Status: http.StatusOK, Body: "answer to " + r.ID(), Confidence: -1}
			}
			s := server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1}
			if strings.Contains(r.ID(), edgeMark) {
				s.Pause = edgeLength / eventCount
			}
			return s
		}
	}
}

// Guards against streams that a stopping router takes later than lateRequest after SIGTERM, as it takes notice of the
// signal late, and cuts at the end of its drain.
func TestEdgeSeeds(t *testing.T) {
	for _, s := range seeds(t) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			runEdge(t, s, max(faultDuration(t), 2*edgeGrace))
		})
	}
}

func runEdge(t *testing.T, seed uint64, d time.Duration) {
	t.Logf("seed %d for %v", seed, d)
	l := newChecker(seed)
	r := rand.New(rand.NewPCG(seed, 13))
	p := &planned{cluster: newClusterIn(t, world{
		checker: l, script: edgeScript(l), grace: edgeGrace, orderTimeout: plannedOrderTimeout, streamTimeout: plannedTimeout,
	}), terms: map[string][]time.Time{}, restarts: map[*router]bool{}}
	p.seed = seed
	p.await("routers ready", time.Minute, p.allReady)
	for end := time.Now().Add(d - edgeGrace); ; {
		var g sync.WaitGroup
		// All but one may stop at the same time.
		for _, i := range r.Perm(routerCount)[1:] {
			s := rand.New(rand.NewPCG(r.Uint64(), 14))
			g.Go(func() { p.stopAtEdge(s, p.routers[i]) })
		}
		g.Wait()
		p.await("routers ready after the stops", recoveryTime, p.allReady)
		if t.Failed() || time.Now().After(end) {
			break
		}
	}
	p.logFates(t)
	l.report(t)
}

// stopAtEdge restarts a router and sends streams near lateRequest after the signal, half of them on kept connections.
func (p *planned) stopAtEdge(r *rand.Rand, x *router) {
	var clients []*plannedClient
	for i := range edgeStreams {
		c := &plannedClient{planned: p, random: rand.New(rand.NewPCG(r.Uint64(), 15)), router: x}
		if clients = append(clients, c); i%4 < 2 {
			c.keep()
		}
	}
	if err := x.signal(syscall.SIGTERM); err != nil {
		p.t.Errorf("signal %s: %v", x.name, err)
		return
	}
	// Taken after the signal: what is sent lateRequest later was certainly sent too late.
	at := time.Now()
	p.mu.Lock()
	p.terms[x.name] = append(p.terms[x.name], at)
	p.mu.Unlock()
	var g sync.WaitGroup
	for i, c := range clients {
		shift := time.Duration(r.Int64N(int64(edgeLate)))
		if i%2 == 0 {
			shift = time.Duration(r.Int64N(int64(2*edgeSpread))) - edgeSpread
		}
		g.Go(func() {
			defer c.disconnect()
			if time.Sleep(time.Until(at.Add(lateRequest + shift))); c.connect() == nil {
				c.exchange(c.id(edgeMark), "chat", 0)
			}
		})
	}
	if killed, err := x.awaitExit(edgeGrace + 5*time.Second); err != nil || killed {
		p.t.Errorf("%s did not shut down cleanly after SIGTERM: %v", x.name, err)
	}
	g.Wait()
	if err := x.start(); err != nil {
		p.t.Errorf("start %s: %v", x.name, err)
	}
}
