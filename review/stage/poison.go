package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const poisonPart = "badc0de5"

// sound returns a request whose prompt is like the poisoned ones but for the part that crashes servers.
func sound() *request {
	return prompt(fmt.Sprintf("%08x", 0x70000000+rand.IntN(6)))
}

// prompt returns a request with a part of its prompt beside parts that others share.
func prompt(part string) *request {
	return &request{
		method: "POST", path: streams + "2f", deadline: 25 * time.Second, in: 1460, out: 24,
		prefix: fmt.Sprintf("5c1e07a2:800,%s:410,%08x:250", part, rand.Uint32()), body: "{}",
	}
}

// load sends sound requests at a rate until the time is over.
func (g *stage) load(perSecond float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if m, err := pick(g.machines); err == nil {
			g.clients.send(m, "sound", sound())
		}
		time.Sleep(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
	}
}

// poisoned sends requests with the part that crashes servers, one each gap, until the time is over.
func (g *stage) poisoned(gap, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		if m, err := pick(g.machines); err == nil {
			g.clients.send(m, "poisoned", prompt(poisonPart))
		}
	}
}

// afterFifth counts the requests with the part that reached servers, sent by machines in touch later than the stability
// window after the fifth crash.
func (g *stage) afterFifth() int {
	g.farm.mu.Lock()
	defer g.farm.mu.Unlock()
	g.clients.mu.Lock()
	defer g.clients.mu.Unlock()
	if len(g.farm.crashes) < 5 {
		g.record.say("only %d crashes", len(g.farm.crashes))
		return 0
	}
	from := g.farm.crashes[4].Add(stability)
	by := map[string]*sent{}
	for _, x := range g.clients.sent {
		by[x.id] = x
	}
	n := 0
	for _, r := range g.farm.reached {
		x := by[r.id]
		if x == nil || x.label != "poisoned" || !r.at.After(from) || !x.machine.inTouch(r.at) {
			continue
		}
		n++
		g.record.add("counted: %s reached server %s at %.3f from %s", r.id, r.server, g.record.at(r.at), x.machine.name)
	}
	g.record.say("%d crashes, the fifth at %.1f s; %d requests with the part reached servers from machines in touch later than %s after it (3 are allowed)",
		len(g.farm.crashes), g.record.at(g.farm.crashes[4]), n, stability)
	return n
}

// summary says how the requests of a label ended.
func (g *stage) summary(label string) {
	g.clients.mu.Lock()
	defer g.clients.mu.Unlock()
	all, whole, cut := 0, 0, 0
	status := map[int]int{}
	for _, x := range g.clients.sent {
		if x.label != label {
			continue
		}
		all++
		status[x.status]++
		switch {
		case x.status == 200 && x.complete:
			whole++
		case x.status == 200:
			cut++
		}
	}
	g.record.say("%s requests: %d sent, %d answered whole, %d cut, by status %v", label, all, whole, cut, status)
}

func init() {
	cases["known"] = func(g *stage) (bool, error) {
		lost, _, err := g.playKnown(known{delay: -1, gap: 150 * time.Millisecond, times: 1})
		return lost, err
	}
	cases["repeats"] = func(g *stage) (bool, error) {
		_, budget, err := g.playKnown(known{delay: 60 * time.Millisecond, gap: 3 * time.Second, times: 2})
		return budget, err
	}
	cases["sessions"] = func(g *stage) (bool, error) { return g.playContent(true) }
	cases["same"] = func(g *stage) (bool, error) { return g.playContent(false) }
	cases["seeds"] = func(g *stage) (bool, error) { return g.playSeeds() }
	cases["moved"] = func(g *stage) (bool, error) { return g.playMoved() }
	cases["herd"] = func(g *stage) (bool, error) { return g.playHerd() }
}

// modelServers are those of the poison cases.
func modelServers(service string, delay time.Duration) *kind {
	return &kind{service: service, engine: true, slots: 64, token: 4 * time.Millisecond, eventTokens: 6, poison: poisonPart, poisonDelay: delay, down: 3 * time.Second}
}

