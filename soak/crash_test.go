package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// crashGrace, countedCrashes and crashTolerance are the users' rule: later than crashGrace after the
	// countedCrashes-th crash under a part, at most crashTolerance requests with it reach servers.
	crashGrace     = 3 * time.Second
	countedCrashes = 5
	crashTolerance = 3
	// soundShare is the least share of the sound requests that are served later than twice crashGrace after the last
	// counted crash, as all were before.
	soundShare = 0.5
	// leastSound is the least number of sound requests for a verdict.
	leastSound = 20
)

// crashWorld is what a seed draws of a run in which parts of prompts crash model servers.
type crashWorld struct {
	servers, guilty int
	// gap and soundGap are the times between two crashing and between two sound requests, calm is the time
	// before the first crashing one.
	gap, soundGap, calm time.Duration
	crash               server.Crash
	down                time.Duration
	// firsts and seconds are the numbers of first and second parts of sound prompts.
	firsts, seconds int
	// repeats is how often a client sends a crashing request again that failed, each time to the next router.
	repeats int
}

func newCrashWorld(r *rand.Rand) crashWorld {
	ms := func(low, high int) time.Duration {
		return time.Duration(low+r.IntN(high-low+1)) * time.Millisecond
	}
	return crashWorld{
		servers: 3 + r.IntN(8), guilty: 1 + r.IntN(2), gap: ms(100, 1000), soundGap: ms(20, 60), calm: ms(2000, 4000),
		crash: server.Crash{Head: r.IntN(2) == 0, Delay: ms(20, 120)}, down: ms(1000, 2500),
		firsts: []int{1, 3}[r.IntN(2)], seconds: []int{1, 20}[r.IntN(2)],
	}
}

// Five parts of prompts crash model servers. Guards against parts that are never found since each explains but a
// fifth of the crashes.
func TestCrashFiveParts(t *testing.T) {
	t.Parallel()
	runCrashes(t, crashWorld{
		servers: 10, guilty: 5, gap: 121 * time.Millisecond, soundGap: 42 * time.Millisecond, calm: 3768 * time.Millisecond,
		crash: server.Crash{Delay: 56 * time.Millisecond}, down: 1354 * time.Millisecond, firsts: 1, seconds: 20,
	}, 20*time.Second)
}

// Clients repeat requests that hold a part which crashes model servers, while others send new ones with it. Guards
// against a part that goes on crashing servers since a verdict on one request takes its crashes from the part.
func TestCrashPartHiddenByRepeats(t *testing.T) {
	for name, x := range map[string]crashWorld{
		"after the head": {gap: 2100 * time.Millisecond, crash: server.Crash{Head: true, Delay: 80 * time.Millisecond}, firsts: 1, seconds: 20},
		"without a head": {gap: 2100 * time.Millisecond, crash: server.Crash{Delay: 60 * time.Millisecond}, firsts: 3, seconds: 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x.servers, x.guilty, x.repeats = 9, 1, 2
			x.soundGap, x.calm, x.down = 50*time.Millisecond, 2*time.Second, 1500*time.Millisecond
			runCrashes(t, x, 20*time.Second)
		})
	}
}

// crashRun is a run in which parts of prompts crash model servers. It is safe for concurrent use.
type crashRun struct {
	crashWorld
	*cluster
	mu sync.Mutex
	// started counts the servers.
	started int
	// arrivals and crashes are the times by guilty part.
	arrivals, crashes map[string][]time.Time
	// sound are the sound requests, by when they were sent.
	sound []soundRequest
}

type soundRequest struct {
	at     time.Time
	served bool
}

// Guards against sound prompts that are refused since servers crash under others, and against parts that go on
// crashing servers, whether servers crash before or after the first byte, at any rate, and whatever parts are shared.
func TestCrashSeeds(t *testing.T) {
	for _, s := range seeds(t) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			x := newCrashWorld(rand.New(rand.NewPCG(s, 6)))
			t.Logf("seed %d: %+v", s, x)
			runCrashes(t, x, 20*time.Second)
		})
	}
}

func runCrashes(t *testing.T, x crashWorld, d time.Duration) {
	l := newChecker(1)
	p := &crashRun{crashWorld: x, arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{}}
	p.cluster = newClusterIn(t, world{checker: l, script: func(string) func(server.Request) server.Reply {
		return func(server.Request) server.Reply { return server.Answer{Status: http.StatusOK, Body: "fine"} }
	}, grace: 4 * time.Second, orderTimeout: routeTimeout, streamTimeout: 8 * time.Second, withoutModels: true})
	ctx, stop := context.WithCancel(context.Background())
	var slots sync.WaitGroup
	for range x.servers {
		slots.Go(func() { p.slot(ctx) })
	}
	p.await("routers ready", time.Minute, p.allReady)
	time.Sleep(time.Second)
	var g sync.WaitGroup
	began := time.Now()
	g.Go(func() {
		for n := 0; time.Since(began) < x.calm+d; n++ {
			g.Go(func() { p.sendSound(n) })
			time.Sleep(x.soundGap)
		}
	})
	time.Sleep(x.calm)
	for n := 0; time.Since(began) < x.calm+d; n++ {
		g.Go(func() { p.sendGuilty(n) })
		time.Sleep(x.gap)
	}
	end := time.Now()
	g.Wait()
	stop()
	slots.Wait()
	p.check(end)
}

