package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// plannedGrace is the grace period in runs with planned work only.
	plannedGrace = 8 * time.Second
	// lateRequest and lateWork are the users' excuse for a request that a stop ends: it was sent up to lateRequest
	// after the signal and still at work in the last of lateWork equal parts of the grace period.
	lateRequest = 3 * time.Second
	lateWork    = 6
	// keySettle is the time after a change of keys in which either answer is right.
	keySettle = 3 * time.Second
	// plannedTimeout is the timeout of streams, plannedOrderTimeout that of orders.
	plannedTimeout      = 20 * time.Second
	plannedOrderTimeout = 6 * time.Second
	// plannedClients is the number of clients, fewClients that in one of three runs, in which little else keeps a
	// stopping router busy. modelSlots is the number of streams that a model server holds.
	plannedClients = 24
	fewClients     = 6
	modelSlots     = 3
	// longestOrder is the longest work of a server on an order, longestPause that between two events of a stream.
	longestOrder = 5500 * time.Millisecond
	longestPause = 4500 * time.Millisecond
	// listenerOpen is how long a stopping router accepts connections and keeps idle ones. The aimedRequests of a stop
	// connect up to aimSpread earlier or later, the lateRequests are sent on kept connections from lateRequest on.
	listenerOpen  = 5 * time.Second
	aimSpread     = 100 * time.Millisecond
	aimedRequests = 12
	lateRequests  = 10
	// lateLong is the number of late requests of which one is long, although its route's usual work is short.
	lateLong = 3
	// startWait bounds the time until a router that has been started accepts connections, shortLife the time
	// from then on until it is stopped again.
	startWait = 5 * time.Second
	shortLife = 300 * time.Millisecond
)

// workload is how often servers take long over a request.
type workload struct {
	// orders and streams are the numbers of requests of which one is long.
	orders, streams int
	// calm is the time in which no request is long, between two spells. Without spells, calm is 0.
	calm, spell time.Duration
	began       time.Time
}

// newWorkload draws a workload: many long requests at all times, few, or many in spells, after which what is usual
// for a route says nothing about its next requests.
func newWorkload(r *rand.Rand) workload {
	switch r.IntN(3) {
	case 0:
		return workload{orders: 6, streams: 8, began: time.Now()}
	case 1:
		return workload{orders: 100, streams: 100, began: time.Now()}
	default:
		ms := func(low, high int) time.Duration { return time.Duration(low+r.IntN(high-low)) * time.Millisecond }
		return workload{orders: 3, streams: 4, calm: ms(4000, 10_000), spell: ms(1500, 3000), began: time.Now()}
	}
}

// long draws whether a request is long, of which one in n is.
func (w workload) long(r *rand.Rand, id string, n int) bool {
	if strings.Contains(id, lateMark) && r.IntN(lateLong) == 0 {
		return true
	}
	if w.calm > 0 && time.Since(w.began)%(w.calm+w.spell) < w.calm {
		return false
	}
	return r.IntN(n) == 0
}

// planned holds what a run with planned work only has done. It is safe for concurrent use.
type planned struct {
	*cluster
	mu sync.Mutex
	// terms are the times of SIGTERM by router.
	terms map[string][]time.Time
	// restarts holds the routers that are being restarted.
	restarts map[*router]bool
	// keysAt is the time of the latest change of keys.
	keysAt time.Time
}

// plannedScript is the behavior of servers in a run with planned work only: long orders take up to longestOrder, and
// long streams are preempted for up to longestPause or have such a pause in parts between all events. Bodies of
// answers end in all ways.
func plannedScript(l *checker, w workload) func(service string) func(server.Request) server.Reply {
	return func(service string) func(server.Request) server.Reply {
		return func(r server.Request) server.Reply {
			l.mu.Lock()
			defer l.mu.Unlock()
			e := l.find(r)
			if e == nil {
				return server.Reject{Status: http.StatusBadRequest}
			}
			l.recordRun(r, e)
			if service == "llm" {
				return plannedStream(l.random, w.long(l.random, r.ID(), w.streams))
			}
			d := time.Duration(0)
			if e.kind == "order" && w.long(l.random, r.ID(), w.orders) {
				d = time.Duration(l.random.Int64N(int64(longestOrder)))
			}
			f := []server.Framing{server.ByLength, server.ByChunks, server.ByClose}[l.random.IntN(3)]
			return server.Delayed{Answer: server.Answer{Status: http.StatusOK, Body: "answer to " + r.ID(), Framing: f, Confidence: -1}, Delay: d}
		}
	}
}

