package boot

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// The users' bounds for the requests that a bad version gets of all in the time of its roll-out.
const (
	exposureShare     = 0.12
	exposureTolerance = 30
)

// worked is a successful response that takes so long that connections don't matter beside it.
var worked = server.Delayed{Answer: fine, Delay: 40 * time.Millisecond}

// Incident EXPOSURE: all upstreams of the old version end during a roll-out and are back some seconds
// later. Guards against a version, not yet judged or found bad, that gets all requests meanwhile.
func TestExposureWithoutOldUpstreams(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]server.Reply{
		"not judged": worked,
		"found bad":  server.Answer{Status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// phase is a third of the canary: the old upstreams are there, gone, and back.
			const phase, duration = 2600 * time.Millisecond, 16 * time.Second
			const upstreams, pause = 6, 50 * time.Millisecond
			ws := startRouters(t, standardDocument(), 4)
			olds := startUpstreams(ws[0], "s", upstreams)
			for _, w := range ws {
				w.awaitUpstreams(upstreams)
			}
			sendReads(ws, time.Second, pause)
			n := ws[0].server("desk", "n1", "v2", always(answer))
			before := requestsOf(olds...)
			if err := ws[0].store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
				t.Fatal(err)
			}
			sendReads(ws, phase, pause)
			for _, s := range olds {
				s.Close()
				ws[0].store.Delete("servers", s.Name)
			}
			sendReads(ws, phase, pause)
			olds = append(olds, startUpstreams(ws[0], "t", upstreams)...)
			sendReads(ws, phase, pause)
			bad := requestsOf(n)
			all := bad + requestsOf(olds...) - before
			if allowed := int(exposureShare*float64(all)) + exposureTolerance; bad > allowed {
				t.Errorf("the new version got %d of %d requests, allowed %d", bad, all, allowed)
			}
		})
	}
}

// Incident EXPOSURE: the upstreams of a new version, which fails from some seconds after their start on,
// crash and start again during its canary. Guards against a version that gets all requests since it has
// been good for as long as its upstreams have been up.
func TestExposureOfRestartedVersion(t *testing.T) {
	t.Parallel()
	const routers, upstreams, duration, pause = 6, 6, 24 * time.Second, 250 * time.Millisecond
	// Upstreams run for life, until the last ones stay, and fail from failsAfter on.
	const lives, life, failsAfter = 5, 2500 * time.Millisecond, 9 * time.Second
	ws := startRouters(t, standardDocument(), routers)
	olds := startUpstreams(ws[0], "s", upstreams)
	for _, w := range ws {
		w.awaitUpstreams(upstreams)
	}
	sendReads(ws, time.Second, pause)
	before := requestsOf(olds...)
	if err := ws[0].store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
		t.Fatal(err)
	}
	var news []*server.Server
	restart := func(n int) {
		for i, s := range news[max(len(news)-upstreams, 0):] {
			s.Close()
			ws[0].store.Delete("servers", fmt.Sprintf("n%d-%d", n-1, i))
		}
		started := time.Now()
		for i := range upstreams {
			s, err := server.New(fmt.Sprintf("n%d-%d", n, i), func(server.Request) server.Reply {
				if time.Since(started) > failsAfter {
					return server.Answer{Status: http.StatusInternalServerError}
				}
				return worked
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			ws[0].writeEntry(s, "desk", "v2", "ready", int(started.UnixMilli()))
			news = append(news, s)
		}
	}
	for n := range lives {
		restart(n)
		sendReads(ws, life, pause)
	}
	sendReads(ws, duration-lives*life, pause)
	bad := requestsOf(news...)
	all := bad + requestsOf(olds...) - before
	if allowed := int(exposureShare*float64(all)) + exposureTolerance; bad > allowed {
		t.Errorf("the new version got %d of %d requests, allowed %d", bad, all, allowed)
	}
	r, _ := ws[0].store.Get("status", "rollout/desk")
	t.Logf("%d of %d requests, %s", bad, all, r.Data)
}

// startUpstreams starts upstreams of the old version of the plain service. prefix begins their ids.
func startUpstreams(w *harness, prefix string, n int) []*server.Server {
	var ss []*server.Server
	for i := range n {
		ss = append(ss, w.server("desk", fmt.Sprint(prefix, i+1), "v1", always(worked)))
	}
	return ss
}

// sendReads sends an idempotent request to the plain service through each router, in every pause for
// d, and waits for their ends.
func sendReads(ws []*harness, d, pause time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, w := range ws {
			time.Sleep(pause / time.Duration(len(ws)))
			wg.Go(func() { w.send("GET", "/read/1", "") })
		}
	}
	wg.Wait()
}

// Incident EXPOSURE: many routers get few requests of a service each, and the new version of it turns
// bad, or is slow from its start. Guards against routers that each judge by their own few responses, so
// that the version is found bad only after it has got all requests for seconds.
func TestExposureOfFewRequestsPerRouter(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]func(since time.Duration, n int64) server.Reply{
		"turns bad": func(since time.Duration, n int64) server.Reply {
			if since > 6*time.Second && n%2 == 0 {
				return server.Answer{Status: http.StatusInternalServerError}
			}
			return worked
		},
		"slow": func(time.Duration, int64) server.Reply { return server.Delayed{Answer: fine, Delay: 8 * worked.Delay} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const routers, upstreams, duration, pause = 12, 6, 16 * time.Second, 500 * time.Millisecond
			ws := startRouters(t, standardDocument(), routers)
			olds := startUpstreams(ws[0], "s", upstreams)
			for _, w := range ws {
				w.awaitUpstreams(upstreams)
			}
			sendReads(ws, 2*time.Second, pause)
			before := requestsOf(olds...)
			ordered := time.Now()
			var n atomic.Int64
			var news []*server.Server
			for i := range upstreams {
				news = append(news, ws[0].server("desk", fmt.Sprint("n", i), "v2", func(server.Request) server.Reply { return script(time.Since(ordered), n.Add(1)) }))
			}
			if err := ws[0].store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
				t.Fatal(err)
			}
			sendReads(ws, duration, pause)
			bad := requestsOf(news...)
			all := bad + requestsOf(olds...) - before
			if allowed := int(exposureShare*float64(all)) + exposureTolerance; bad > allowed {
				t.Errorf("the new version got %d of %d requests, allowed %d", bad, all, allowed)
			}
			t.Logf("%d of %d requests", bad, all)
		})
	}
}
