package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
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
	// after the signal and still at work in the last lateWork of the grace period.
	lateRequest = 3 * time.Second
	lateWork    = plannedGrace / 6
	// keySettle is the time after a change of keys in which either answer is right.
	keySettle = 3 * time.Second
	// plannedTimeout is the timeout of streams, plannedOrderTimeout that of orders.
	plannedTimeout      = 20 * time.Second
	plannedOrderTimeout = 6 * time.Second
	// plannedClients is the number of clients, modelSlots that of the streams that a model server holds.
	plannedClients = 24
	modelSlots     = 3
	// longestOrder is the longest work of a server on an order.
	longestOrder = 5500 * time.Millisecond
)

// planned holds what a run with planned work only has done. It is safe for concurrent use.
type planned struct {
	*cluster
	mu sync.Mutex
	// terms are the times of SIGTERM by router.
	terms map[string][]time.Time
	// keysAt is the time of the latest change of keys.
	keysAt time.Time
}

// plannedScript is the behavior of servers in a run with planned work only: orders take up to longestOrder,
// and one stream in eight is preempted for up to 3 s.
func plannedScript(l *checker) func(service string) func(server.Request) server.Reply {
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
				s := server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1}
				if l.random.IntN(8) > 0 {
					return s
				}
				return server.Paused{Events: s, After: 1 + l.random.IntN(eventCount-1), For: time.Second + time.Duration(l.random.Int64N(int64(2*time.Second)))}
			}
			d := time.Duration(0)
			if e.kind == "order" && l.random.IntN(6) == 0 {
				d = time.Duration(l.random.Int64N(int64(longestOrder)))
			}
			return server.Delayed{Answer: server.Answer{Status: http.StatusOK, Body: "answer to " + r.ID(), Confidence: -1}, Delay: d}
		}
	}
}

// Guards against requests that a planned stop, a reload, a change of the configuration or a preemption beside full
// servers loses, by clients that use their connections until the process is gone, and against keys that are
// accepted after the last account was taken away.
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
	p := &planned{cluster: newClusterIn(t, world{checker: l, script: plannedScript(l), grace: plannedGrace, orderTimeout: plannedOrderTimeout, streamTimeout: plannedTimeout}), terms: map[string][]time.Time{}}
	for _, u := range p.upstreams {
		if u.service == "llm" {
			u.SetSlots(modelSlots)
		}
	}
	p.await("routers ready", time.Minute, p.allReady)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var g sync.WaitGroup
	for i := range plannedClients {
		g.Go(func() { p.runClient(ctx, i, seed) })
	}
	p.operate(rand.New(rand.NewPCG(seed, 4)), d)
	p.await("routers ready after the planned work", recoveryTime, p.allReady)
	stop()
	g.Wait()
	l.report(t)
}

// operate does planned work for d, in overlapping series: stops, reloads, and configurations with other
// accounts, down to none.
func (p *planned) operate(r *rand.Rand, d time.Duration) {
	var g sync.WaitGroup
	end := time.Now().Add(d)
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
		// All but one may stop at the same time.
		if p.stopping() < len(p.routers)-1 {
			g.Go(func() { p.restartPlanned(x) })
		}
	}
	g.Wait()
}

// stopping returns the number of routers that are being restarted.
func (p *planned) stopping() int {
	n := 0
	for _, x := range p.routers {
		if x.restarting.Load() {
			n++
		}
	}
	return n
}

func (p *planned) restartPlanned(x *router) {
	if !x.restarting.Load() {
		p.mu.Lock()
		p.terms[x.name] = append(p.terms[x.name], time.Now())
		p.mu.Unlock()
	}
	p.restart(x, syscall.SIGTERM)
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

// runClient sends requests on one connection until the router closes it, whatever its answers say about that, and
// then goes to the next router.
func (p *planned) runClient(ctx context.Context, n int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(200+n)))
	at := n % routerCount
	var c net.Conn
	var b *bufio.Reader
	for i := 0; ctx.Err() == nil; i++ {
		x := p.routers[at]
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", x.clients, time.Second); err != nil {
				at = (at + 1) % routerCount
				time.Sleep(20 * time.Millisecond)
				c = nil
				continue
			}
			b = bufio.NewReader(c)
		}
		kind := []string{"read", "order", "chat", "chat"}[r.IntN(4)]
		key := []string{"key-a", "key-b"}[r.IntN(2)]
		id := fmt.Sprintf("%d-%d-%d", seed, n, i)
		p.checker.recordSend(id, kind, key, x.name)
		if !p.exchange(c, b, id, kind, key) {
			c.Close()
			c = nil
			at = (at + 1) % routerCount
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// exchange sends a request and reads and records its response. It returns false if the connection can't be used
// any more.
func (p *planned) exchange(c net.Conn, r *bufio.Reader, id, kind, key string) bool {
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	body := "body of " + id
	deadline := map[string]time.Duration{"read": routeTimeout, "order": plannedOrderTimeout, "chat": plannedTimeout}[kind]
	fmt.Fprintf(c, "%s /%s/1 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, kind, id, strconv.FormatInt(deadline.Milliseconds(), 10), key, len(body), body)
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		p.recordLost(id, err)
		return false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		p.recordLost(id, err)
		return false
	}
	if a.StatusCode == http.StatusUnauthorized && p.keysChanged() {
		return true
	}
	p.checker.recordResponse(id, a.StatusCode, string(b), false, a.Header.Get("Tarragonvalve-Server-Signature"))
	return true
}

// keysChanged reports whether the keys have changed so lately that a router may not know it.
func (p *planned) keysChanged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.keysAt) < keySettle
}

// recordLost records that a connection ended without a complete response. That is a violation if a server got
// the request, unless a stop of the router excuses it.
func (p *planned) recordLost(id string, err error) {
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
		if o.sent.Before(t.Add(lateRequest)) && o.sent.After(t.Add(-plannedGrace)) && now.After(t.Add(plannedGrace-lateWork)) && now.Before(t.Add(plannedGrace+time.Second)) {
			return
		}
	}
	p.checker.addViolation("%s %s, sent to %s %s after the last SIGTERM, reached a server and ended after %s without a complete response: %v",
		o.kind, id, o.router, sinceLast(p.terms[o.router], o.sent), now.Sub(o.sent), strings.TrimSpace(err.Error()))
}

// sinceLast returns the time from the last of ts until t, or "no time".
func sinceLast(ts []time.Time, t time.Time) string {
	if len(ts) == 0 {
		return "no time"
	}
	return t.Sub(ts[len(ts)-1]).String()
}