func plannedStream(r *rand.Rand, long bool) server.Reply {
	s := server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1, Unframed: r.IntN(4) == 0}
	if !long {
		return s
	}
	d := time.Second + time.Duration(r.Int64N(int64(longestPause-time.Second)))
	if r.IntN(3) == 0 {
		s.Pause += d / eventCount
		return s
	}
	return server.Paused{Events: s, After: 1 + r.IntN(eventCount-1), For: d}
}

// Guards against requests that a planned stop, a reload, a change of the configuration or a preemption beside full
// servers loses, however their bodies and answers are framed: by clients that use their connections until the process
// is gone, or open new ones as its listener is closed, and by work that is longer than a route's usual. Guards also
// against keys that are accepted after the last account was taken away.
func TestPlannedSeeds(t *testing.T) {
	for _, s := range seeds(t) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			runPlanned(t, s, max(2*faultDuration(t), 20*time.Second))
		})
	}
}

func runPlanned(t *testing.T, seed uint64, d time.Duration) {
	t.Logf("seed %d for %v", seed, d)
	l := newChecker(seed)
	r := rand.New(rand.NewPCG(seed, 7))
	work, clients := newWorkload(r), []int{plannedClients, plannedClients, fewClients}[r.IntN(3)]
	t.Logf("%d clients, one in %d orders and %d streams is long, in spells of %s after %s", clients, work.orders, work.streams, work.spell, work.calm)
	p := &planned{cluster: newClusterIn(t, world{checker: l, script: plannedScript(l, work), grace: plannedGrace, orderTimeout: plannedOrderTimeout, streamTimeout: plannedTimeout}), terms: map[string][]time.Time{}, restarts: map[*router]bool{}}
	p.seed = seed
	for _, u := range p.upstreams {
		if u.service == "llm" {
			u.SetSlots(modelSlots)
		}
	}
	p.await("routers ready", time.Minute, p.allReady)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() { p.runClient(ctx, i) })
	}
	p.operate(rand.New(rand.NewPCG(seed, 4)), d)
	p.await("routers ready after the planned work", recoveryTime, p.allReady)
	stop()
	g.Wait()
	p.logFates(t)
	l.report(t)
}

// operate does planned work for d, in overlapping series: stops, reloads, and configurations with other accounts, down
// to none. The last ones begin so early that a stop which lasts for the whole grace period ends by d + listenerOpen.
func (p *planned) operate(r *rand.Rand, d time.Duration) {
	var g sync.WaitGroup
	end := time.Now().Add(d - (plannedGrace - listenerOpen))
	keys := rand.New(rand.NewPCG(r.Uint64(), 5))
	g.Go(func() { p.changeKeys(keys, end) })
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		x := p.routers[r.IntN(len(p.routers))]
		if r.IntN(3) == 0 {
			if err := x.signal(syscall.SIGHUP); err != nil {
				p.t.Logf("signal %s: %v", x.name, err)
			}
			continue
		}
		if p.takeRestart(x) {
			s := rand.New(rand.NewPCG(r.Uint64(), 8))
			g.Go(func() { p.restartSeries(s, x, end) })
		}
	}
	g.Wait()
}

// takeRestart reports whether a router may be restarted now, and notes that it is: all but one may stop at the same
// time.
func (p *planned) takeRestart(x *router) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restarts[x] || len(p.restarts) >= len(p.routers)-1 {
		return false
	}
	p.restarts[x] = true
	return true
}

func (p *planned) endRestart(x *router) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.restarts, x)
}

// restartSeries restarts a router, and now and then once more shortly after it has started, unless end is over.
func (p *planned) restartSeries(r *rand.Rand, x *router, end time.Time) {
	defer p.endRestart(x)
	p.restartPlanned(r, x)
	for r.IntN(4) == 0 && time.Now().Before(end) && awaitListener(x) {
		time.Sleep(time.Duration(r.Int64N(int64(shortLife))))
		p.restartPlanned(r, x)
	}
}

