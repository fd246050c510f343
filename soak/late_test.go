package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/shaper"
)

const (
	// lateTimeout is the timeout of all routes, lateDeskWork the work of servers on a look-up or an order.
	lateTimeout  = 1500 * time.Millisecond
	lateDeskWork = 60 * time.Millisecond
	// spellTime is how long a router has little time, spellPause the time before each spell.
	spellTime  = 4 * time.Second
	spellPause = 1500 * time.Millisecond
	// slice is the time of which a router runs for a part.
	slice = 50 * time.Millisecond
	// usualRate is the rate of requests to each router outside spells, per second.
	usualRate = 60
	// perMillisecond is the rate of requests, per second, that about fills a router with one processor for each
	// millisecond of a slice in which it runs: a request takes 0.4 ms.
	perMillisecond = 50
	// stabilityWindow is the users' time after an impairment in which the rules with bounds don't hold for a machine.
	stabilityWindow = 3 * time.Second
	lateGrace       = 4 * time.Second
	// minLink and maxLink bound the rate of a slow link, fastLink is that of others, in bytes a second. linkAnswer is the
	// length of an answer over a slow link in bytes.
	minLink    = 400_000
	maxLink    = 1_250_000
	fastLink   = 100_000_000
	linkAnswer = 8000
)

// spell is a time in which the slow router gets little processor time, or little of its link.
type spell struct {
	// on is how long it runs of each slice, 0 for all the while.
	on time.Duration
	// link is the rate of its link, in bytes a second, 0 for a fast one.
	link int
	// rate is that of its requests, per second.
	rate int
	// stop is how long it is stopped in the pause before the spell, 0 for not at all. term is when it gets SIGTERM in
	// the spell, 0 for never.
	stop, term time.Duration
	span
}

func (s *spell) String() string {
	return fmt.Sprintf("%s of each %s, a link of %d bytes a second, %d requests a second, stopped for %s before, SIGTERM after %s", s.on, slice, s.link, s.rate, s.stop, s.term)
}

// newSpell draws a spell, of which most are past the router's capacity.
func newSpell(r *rand.Rand) *spell {
	on := 1 + r.IntN(10)
	load := []float64{0.6, 1.5, 2, 3, 4}[r.IntN(5)]
	s := &spell{on: time.Duration(on) * time.Millisecond, rate: max(int(load*float64(on*perMillisecond)), usualRate)}
	if r.IntN(4) == 0 {
		s.stop = time.Duration(300+r.IntN(2700)) * time.Millisecond
	}
	if r.IntN(6) == 0 {
		s.term = time.Duration(1 + r.Int64N(int64(spellTime)))
	}
	return s
}

// newLinkSpell draws a spell with a slow link, of which most are past its capacity.
func newLinkSpell(r *rand.Rand) *spell {
	s := newSpell(r)
	s.on, s.link = 0, minLink+r.IntN(maxLink-minLink)
	load := []float64{0.6, 1.5, 1.5, 2, 3}[r.IntN(5)]
	s.rate = int(load * float64(s.link) / linkAnswer)
	return s
}

// lateRun is a run in which one router, the first, gets little time in spells. It is safe for concurrent use.
type lateRun struct {
	*cluster
	judge *judge
	pulse pulse
	// size is the length of plain answers in bytes, 0 for that of their text.
	size int
	// link is that of the slow router, or nil. If there is one, only the slow router gets requests, as all routers reach
	// upstreams by the same addresses.
	link *shaper.Link

	mu    sync.Mutex
	fates map[string]*fate
	// rate is that of the requests to the slow router, per second.
	rate int
	// disturbed are the times by router in which it was impaired or stopped, until stabilityWindow later. terms are the
	// times of SIGTERM.
	disturbed map[string][]span
	// unplanned are those of disturbed that are no planned stop.
	unplanned map[string][]span
	terms     map[string][]time.Time
}

