package boot

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// poisonGrace is the users' stability_window_ms: how long after the fifth crash requests with
	// the part may still reach servers.
	poisonGrace = 3 * time.Second
	// crashesKnown and poisonTolerance are the users' rule: after poisonGrace from this crash on, at
	// most so many requests with the part reach servers.
	crashesKnown    = 5
	poisonTolerance = 3
	// soundShare is the users' rule for sound requests with the same key or first part, from twice
	// poisonGrace on.
	soundShare = 0.5
)

// Incident BUDGET: each upstream that begins to answer a prompt with a certain part crashes, and the
// requests, each a new one, come through all routers. Guards against routers that take each crash for
// a fault of the upstream and send such requests to the next one, and against routers that also keep
// the sound requests away that share the key and the first part.
func TestCrashingPart(t *testing.T) {
	t.Parallel()
	const part = "bad0"
	tests := map[string]struct {
		crash server.Crash
		// prefix returns the shared parts of the n-th request that crashes upstreams.
		prefix func(n int) string
	}{
		"after the head": {server.Crash{Head: true, Delay: 100 * time.Millisecond}, func(int) string { return "a0:100," + part + ":50" }},
		"without a head": {server.Crash{Delay: 50 * time.Millisecond}, func(int) string { return "a0:100," + part + ":50" }},
		"first part":     {server.Crash{Head: true, Delay: 100 * time.Millisecond}, func(n int) string { return fmt.Sprintf("%s:100,b%d:50", part, n%7) }},
		"several first":  {server.Crash{Head: true, Delay: 50 * time.Millisecond}, func(n int) string { return fmt.Sprintf("a%d:100,%s:50", n%3, part) }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const upstreams, calm, length = 6, 2 * time.Second, 12 * time.Second
			ws := startRouters(t, standardDocument(), 4)
			f := &crashingFleet{w: ws[0], service: "llm", guilty: holdsPart(part), reply: server.Events{Count: 4, Pause: 80 * time.Millisecond}}
			stop := f.start(upstreams, c.crash)
			for _, w := range ws {
				w.awaitUpstreams(upstreams)
			}
			var clients sync.WaitGroup
			began := time.Now()
			var sound soundLoad
			for i, w := range ws {
				clients.Go(func() {
					for n := i * 1000; time.Since(began) < length; n++ {
						time.Sleep(100 * time.Millisecond)
						if n%2 == 0 && time.Since(began) > calm {
							clients.Go(func() { w.send("POST", "/chat/1", "", promptOf(c.prefix(n), 2*n)...) })
						}
						clients.Go(func() {
							sound.record(func() response {
								return w.send("POST", "/chat/1", "", promptOf(fmt.Sprintf("a%d:100,c%d:50", n%3, n%20), 2*n+1)...)
							})
						})
					}
				})
			}
			clients.Wait()
			stop()
			if len(f.crashes) < crashesKnown {
				t.Fatalf("%d crashes, want at least %d", len(f.crashes), crashesKnown)
			}
			known := f.crashes[crashesKnown-1]
			if n := countAfter(f.arrivals(), known.Add(poisonGrace)); n > poisonTolerance {
				t.Errorf("%d requests with the part reached upstreams later than %s after crash %d, allowed %d; %d crashes in all",
					n, poisonGrace, crashesKnown, poisonTolerance, len(f.crashes))
			}
			sound.checkFrom(t, known.Add(2*poisonGrace))
			t.Logf("%d crashes, %d sound requests served and %d not after crash %d", len(f.crashes), countAfter(sound.served, known), countAfter(sound.failed, known), crashesKnown)
		})
	}
}

// holdsPart returns a filter for requests whose prompt holds a part.
func holdsPart(part string) func(server.Request) bool {
	return func(r server.Request) bool {
		return strings.Contains(r.Header.Get("Tarragonvalve-Prompt-Prefix"), part+":")
	}
}