// playSeeds has the three seeds lost for good before requests with a part come that crashes servers.
func (g *stage) playSeeds() (bool, error) {
	if _, err := g.engines(modelServers(serviceA, 60*time.Millisecond), 9); err != nil {
		return false, err
	}
	g.store.put("op", "config", config(7, serviceA))
	if err := g.startMachines(8); err != nil {
		return false, err
	}
	const played = 60 * time.Second
	go g.load(30, played)
	time.Sleep(8 * time.Second)
	if g.trouble {
		for _, m := range g.machines[:3] {
			g.record.add("machine %s is lost for good", m.name)
			m.kill()
		}
	}
	time.Sleep(6 * time.Second)
	g.poisoned(time.Second, played-16*time.Second)
	time.Sleep(2 * time.Second)
	n := g.afterFifth()
	g.summary("poisoned")
	g.summary("sound")
	return n > 3, nil
}

// playHerd kills all machines' processes at once after a part that crashes servers has been found.
func (g *stage) playHerd() (bool, error) {
	if _, err := g.engines(modelServers(serviceA, -1), 9); err != nil {
		return false, err
	}
	g.store.put("op", "config", config(7, serviceA))
	if err := g.startMachines(5); err != nil {
		return false, err
	}
	const gap, played = 6 * time.Second, 80 * time.Second
	go g.load(30, played)
	time.Sleep(8 * time.Second)
	go g.poisoned(gap, played-10*time.Second)
	// Shortly after the fifth of these requests.
	time.Sleep(4*gap + 500*time.Millisecond)
	if g.trouble {
		g.record.add("all processes are killed")
		for _, m := range g.machines {
			m.signal(9)
		}
		time.Sleep(time.Second)
		for _, m := range g.machines {
			if err := m.start(g.root); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(played - 8*time.Second - 4*gap)
	n := g.afterFifth()
	g.summary("poisoned")
	g.summary("sound")
	return n > 3, nil
}

// playMoved has the operator move the route to another model service after a part that crashes servers has been found.
func (g *stage) playMoved() (bool, error) {
	const gap, played = 3 * time.Second, 60 * time.Second
	for _, x := range []string{serviceA, serviceB} {
		if _, err := g.engines(modelServers(x, 60*time.Millisecond), 6); err != nil {
			return false, err
		}
	}
	g.store.put("op", "config", config(7, serviceA))
	if err := g.startMachines(5); err != nil {
		return false, err
	}
	go g.load(30, played)
	time.Sleep(8 * time.Second)
	go g.poisoned(gap, played-10*time.Second)
	time.Sleep(22 * time.Second)
	if g.trouble {
		g.record.add("config 9 moves the route to service %s", serviceB)
		g.store.put("op", "config", config(9, serviceB))
	}
	time.Sleep(played - 30*time.Second + 2*time.Second)
	n := g.afterFifth()
	g.summary("poisoned")
	g.summary("sound")
	return n > 3, nil
}

// crashBody is the body of the request that crashes servers.
const crashBody = `{"logo":"f81d4fae"}`

// afterThird counts the requests with the label that reached servers, sent by machines in touch later than the stability
// window after the third crash.
func (g *stage) afterThird(label string) int {
	g.farm.mu.Lock()
	defer g.farm.mu.Unlock()
	g.clients.mu.Lock()
	defer g.clients.mu.Unlock()
	if len(g.farm.crashes) < 3 {
		g.record.say("only %d crashes", len(g.farm.crashes))
		return 0
	}
	from := g.farm.crashes[2].Add(stability)
	by := map[string]*sent{}
	for _, x := range g.clients.sent {
		by[x.id] = x
	}
	n := 0
	for _, r := range g.farm.reached {
		x := by[r.id]
		if x == nil || x.label != label || !r.at.After(from) || !x.machine.inTouch(r.at) {
			continue
		}
		n++
		g.record.add("counted: %s reached server %s at %.3f from %s", r.id, r.server, g.record.at(r.at), x.machine.name)
	}
	g.record.say("%d crashes, the third at %.1f s; the request reached servers %d times from machines in touch later than %s after it (3 are allowed)",
		len(g.farm.crashes), g.record.at(g.farm.crashes[2]), n, stability)
	return n
}

// playContent has a caller send a request again and again that crashes each server that begins to run it.
func (g *stage) playContent(sessions bool) (bool, error) {
	k := modelServers(serviceA, 60*time.Millisecond)
	k.poison = ""
	if g.trouble {
		k.poisonBody = crashBody
	}
	if _, err := g.engines(k, 9); err != nil {
		return false, err
	}
	g.store.put("op", "config", config(7, serviceA))
	if err := g.startMachines(5); err != nil {
		return false, err
	}
	const gap, played = 3 * time.Second, 60 * time.Second
	go g.load(30, played)
	time.Sleep(8 * time.Second)
	session := rand.Uint32()
	for end := time.Now().Add(played - 10*time.Second); time.Now().Before(end); time.Sleep(gap) {
		m, err := pick(g.machines)
		if err != nil {
			return false, err
		}
		if sessions {
			session = rand.Uint32()
		}
		q := prompt("70000001")
		q.prefix = fmt.Sprintf("5c1e07a2:800,70000001:410,%08x:250", session)
		q.session = fmt.Sprintf("s%08x", session)
		q.body = crashBody
		g.clients.send(m, "crashing", q)
	}
	time.Sleep(2 * time.Second)
	n := g.afterThird("crashing")
	g.summary("crashing")
	g.summary("sound")
	return n > 3, nil
}

// begun returns which part of the sound requests began at their first attempt before the first crash, and which from twice
// the stability window after the fifth crash on, while requests with the part still came.
func (g *stage) begun(until time.Time) (before, late float64) {
	g.farm.mu.Lock()
	defer g.farm.mu.Unlock()
	g.clients.mu.Lock()
	defer g.clients.mu.Unlock()
	if len(g.farm.crashes) < 5 {
		return 1, 1
	}
	ran := map[string]bool{}
	for _, r := range g.farm.runs {
		ran[r.id] = true
	}
	first, from := g.farm.crashes[0], g.farm.crashes[4].Add(2*stability)
	var all, began [2]int
	for _, x := range g.clients.sent {
		if x.label != "sound" || !x.machine.inTouch(x.at) {
			continue
		}
		var i int
		switch {
		case x.at.Before(first.Add(-time.Second)):
		case x.at.After(from) && x.at.Before(until):
			i = 1
		default:
			continue
		}
		all[i]++
		if ran[x.id] {
			began[i]++
		}
	}
	g.record.say("sound requests that began: %d of %d before the first crash, %d of %d from %s after the fifth crash on", began[0], all[0], began[1], all[1], 2*stability)
	if min(all[0], all[1]) < 20 {
		return 1, 1
	}
	return float64(began[0]) / float64(all[0]), float64(began[1]) / float64(all[1])
}

// known describes a part that crashes servers which have served it until then.
type known struct {
	// delay is the time from the first bytes of an answer to the crash; negative if none leave.
	delay time.Duration
	// gap is the time between two new requests, times how often a client sends one that fails.
	gap   time.Duration
	times int
}

// playKnown returns whether LOST was broken, and whether BUDGET was.
func (g *stage) playKnown(x known) (lost, budget bool, err error) {
	k := modelServers(serviceA, x.delay)
	k.poison = ""
	if _, err := g.engines(k, 9); err != nil {
		return false, false, err
	}
	g.store.put("op", "config", config(7, serviceA))
	if err := g.startMachines(5); err != nil {
		return false, false, err
	}
	const played = 75 * time.Second
	go g.load(30, played)
	time.Sleep(8 * time.Second)
	began := time.Now()
	label := "sound"
	for end := began.Add(played - 15*time.Second); time.Now().Before(end); time.Sleep(x.gap) {
		if label == "sound" && time.Since(began) > 10*time.Second {
			label = "poisoned"
			if g.trouble {
				g.record.add("from now on the part crashes servers")
				k.crashes.Store(true)
			}
		}
		q, of := prompt(poisonPart), label
		g.clients.wait.Go(func() {
			for range x.times {
				m, err := pick(g.machines)
				if err != nil {
					return
				}
				s := g.clients.send(m, of, q)
				<-s.done
				if s.status == 200 && s.complete {
					return
				}
			}
		})
	}
	until := time.Now().Add(-3 * time.Second)
	time.Sleep(3 * time.Second)
	n := g.afterFifth()
	before, late := g.begun(until)
	g.summary("poisoned")
	g.summary("sound")
	return late < before/2, n > 3, nil
}
