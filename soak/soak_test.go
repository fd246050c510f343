package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/tables"
)

// regressions are seeds whose runs have failed, by the cause.
var regressions = map[string]uint64{}

// seeds returns the seeds from SOAK_SEEDS, which is FIRST-LAST or a single number, else 1 and 2.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	return proc.Seeds(t, "SOAK_SEEDS", 1, 2)
}

// faultDuration returns the duration of the faults from SOAK_TIME, else 8 s.
func faultDuration(t *testing.T) time.Duration {
	t.Helper()
	s := os.Getenv("SOAK_TIME")
	if s == "" {
		return 8 * time.Second
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatalf("SOAK_TIME: %v", err)
	}
	return d
}

// Guards against violated guarantees under overlapping series of random faults.
func TestSeeds(t *testing.T) {
	for _, s := range seeds(t) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			runSeed(t, s, faultDuration(t))
		})
	}
}

// Guards against the return of defects that a seed's run has found.
func TestRegressions(t *testing.T) {
	for cause, s := range regressions {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			runSeed(t, s, faultDuration(t))
		})
	}
}

// runSeed sends requests while faults are injected for d, and fails the test if a guarantee
// is violated or the routers don't recover from the faults in time.
func runSeed(t *testing.T, seed uint64, d time.Duration) {
	t.Logf("seed %d for %v", seed, d)
	l := newChecker(seed)
	w := newCluster(t, l)
	w.seed = seed
	w.await("routers ready", time.Minute, w.allReady)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var g sync.WaitGroup
	for i := range 12 {
		g.Go(func() { runClient(ctx, w, i, seed) })
	}
	injectFaults(w, rand.New(rand.NewPCG(seed, 1)), d)
	w.await("routers ready after the faults", recoveryTime, w.allReady)
	w.await("complete responses after the faults", recoveryTime, func() bool {
		_, before := l.summary()
		time.Sleep(200 * time.Millisecond)
		_, after := l.summary()
		return after > before+20
	})
	stop()
	g.Wait()
	l.report(t)
}

// await polls f until it returns true, and marks the test as failed after limit. what names
// the awaited event.
func (w *cluster) await(what string, limit time.Duration, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Errorf("%s: not within %v", what, limit)
}

// allReady reports whether all routers report that they are ready.
func (w *cluster) allReady() bool {
	for _, r := range w.routers {
		if !r.ready() {
			return false
		}
	}
	return true
}

// runClient sends random requests until ctx ends. It reuses its connection to a router and
// changes to the next router when a request fails, as behind a load balancer.
func runClient(ctx context.Context, w *cluster, n int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(100+n)))
	c := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 20 * time.Second}
	defer c.CloseIdleConnections()
	at := n % routerCount
	for i := 0; ctx.Err() == nil; i++ {
		kind := []string{"read", "order", "chat"}[r.IntN(3)]
		key := []string{"key-a", "key-b"}[r.IntN(2)]
		id := fmt.Sprintf("%d-%d-%d", seed, n, i)
		w.checker.recordSend(id, kind, key, w.routers[at].name)
		if !sendRequest(w, c, w.routers[at], id, kind, key) {
			at = (at + 1) % routerCount
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// sendRequest sends one request, records its response and reports whether that was a complete 200.
func sendRequest(w *cluster, c *http.Client, r *router, id, kind, key string) bool {
	method, body := http.MethodPost, "body of "+id
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	q, err := http.NewRequest(method, "http://"+r.clients+"/"+kind+"/1", strings.NewReader(body))
	if err != nil {
		w.t.Errorf("create request %s: %v", id, err)
		return false
	}
	q.Host = "shop.example"
	// Without GetBody, net/http can't retry a request with a body by itself.
	q.GetBody = nil
	q.Header.Set("Tarragonvalve-Attempt-Id", id)
	q.Header.Set("Tarragonvalve-Deadline-Ms", "3000")
	q.Header.Set("Authorization", "Bearer "+key)
	a, err := c.Do(q)
	if err != nil {
		w.checker.recordResponse(id, 0, "", true, "")
		return false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	w.checker.recordResponse(id, a.StatusCode, string(b), err != nil, a.Header.Get("Tarragonvalve-Server-Signature"))
	return err == nil && a.StatusCode == http.StatusOK
}

// injectFaults injects random faults for d, which may overlap: paused and restarted routers,
// a faulty store or one that comes back from a copy, network links that pass no bytes, closed connections, broken responses and changed
// configurations. All the while some servers state a limit of requests. It ends all faults before it
// returns.
func injectFaults(w *cluster, r *rand.Rand, d time.Duration) {
	var g sync.WaitGroup
	version := 1
	revoked := false
	w.limits.state(w, r)
	end := time.Now().Add(d)
	g.Go(func() { w.restoreStore(end) })
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(150+r.IntN(500)) * time.Millisecond)
		duration := time.Duration(300+r.IntN(2200)) * time.Millisecond
		x := w.routers[r.IntN(len(w.routers))]
		u := w.upstreams[r.IntN(len(w.upstreams))]
		switch r.IntN(10) {
		case 0:
			g.Go(func() { w.pause(x, duration) })
		case 1:
			g.Go(func() { w.restart(x, syscall.SIGKILL) })
		case 2:
			g.Go(func() { w.restart(x, syscall.SIGTERM) })
		case 3:
			if err := x.signal(syscall.SIGHUP); err != nil {
				w.t.Logf("signal %s: %v", x.name, err)
			}
		case 4:
			f := []tables.Fault{tables.Busy{}, tables.Silent{}, tables.StaleClock{By: 3 * time.Second}, tables.LostWrites{}}[r.IntN(4)]
			w.store.SetFault(f)
			g.Go(func() {
				time.Sleep(duration)
				w.store.SetFault(nil)
			})
		case 5:
			g.Go(func() { w.silence(x.store, duration) })
		case 6:
			g.Go(func() { w.silence(u.link, duration) })
		case 7:
			u.CloseConnections()
		case 8:
			w.checker.brokenPerMille.Store(int64(r.IntN(200)))
		case 9:
			version++
			keys := []string{"key-a", "key-b"}
			if revoked = revoked || r.IntN(3) == 0; revoked {
				keys = keys[:1]
			}
			w.config(version, keys...)
			if revoked {
				w.checker.revokeOnce("key-b")
			}
		}
	}
	g.Wait()
	w.limits.check(w)
	w.store.SetFault(nil)
	w.checker.brokenPerMille.Store(0)
}