// Guards against requests that are held past their time-out or sent on after their client has left by a router with
// little processor time, against requests that are lost, doubled or refused falsely beside that, and against sound
// upstreams, prompts and versions that a late router calls bad.
func TestLateSeeds(t *testing.T) {
	for _, s := range proc.Seeds(t, "SOAK_SEEDS", 1) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			p := &lateRun{}
			p.play(t, s, newSpell)
		})
	}
}

// Guards against the same by a router whose link to clients and upstreams is slow.
func TestFullLinkSeeds(t *testing.T) {
	for _, s := range proc.Seeds(t, "SOAK_SEEDS", 1) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			p := &lateRun{size: linkAnswer, link: shaper.New(fastLink)}
			t.Cleanup(p.link.Close)
			p.play(t, s, newLinkSpell)
		})
	}
}

// lateSpells returns the number of spells: as many as fit in SOAK_TIME, else 2.
func lateSpells(t *testing.T) int {
	t.Helper()
	if os.Getenv("SOAK_TIME") == "" {
		return 2
	}
	return max(1, int(faultDuration(t)/(spellPause+spellTime)))
}

// play does a run with spells that draw returns.
func (p *lateRun) play(t *testing.T, seed uint64, draw func(*rand.Rand) *spell) {
	l := newChecker(seed)
	p.judge, p.rate, p.fates = &judge{}, usualRate, map[string]*fate{}
	p.disturbed, p.unplanned, p.terms = map[string][]span{}, map[string][]span{}, map[string][]time.Time{}
	x := world{
		checker: l, script: p.script(l), grace: lateGrace, orderTimeout: lateTimeout, streamTimeout: lateTimeout, readTimeout: lateTimeout,
		direct: true, roomy: true, watch: p.judge, env: []string{"GOMAXPROCS=1"},
	}
	if p.link != nil {
		x.via = p.link.FromProcess
	}
	p.cluster = newClusterIn(t, x)
	p.seed = seed
	p.await("routers ready", time.Minute, p.allReady)
	end := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() { p.pulse.run(end) })
	p.load(&g, end)
	random := rand.New(rand.NewPCG(seed, 13))
	var ss []*spell
	for range lateSpells(t) {
		ss = append(ss, draw(random))
	}
	d := time.Duration(len(ss)) * (spellPause + spellTime)
	p.rollOut("desk", d)
	operated := make(chan struct{})
	go func() {
		defer close(operated)
		p.operate(rand.New(rand.NewPCG(seed, 14)), time.Now().Add(d))
	}()
	for _, s := range ss {
		p.spell(s)
	}
	<-operated
	p.await("routers ready after the faults", recoveryTime, p.allReady)
	close(end)
	g.Wait()
	p.check(ss)
	l.report(t)
}

// load starts the clients, which send requests until end is closed.
func (p *lateRun) load(g *sync.WaitGroup, end <-chan struct{}) {
	for i, r := range p.routers {
		address := r.clients
		if p.link != nil {
			if i > 0 {
				return
			}
			var err error
			if address, err = p.link.ToProcess(r.clients); err != nil {
				p.t.Fatal(err)
			}
		}
		g.Go(func() { p.offer(i, address, end) })
	}
}

// script is the behavior of the servers, which are sound all the while.
func (p *lateRun) script(l *checker) func(service string) func(server.Request) server.Reply {
	return func(service string) func(server.Request) server.Reply {
		return func(r server.Request) server.Reply {
			p.recordArrival(r.ID())
			l.mu.Lock()
			defer l.mu.Unlock()
			e := l.find(r)
			if e == nil {
				return server.Reject{Status: http.StatusBadRequest}
			}
			l.recordRun(r, e)
			if service == "llm" {
				return server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1}
			}
			body := "answer to " + r.ID()
			body += strings.Repeat(" ", max(p.size-len(body), 0))
			return server.Delayed{Answer: server.Answer{Status: http.StatusOK, Body: body, Confidence: -1}, Delay: lateDeskWork}
		}
	}
}

