package boot

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// The users' bounds for the requests that a bad version gets of all in the time of its roll-out.
const (
	exposureShare     = 0.12
	exposureTolerance = 30
)

// Incident EXPOSURE: all upstreams of the old version end during a roll-out and are back some seconds
// later. Guards against a version, not yet judged or found bad, that gets all requests meanwhile.
func TestExposureWithoutOldUpstreams(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]server.Reply{
		"not judged": fine,
		"found bad":  server.Answer{Status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// phase is a third of the canary: the old upstreams are there, gone, and back.
			const phase, duration = 2600 * time.Millisecond, 16 * time.Second
			const upstreams = 6
			ws := startRouters(t, standardDocument(), 4)
			olds := startUpstreams(ws[0], "s", upstreams)
			for _, w := range ws {
				w.awaitUpstreams(upstreams)
			}
			sendReads(ws, time.Second)
			n := ws[0].server("desk", "n1", "v2", always(answer))
			before := requestsOf(olds...)
			if err := ws[0].store.PutJSON("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
				t.Fatal(err)
			}
			sendReads(ws, phase)
			for _, s := range olds {
				s.Close()
				ws[0].store.Delete("servers", s.Name)
			}
			sendReads(ws, phase)
			olds = append(olds, startUpstreams(ws[0], "t", upstreams)...)
			sendReads(ws, phase)
			bad := requestsOf(n)
			all := bad + requestsOf(olds...) - before
			if allowed := int(exposureShare*float64(all)) + exposureTolerance; bad > allowed {
				t.Errorf("the new version got %d of %d requests, allowed %d", bad, all, allowed)
			}
		})
	}
}

// startUpstreams starts upstreams of the old version of the plain service. prefix begins their ids.
func startUpstreams(w *harness, prefix string, n int) []*server.Server {
	var ss []*server.Server
	for i := range n {
		ss = append(ss, w.server("desk", fmt.Sprint(prefix, i+1), "v1", always(fine)))
	}
	return ss
}

// sendReads sends idempotent requests to the plain service through all routers for d and waits for
// their ends.
func sendReads(ws []*harness, d time.Duration) {
	const pause = 50 * time.Millisecond
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
		for _, w := range ws {
			wg.Go(func() { w.send("GET", "/read/1", "") })
		}
	}
	wg.Wait()
}
