package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

func init() {
	cases["twice"] = func(g *stage) (bool, error) {
		return g.playTwice(func(s *server) {
			g.record.add("server %s turns slow: it takes 8 times as long for 6.5 s", s.id)
			s.slow.Store(8000)
			time.AfterFunc(6500*time.Millisecond, func() { s.slow.Store(1000) })
		})
	}
}

// overlap is the time for which a server may go on with a request that another one has begun to go on with.
const overlap = 400 * time.Millisecond

// playTwice disturbs one of eight model servers while it streams.
func (g *stage) playTwice(disturb func(*server)) (bool, error) {
	k := &kind{service: serviceA, engine: true, slots: 64, token: 100 * time.Millisecond, eventTokens: 6, down: 3 * time.Second}
	ss, err := g.engines(k, 8)
	if err != nil {
		return false, err
	}
	g.store.put("op", "config", config(7, serviceA))
	if err := g.startMachines(5); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	for i := range 35 {
		m, err := pick(g.machines)
		if err != nil {
			return false, err
		}
		g.clients.send(m, "stream", &request{
			method: "POST", path: streams + "2f", deadline: 25 * time.Second, in: 700, out: 180,
			prefix: fmt.Sprintf("5c1e07a2:100,%08x:200,%08x:400", 0x70000000+i%7, rand.Uint32()), body: "{}",
		})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if g.trouble {
		// The server that has the most requests.
		sort.Slice(ss, func(i, j int) bool { return ss[i].load() > ss[j].load() })
		disturb(ss[0])
	}
	g.clients.wait.Wait()
	time.Sleep(time.Second)
	g.summary("stream")
	return g.overlaps() > 0, nil
}

// load returns the number of requests that the server runs.
func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// overlaps counts the requests that went on at another server while the one before worked on them for longer than overlap.
func (g *stage) overlaps() int {
	g.farm.mu.Lock()
	defer g.farm.mu.Unlock()
	by := map[string][]*run{}
	for _, r := range g.farm.runs {
		by[r.id] = append(by[r.id], r)
	}
	n, moved := 0, 0
	var longest time.Duration
	for id, rs := range by {
		sort.Slice(rs, func(i, j int) bool { return rs[i].began.Before(rs[j].began) })
		worst := time.Duration(0)
		for i, r := range rs[1:] {
			moved++
			// Both work until the first of them ends.
			end := rs[i].ended
			if r.ended.Before(end) {
				end = r.ended
			}
			if d := end.Sub(r.began); d > worst {
				worst = d
			}
		}
		longest = max(longest, worst)
		if worst > overlap {
			n++
			g.record.add("counted: %s went on at another server, and both worked on it for %s", id, worst)
		}
	}
	g.record.say("%d runs of %d requests, %d of them at a further server; %d requests went on at another server and both worked on them for over %s (longest %s)", len(g.farm.runs), len(by), moved, n, overlap, longest)
	return n
}