// guiltyPart returns the id of a part that crashes servers.
func guiltyPart(n int) string { return fmt.Sprintf("bad%d", n) }

// slot runs one model server after the other until ctx ends.
func (p *crashRun) slot(ctx context.Context) {
	for {
		p.mu.Lock()
		p.started++
		name := fmt.Sprintf("llm-%d", p.started)
		p.mu.Unlock()
		s, err := server.New(name, p.reply)
		if err != nil {
			p.t.Error(err)
			return
		}
		if err := p.store.PutJSON("servers", name, map[string]any{
			"service": "llm", "address": s.Address(), "zone": "a", "version": "v1", "slots": 64, "state": "ready", "born": time.Now().UnixMilli(),
		}); err != nil {
			p.t.Error(err)
		}
		select {
		case <-ctx.Done():
			s.Close()
			return
		case <-s.Crashed():
		}
		s.Close()
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.down):
		}
		p.store.Delete("servers", name)
	}
}

// reply crashes the server under a guilty part and streams an answer otherwise.
func (p *crashRun) reply(r server.Request) server.Reply {
	for n := range p.guilty {
		part := guiltyPart(n)
		if !strings.Contains(r.Header.Get("Tarragonvalve-Prompt-Prefix"), part+":") {
			continue
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		p.arrivals[part] = append(p.arrivals[part], now)
		p.crashes[part] = append(p.crashes[part], now.Add(p.crash.Delay))
		return p.crash
	}
	return server.Events{Count: 20, Pause: 30 * time.Millisecond, Confidence: -1}
}

// sendGuilty sends a crashing request, and again while it fails.
func (p *crashRun) sendGuilty(n int) {
	x := fmt.Sprintf("a%d:40,%s:30,d%x:30", n%p.firsts, guiltyPart(n%p.guilty), 2*n)
	for i := range p.repeats + 1 {
		if p.send(n+i, fmt.Sprint(x, "/", i), x) {
			return
		}
	}
}

func (p *crashRun) sendSound(n int) {
	at := time.Now()
	x := fmt.Sprintf("a%d:40,c%d:30,d%x:30", n%p.firsts, n%p.seconds, 2*n+1)
	ok := p.send(n, x, x)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, soundRequest{at: at, served: ok})
}

// send sends an attempt with a prompt to the n-th router and reports whether it is served.
func (p *crashRun) send(n int, attempt, prefix string) bool {
	q, err := http.NewRequest(http.MethodPost, "http://"+p.routers[n%len(p.routers)].clients+"/chat/1", strings.NewReader(prefix))
	if err != nil {
		p.t.Error(err)
		return false
	}
	q.Host = "shop.example"
	for k, v := range map[string]string{
		"Tarragonvalve-Attempt-Id": attempt, "Tarragonvalve-Deadline-Ms": "6000", "Authorization": "Bearer key-a",
		"Tarragonvalve-Model-Name": "m", "Tarragonvalve-Token-Usage": "100,480", "Tarragonvalve-Prompt-Prefix": prefix,
	} {
		q.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode == http.StatusOK
}

// check compares what reached servers, and which sound requests sent before end were served, with the users' rules.
func (p *crashRun) check(end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for part, ts := range p.crashes {
		slices.SortFunc(ts, time.Time.Compare)
		known := ts[min(countedCrashes, len(ts))-1]
		if known.After(last) {
			last = known
		}
		late := 0
		for _, at := range p.arrivals[part] {
			if len(ts) >= countedCrashes && at.After(known.Add(crashGrace)) {
				late++
			}
		}
		if late > crashTolerance {
			p.t.Errorf("%d requests with %s reached servers later than %s after its crash %d, allowed %d; %d in all", late, part, crashGrace, countedCrashes, crashTolerance, len(ts))
		}
		p.t.Logf("%s: %d crashes, the last %s after the first", part, len(ts), ts[len(ts)-1].Sub(ts[0]))
	}
	sent, served := 0, 0
	for _, x := range p.sound {
		if x.at.After(last.Add(2*crashGrace)) && x.at.Before(end) {
			sent++
			if x.served {
				served++
			}
		}
	}
	p.t.Logf("%d of %d sound requests served from then on", served, sent)
	if sent >= leastSound && float64(served) < soundShare*float64(sent) {
		p.t.Errorf("%d of %d sound requests served later than %s after the last counted crash", served, sent, 2*crashGrace)
	}
}
