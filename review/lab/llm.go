package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// badPart is the part of a prompt that crashes servers.
const badPart = "bad0cafe"

// The paths of streams that may be resumed, and of others, which may run once only.
const (
	planPath = "/stream-plan/1"
	notePath = "/stream-note/1"
)

// addModelServers starts the model servers of a small deployment, which crash under prompts with badPart, and writes a
// configuration with a route to them.
func (l *Lab) addModelServers() ([]*Server, error) {
	servers, err := l.AddServers("llm", "v1", 9, 64, 0)
	if err != nil {
		return nil, err
	}
	for _, s := range servers {
		s.Crashes = func(q *http.Request) bool {
			return strings.Contains(q.Header.Get("Tarragonvalve-Prompt-Prefix"), badPart)
		}
	}
	models := []string{"m0", "m1"}
	plan := route("stream-plan", "streaming", "llm", 20000, 3000, 3)
	plan["sizes"], plan["sticky"], plan["resumable"], plan["target_itl_ms"] = models, true, true, 1200
	note := route("stream-note", "streaming", "llm", 20000, 3000, 1)
	note["sizes"], note["sticky"], note["resumable"], note["target_itl_ms"] = models, true, false, 1200
	l.Store.Put("op", "config", config(1, []map[string]any{plan, note}, []map[string]any{{
		"name": "llm", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "runtime": map[string]any{
			"slots": 64, "kv_capacity": 449441, "kv_token_bytes": 35136, "bandwidth_mbps": 1100000.0,
			"model_list": []map[string]any{{"name": "m0", "cost": 0.016}, {"name": "m1", "cost": 0.12}},
		},
	}}, "key-1"))
	return servers, nil
}

// ask sends a request to a router whose prompt holds shared parts, and a last part of its own.
func (l *Lab) ask(r *Router, path string, parts ...string) Reply {
	prefix := "5c1e07a2:512,"
	for _, x := range parts {
		prefix += x + ":400,"
	}
	prefix += fmt.Sprintf("%08x:60", rand.Uint32())
	x := send(newClient(), r.Clients, Call{
		Method: "POST", Path: path, Key: "key-1", Body: prefix, Deadline: 20 * time.Second,
		Header: map[string]string{"Tarragonvalve-Model-Name": "*", "Tarragonvalve-Token-Usage": "972,60", "Tarragonvalve-Prompt-Prefix": prefix},
	}, l.Record)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, x)
	return x
}

// soundPart returns a part that many prompts share and that is harmless.
func soundPart() string { return fmt.Sprintf("%08x", 0xd0c0000+rand.IntN(40)) }

// checkCrashes checks BUDGET for prompts with badPart: no more than three requests with the part may reach servers later
// than stabilityWindow after the fifth crash.
func (l *Lab) checkCrashes(servers []*Server) int {
	var crashes []time.Time
	for _, s := range servers {
		crashes = append(crashes, s.CrashTimes()...)
	}
	sortTimes(crashes)
	l.Say("%d crashes", len(crashes))
	if len(crashes) < 5 {
		return held
	}
	from := crashes[4].Add(stabilityWindow)
	late := 0
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if strings.Contains(a.Prefix, badPart) && a.At.After(from) {
				late++
				l.AddAt(a.At, "BROKEN: request %s with the part reaches %s %.1f s after the fifth crash", a.ID, s.ID, a.At.Sub(crashes[4]).Seconds())
			}
		}
	}
	cut := 0
	for _, x := range l.replies {
		if x.Path == notePath && x.Sent.Add(x.Took).After(from) && !strings.Contains(x.Body, fmt.Sprintf("id: %d\n", streamEvents)) {
			cut++
			l.AddAt(x.Sent.Add(x.Took), "sound request %s, which may run once only, ends without its answer: status %d", x.ID, x.Status)
		}
	}
	l.Say("%d sound requests that may run once only ended without their answer after that time", cut)
	l.Say("%d requests with the part reached servers later than %s after the fifth crash; three are allowed", late, stabilityWindow)
	if late > 3 {
		return broken
	}
	return held
}

// soundTraffic sends sound requests to routers until stop is closed.
func (l *Lab) soundTraffic(routers []*Router, w *sync.WaitGroup, stop chan struct{}) {
	for _, r := range routers {
		w.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				path := planPath
				if n%2 == 1 {
					path = notePath
				}
				w.Go(func() { l.ask(r, path, soundPart()) })
			}
		})
	}
}

// badTraffic sends n requests with badPart, one each pause, to the routers in turn.
func (l *Lab) badTraffic(routers []*Router, n int, pause time.Duration, w *sync.WaitGroup) {
	for i := range n {
		r := routers[(i+1)%len(routers)]
		w.Go(func() { l.ask(r, planPath, badPart) })
		time.Sleep(pause)
	}
}