// Incident BUDGET of issue 31: a request without a prompt crashes each upstream that runs it, and comes
// again and again, with the same path, caller and body, through all routers. Guards against routers that
// send it to the next upstream, and against routers that also refuse the sound requests of its route.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	// crashesCounted is the number of crashes after which the users count, from poisonGrace on.
	const crashesCounted = 3
	tests := map[string]struct {
		method, path, body string
		// pause is the time between two such requests at a router.
		pause time.Duration
	}{
		"idempotent":     {"GET", "/read/bad", "", 600 * time.Millisecond},
		"runs once":      {"POST", "/order/bad", "a", 600 * time.Millisecond},
		"ten a second":   {"GET", "/read/bad", "", 400 * time.Millisecond},
		"one in seconds": {"POST", "/order/bad", "a", 5 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const upstreams, calm, length = 3, 2 * time.Second, 20 * time.Second
			ws := startRouters(t, standardDocument(), 4)
			f := &crashingFleet{w: ws[0], service: "desk", guilty: func(r server.Request) bool { return r.Target == c.path }, reply: worked}
			stop := f.start(upstreams, server.Crash{Delay: 50 * time.Millisecond})
			for _, w := range ws {
				w.awaitUpstreams(upstreams)
			}
			var clients sync.WaitGroup
			began := time.Now()
			var sound soundLoad
			for i, w := range ws {
				clients.Go(func() {
					time.Sleep(calm + c.pause*time.Duration(i)/time.Duration(len(ws)))
					for time.Since(began) < length {
						clients.Go(func() { w.send(c.method, c.path, c.body) })
						time.Sleep(c.pause)
					}
				})
				clients.Go(func() {
					for n := 0; time.Since(began) < length; n++ {
						time.Sleep(100 * time.Millisecond)
						clients.Go(func() {
							sound.record(func() response { return w.send(c.method, strings.TrimSuffix(c.path, "bad")+fmt.Sprint(n%40), c.body) })
						})
					}
				})
			}
			clients.Wait()
			stop()
			if len(f.crashes) < crashesCounted {
				t.Fatalf("%d crashes, want at least %d", len(f.crashes), crashesCounted)
			}
			known := f.crashes[crashesCounted-1]
			if n := countAfter(f.arrivals(), known.Add(poisonGrace)); n > poisonTolerance {
				t.Errorf("the request reached upstreams %d times later than %s after crash %d, allowed %d; %d crashes in all",
					n, poisonGrace, crashesCounted, poisonTolerance, len(f.crashes))
			}
			last := f.crashes[len(f.crashes)-1]
			from := f.crashes[min(crashesKnown, len(f.crashes))-1].Add(2 * poisonGrace)
			sound.checkFrom(t, from)
			t.Logf("%d crashes, the last %s after the first, %d of %d sound requests served", len(f.crashes), last.Sub(f.crashes[0]), len(sound.served), len(sound.served)+len(sound.failed))
		})
	}
}

// A wrong quarantine: all upstreams end within two seconds under requests with one part, while sound
// requests that share the first part are in progress at each of them. Guards against sound parts that
// stay in quarantine since nothing with them reaches an upstream, and against trials that exceed the
// users' bound.
func TestWrongQuarantine(t *testing.T) {
	t.Parallel()
	for name, guilty := range map[string][]string{"one guilty part": {"bad00001"}, "two guilty parts": {"bad00001", "bad00002"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const upstreams, length = 10, 22 * time.Second
			ws := startRouters(t, standardDocument(), 4)
			f := &crashingFleet{w: ws[0], service: "llm", reply: server.Events{Count: 4, Pause: 80 * time.Millisecond}}
			f.guilty = func(r server.Request) bool {
				return strings.Contains(r.Header.Get("Tarragonvalve-Prompt-Prefix"), "bad0000")
			}
			stop := f.start(upstreams, server.Crash{Head: true, Delay: 30 * time.Millisecond})
			for _, w := range ws {
				w.awaitUpstreams(upstreams)
			}
			var clients sync.WaitGroup
			began := time.Now()
			var sound soundLoad
			for i, w := range ws {
				clients.Go(func() {
					for n := i * 1000; time.Since(began) < length; n++ {
						time.Sleep(100 * time.Millisecond)
						if n%4 == 0 {
							clients.Go(func() {
								w.send("POST", "/chat/1", "", promptOf("aaaa0001:100,"+guilty[n/4%len(guilty)]+":50", 2*n)...)
							})
						}
						clients.Go(func() {
							sound.record(func() response { return w.send("POST", "/chat/1", "", promptOf("aaaa0001:100,cccc0001:50", 2*n+1)...) })
						})
					}
				})
			}
			clients.Wait()
			stop()
			f.checkBound(t, len(guilty))
			sound.checkFrom(t, f.known(t).Add(2*poisonGrace))
			t.Logf("%d crashes, the last %s after the first", len(f.crashes), f.crashes[len(f.crashes)-1].Sub(f.crashes[0]))
		})
	}
}