// rollOut orders the change of a service to a good version within a time.
func (p *lateRun) rollOut(service string, within time.Duration) {
	for i := range plainUpstreams {
		s, err := server.New(fmt.Sprintf("%s-v2-%d", service, i), p.script(p.checker)(service))
		if err != nil {
			p.t.Fatal(err)
		}
		p.t.Cleanup(s.Close)
		p.registerVersion(&upstream{Server: s, service: service}, "ready", "v2")
	}
	if err := p.store.PutJSON("op", "rollout/"+service, map[string]any{"service": service, "to": "v2", "duration_s": within.Seconds()}); err != nil {
		p.t.Fatal(err)
	}
}

// spell plays a spell at the slow router.
func (p *lateRun) spell(s *spell) {
	r := p.routers[0]
	time.Sleep(spellPause)
	if s.stop > 0 {
		p.disturb(r, false, func() { p.pause(r, s.stop) })
	}
	p.setRate(s.rate)
	s.from = time.Now()
	var g sync.WaitGroup
	defer g.Wait()
	if s.term > 0 {
		g.Go(func() {
			time.Sleep(s.term)
			p.terminate(r)
		})
	}
	if s.link > 0 {
		p.link.SetRate(s.link)
		time.Sleep(spellTime)
		p.link.SetRate(fastLink)
		s.to = time.Now()
	}
	for s.to = time.Now(); s.to.Sub(s.from) < spellTime; s.to = time.Now() {
		if r.signal(syscall.SIGSTOP) == nil {
			time.Sleep(slice - s.on)
			if err := r.signal(syscall.SIGCONT); err != nil {
				p.t.Logf("continue %s: %v", r.name, err)
			}
		}
		time.Sleep(s.on)
	}
	p.setRate(usualRate)
}

func (p *lateRun) setRate(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = n
}

// rateOf returns the rate of the requests to router i, per second.
func (p *lateRun) rateOf(i int) int {
	if i > 0 {
		return usualRate
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate
}

// disturb records a disturbance of a router, which f does.
func (p *lateRun) disturb(r *router, planned bool, f func()) {
	from := time.Now()
	f()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := span{from, time.Now().Add(stabilityWindow)}
	p.disturbed[r.name] = append(p.disturbed[r.name], s)
	if !planned {
		p.unplanned[r.name] = append(p.unplanned[r.name], s)
	}
}

// operate stops, restarts and kills the other routers and changes the configuration until end, in overlapping series.
func (p *lateRun) operate(r *rand.Rand, end time.Time) {
	var g sync.WaitGroup
	for version := 2; ; version++ {
		time.Sleep(time.Duration(300+r.IntN(1200)) * time.Millisecond)
		if time.Now().After(end) {
			break
		}
		x := p.routers[1+r.IntN(len(p.routers)-1)]
		d := time.Duration(300+r.IntN(2700)) * time.Millisecond
		switch r.IntN(5) {
		case 0:
			g.Go(func() { p.disturb(x, false, func() { p.pause(x, d) }) })
		case 1:
			g.Go(func() { p.disturb(x, false, func() { p.restart(x, syscall.SIGKILL) }) })
		case 2:
			g.Go(func() { p.terminate(x) })
		case 3:
			if err := p.routers[r.IntN(len(p.routers))].signal(syscall.SIGHUP); err != nil {
				p.t.Logf("reload: %v", err)
			}
		default:
			p.config(version, "key-a", "key-b", strings.Repeat("c", version))
		}
	}
	g.Wait()
}

// terminate restarts a router by SIGTERM unless it is being restarted.
func (p *lateRun) terminate(r *router) {
	if r.restarting.Load() {
		return
	}
	p.mu.Lock()
	p.terms[r.name] = append(p.terms[r.name], time.Now())
	p.mu.Unlock()
	p.disturb(r, true, func() { p.restart(r, syscall.SIGTERM) })
}