// awaitListener waits until a router accepts connections, at most for startWait, and reports whether it does.
func awaitListener(x *router) bool {
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", x.clients); err == nil {
			c.Close()
			return true
		}
	}
	return false
}

// restartPlanned restarts a router while further signals arrive, and requests are sent late on connections that were
// opened before and as its listener is closed.
func (p *planned) restartPlanned(r *rand.Rand, x *router) {
	var clients []*plannedClient
	for range lateRequests + aimedRequests {
		clients = append(clients, &plannedClient{planned: p, random: rand.New(rand.NewPCG(r.Uint64(), 9)), router: x})
	}
	for _, c := range clients[:lateRequests] {
		c.keep()
	}
	at := time.Now()
	p.mu.Lock()
	p.terms[x.name] = append(p.terms[x.name], at)
	p.mu.Unlock()
	var g sync.WaitGroup
	signals, process := rand.New(rand.NewPCG(r.Uint64(), 10)), x.process()
	g.Go(func() { signalAgain(signals, process) })
	for i, c := range clients {
		if i < lateRequests {
			g.Go(func() { c.sendLate(at) })
		} else {
			g.Go(func() { c.sendAimed(at) })
		}
	}
	p.restart(x, syscall.SIGTERM)
	g.Wait()
}

// signalAgain sends up to four further signals to a stopping process, in half of all stops.
func signalAgain(r *rand.Rand, p *os.Process) {
	if r.IntN(2) == 0 {
		return
	}
	for range 1 + r.IntN(4) {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		if p.Signal([]os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGHUP}[r.IntN(4)]) != nil {
			return
		}
	}
}

// changeKeys writes configurations with two, one and no accounts until end.
func (p *planned) changeKeys(r *rand.Rand, end time.Time) {
	sets := [][]string{{"key-a", "key-b"}, {"key-a", "key-b"}, {"key-a"}, {"key-b"}, {}}
	version := 2
	for ; time.Now().Before(end); version++ {
		p.setKeys(version, sets[r.IntN(len(sets))])
		time.Sleep(time.Duration(2000+r.IntN(6500)) * time.Millisecond)
	}
	p.setKeys(version, sets[0])
}

// setKeys writes a configuration with certain keys and records which ones it adds and takes away.
func (p *planned) setKeys(version int, keys []string) {
	p.recordKeyChange()
	held := map[string]bool{}
	for _, k := range keys {
		held[k] = true
		p.checker.restoreKey(k)
	}
	p.config(version, keys...)
	for _, k := range []string{"key-a", "key-b"} {
		if !held[k] {
			p.checker.revokeOnce(k)
		}
	}
	p.recordKeyChange()
}

// recordKeyChange records that the keys change now.
func (p *planned) recordKeyChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keysAt = time.Now()
}

// keysChanged reports whether the keys have changed so lately that a router may not know it.
func (p *planned) keysChanged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.keysAt) < keySettle
}

// recordLost records that a connection ended without a complete response to a request of some form. That is a violation if a server got
// the request, unless a stop of the router excuses it.
func (p *planned) recordLost(id, form string, err error) {
	now := time.Now()
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	o := p.checker.observations[id]
	if o.runs == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.terms[o.router] {
		if o.sent.Before(t.Add(lateRequest)) && o.sent.After(t.Add(-p.grace)) && now.After(t.Add(p.grace-p.grace/lateWork)) && now.Before(t.Add(p.grace+time.Second)) {
			return
		}
	}
	p.checker.addViolation("%s %s, %s, sent to %s %s after the last SIGTERM, reached a server and ended after %s without a complete response: %v",
		o.kind, id, form, o.router, sinceLast(p.terms[o.router], o.sent), now.Sub(o.sent), strings.TrimSpace(err.Error()))
}

// sinceLast returns the time from the last of ts until t, or "no time".
func sinceLast(ts []time.Time, t time.Time) string {
	if len(ts) == 0 {
		return "no time"
	}
	return t.Sub(ts[len(ts)-1]).String()
}