// A quarantine is listed and lifted by the command line at one router. Guards against a quarantine that
// no operator can end after a mend, and against one that is lifted at one router only, by nobody or
// without a reason.
func TestLiftQuarantine(t *testing.T) {
	t.Parallel()
	ws := startRouters(t, standardDocument(), 3)
	var mended atomic.Bool
	for i := range 3 {
		ws[0].server("desk", fmt.Sprint("s", i), "v1", func(r server.Request) server.Reply {
			if r.Target == "/read/bad" && !mended.Load() {
				return server.Crash{}
			}
			return worked
		})
	}
	for _, w := range ws {
		w.awaitUpstreams(3)
	}
	command := func(args ...string) (int, string) {
		var out, errs strings.Builder
		n := Main(args, &out, &errs)
		return n, out.String() + errs.String()
	}
	for range 3 {
		ws[0].send("GET", "/read/bad", "")
		time.Sleep(300 * time.Millisecond)
	}
	held := func(w *harness) bool {
		return strings.HasPrefix(w.send("GET", "/read/bad", "").code(), "prompt-quarantined")
	}
	for _, w := range ws {
		w.eventually("quarantine", func() bool { return held(w) })
	}
	_, text := command("quarantines", "--admin", ws[1].admin)
	var qs []quarantine
	if err := json.Unmarshal([]byte(text), &qs); err != nil || len(qs) != 1 || len(qs[0].Crashes) < 3 {
		t.Fatalf("got %v %s, want one quarantine with three crashes", err, text)
	}
	for name, args := range map[string][]string{
		"nobody":    {"lift", qs[0].Key, "--admin", ws[1].admin, "--why", "mended"},
		"no reason": {"lift", qs[0].Key, "--admin", ws[1].admin, "--who", "ada", "--why", ""},
		"unknown":   {"lift", "17", "--admin", ws[1].admin, "--who", "ada", "--why", "mended"},
	} {
		if n, text := command(args...); n == 0 {
			t.Errorf("%s: accepted: %s", name, text)
		}
	}
	// No upstream is left for a trial until now.
	mended.Store(true)
	if n, text := command("lift", qs[0].Key, "--admin", ws[1].admin, "--who", "ada", "--why", "mended"); n != 0 {
		t.Fatalf("got %d %s", n, text)
	}
	for i := range 3 {
		ws[0].server("desk", fmt.Sprint("t", i), "v1", always(worked))
	}
	for _, w := range ws {
		w.eventually("end of the quarantine", func() bool { return w.send("GET", "/read/bad", "").status == 200 })
	}
	if s := ws[1].logs.String(); !strings.Contains(s, `"who":"ada","why":"mended"`) {
		t.Error("the log doesn't say who lifted the quarantine, and why")
	}
}

// soundLoad records which sound requests were served, by the time at which they were sent.
type soundLoad struct {
	mu             sync.Mutex
	served, failed []time.Time
}

// record sends a request and records whether it is served.
func (l *soundLoad) record(send func() response) {
	at := time.Now()
	a := send()
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.err == nil && a.status == 200 {
		l.served = append(l.served, at)
	} else {
		l.failed = append(l.failed, at)
	}
}

// checkFrom fails the test if less than soundShare of the requests sent after t are served.
func (l *soundLoad) checkFrom(t *testing.T, from time.Time) {
	t.Helper()
	ok, bad := countAfter(l.served, from), countAfter(l.failed, from)
	if float64(ok) < soundShare*float64(ok+bad) || ok == 0 {
		t.Errorf("%d of %d sound requests served later than %s after crash %d", ok, ok+bad, 2*poisonGrace, crashesKnown)
	}
}

// promptOf returns the headers of a request with the given shared parts. n numbers its own part.
func promptOf(shared string, n int) []string {
	return []string{
		"Tarragonvalve-Model-Name", "*", "Tarragonvalve-Token-Usage", "200,20",
		"Tarragonvalve-Prompt-Prefix", fmt.Sprintf("%s,d%x:50", shared, n),
	}
}

// countAfter returns how many of ts are after t.
func countAfter(ts []time.Time, t time.Time) int {
	n := 0
	for _, x := range ts {
		if x.After(t) {
			n++
		}
	}
	return n
}
