package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/flood"
	"tarragonvalve.example/standin/server"
)

const (
	// endlessMemoryMB is the routers' bound on their memory, in MiB: what a process may use by docs/design.md.
	endlessMemoryMB = 128
	// endlessUpstreams is the number of upstreams of each service whose servers send without end.
	endlessUpstreams = 2
	// endlessBytes bounds a response without end. Six of them take more than a router may use.
	endlessBytes = 24 << 20
	// endlessTime bounds the time of a response without end. It is longer than a request may take.
	endlessTime = routeTimeout + 2*time.Second
	// soundClients is the number of clients whose requests go to sound upstreams.
	soundClients = 12
	// endlessPatience bounds the time in which a client waits for the whole response.
	endlessPatience = routeTimeout + 5*time.Second
)

// endlessWorld is what a seed draws of a run in which servers send without end.
type endlessWorld struct {
	// parts are the parts of responses that have no end.
	parts []flood.Part
	// clients is the number of clients with such requests. They use one router if together is true.
	clients  int
	together bool
	// block is the number of bytes of a server's write, gap the time between two.
	block int
	gap   time.Duration
}

func newEndlessWorld(r *rand.Rand) endlessWorld {
	ps := flood.Parts()
	r.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	return endlessWorld{
		parts: ps[:[]int{1, 3, len(ps), len(ps)}[r.IntN(4)]], clients: []int{6, 24, 100, 300}[r.IntN(4)], together: r.IntN(2) == 0,
		block: 1 << (10 + r.IntN(7)), gap: time.Duration(r.IntN(3)) * time.Millisecond,
	}
}

// endlessRun is a run in which servers send without end. It is safe for concurrent use.
type endlessRun struct {
	endlessWorld
	*cluster
	mu sync.Mutex
	// sound counts the outcomes of sound requests by kind, endless those of the others by part.
	sound, endless map[string]map[string]int
}

// Guards against servers that send without end and thereby take more memory than a router may use, end sound requests
// of other client accounts without an answer or with a wrong one, have an order run twice, or look as if they had
// answered.
func TestEndlessSeeds(t *testing.T) {
	for _, s := range seeds(t) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			x := newEndlessWorld(rand.New(rand.NewPCG(s, 11)))
			t.Logf("seed %d: %+v", s, x)
			runEndless(t, s, x, faultDuration(t))
		})
	}
}

func runEndless(t *testing.T, seed uint64, x endlessWorld, d time.Duration) {
	l := newChecker(seed)
	p := &endlessRun{endlessWorld: x, sound: map[string]map[string]int{}, endless: map[string]map[string]int{}}
	script := func(service string) func(server.Request) server.Reply {
		return func(r server.Request) server.Reply { return p.reply(l, service, r) }
	}
	p.cluster = newClusterIn(t, world{
		checker: l, script: script, grace: 4 * time.Second, orderTimeout: routeTimeout, streamTimeout: routeTimeout,
		memoryMB: endlessMemoryMB, direct: true, extra: []extraRoute{
			{"endless-read", "idempotent", "feed"}, {"endless-order", "non_idempotent", "ledger"}, {"endless-chat", "streaming", "endless-llm"},
		},
	})
	for _, e := range p.extra {
		for i := range endlessUpstreams {
			p.addUpstream(e.service, fmt.Sprintf("%s-%d", e.service, i))
		}
	}
	p.await("routers ready", time.Minute, p.allReady)
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	var g sync.WaitGroup
	for i := range soundClients {
		g.Go(func() { p.runClient(ctx, seed, i, false) })
	}
	for i := range x.clients {
		g.Go(func() { p.runClient(ctx, seed, soundClients+i, true) })
	}
	g.Wait()
	p.checkMemory()
	for what, counts := range map[string]map[string]map[string]int{"sound": p.sound, "without end": p.endless} {
		for _, k := range slices.Sorted(maps.Keys(counts)) {
			t.Logf("%s, %s: %v", what, k, counts[k])
		}
	}
	if len(p.sound) == 0 || len(p.endless) == 0 {
		t.Error("no request was sent")
	}
	l.report(t)
}

// reply is the behavior of the servers: those of the extra routes send the part without end that the request's path
// names, all others answer.
func (p *endlessRun) reply(l *checker, service string, r server.Request) server.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(r)
	if e == nil {
		return server.Reject{Status: http.StatusBadRequest}
	}
	l.recordRun(r, e)
	_, part, ok := strings.Cut(strings.TrimPrefix(r.Target, "/endless-"), "/")
	switch {
	case ok && strings.HasPrefix(r.Target, "/endless-"):
		return server.Flood{Sender: flood.Sender{
			Part: flood.Part(part), Body: "answer to " + r.ID(), Budget: flood.NewBudget(endlessBytes), Time: endlessTime,
			Block: p.block, Pause: p.gap,
		}}
	case service == "llm":
		return server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1, Unframed: l.random.IntN(4) == 0}
	}
	f := []server.Framing{server.ByLength, server.ByChunks, server.ByClose}[l.random.IntN(3)]
	return server.Answer{Status: http.StatusOK, Body: "answer to " + r.ID(), Framing: f, Confidence: -1}
}

// checkMemory records a violation for each router that has used more memory than it may, or that has ended.
func (p *endlessRun) checkMemory() {
	for _, r := range p.routers {
		n, err := proc.PeakMemory(r.process().Pid)
		if err != nil {
			p.t.Errorf("%s: %v", r.name, err)
			continue
		}
		p.t.Logf("%s used up to %d MiB", r.name, n>>20)
		if n > endlessMemoryMB<<20 {
			p.t.Errorf("%s used up to %d MiB, allowed %d", r.name, n>>20, endlessMemoryMB)
		}
	}
}

// endlessClient is a client with its connection to a router.
type endlessClient struct {
	*endlessRun
	net.Conn
	router *router
	reader *bufio.Reader
	// used counts the requests on the connection.
	used int
}

// runClient sends random requests until ctx ends, on one connection as long as the router keeps it.
func (p *endlessRun) runClient(ctx context.Context, seed uint64, n int, endless bool) {
	r := rand.New(rand.NewPCG(seed, uint64(300+n)))
	c := endlessClient{endlessRun: p, router: p.routers[n%routerCount]}
	if endless && p.together {
		c.router = p.routers[0]
	}
	defer func() {
		if c.Conn != nil {
			c.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		kind := []string{"read", "order", "chat"}[r.IntN(3)]
		id, key, path, counts, name := fmt.Sprintf("%d-%d-%d", seed, n, i), "key-b", "/"+kind+"/1", p.sound, kind
		if endless {
			part := string(p.parts[r.IntN(len(p.parts))])
			key, path, counts, name = "key-a", "/endless-"+kind+"/"+part, p.endless, part
		}
		p.checker.recordSend(id, kind, key, c.router.name)
		status, body, signature, err := c.exchange(id, kind, key, path)
		outcome := fmt.Sprint(status)
		if err != nil {
			outcome = map[bool]string{true: "no answer", false: "cut"}[status == 0]
		}
		p.count(counts, name, outcome)
		if endless {
			p.recordEndless(id, flood.Part(name), status, body, err, signature)
		} else {
			p.recordSound(id, status, body, err, signature, c.used)
		}
		if err != nil && c.Conn != nil {
			c.Close()
			c.Conn = nil
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// count counts an outcome.
func (p *endlessRun) count(counts map[string]map[string]int, name, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if counts[name] == nil {
		counts[name] = map[string]int{}
	}
	counts[name][outcome]++
}

// recordSound checks the response to a sound request, the used-th of its connection. One that got no whole response is
// a violation unless it crossed the close of a kept connection, so that no server got it.
func (p *endlessRun) recordSound(id string, status int, body string, err error, signature string, used int) {
	p.checker.recordResponse(id, status, body, err != nil, signature)
	if err == nil {
		return
	}
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	if e := p.checker.observations[id]; e.runs > 0 || used <= 1 {
		p.checker.addViolation("sound %s %s, request %d of its connection to %s, ran %d times and ended with status %d without a whole response: %v",
			e.kind, id, used, e.router, e.runs, status, err)
	}
}

// recordEndless checks the response to a request whose server sends a part without end: it is no success, or is cut,
// unless a whole answer came first.
func (p *endlessRun) recordEndless(id string, part flood.Part, status int, body string, err error, signature string) {
	if status != http.StatusOK || err != nil {
		p.checker.recordResponse(id, status, body, err != nil, signature)
		return
	}
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	if !part.EndsWhole() || body != "answer to "+id || signature != "receipt-of-"+id {
		p.checker.addViolation("%s, whose server sent %s, looks complete: %d bytes, receipt %q", id, part, len(body), signature)
	}
}

// exchange sends a request and reads its response. It opens a connection if there is none. The error says that the
// response did not come, with status 0, or was cut.
func (c *endlessClient) exchange(id, kind, key, path string) (status int, body, signature string, err error) {
	if c.Conn == nil {
		c.used = 0
		k, err := net.DialTimeout("tcp", c.router.clients, endlessPatience)
		if err != nil {
			return 0, "", "", err
		}
		c.Conn, c.reader = k, bufio.NewReader(k)
	}
	c.used++
	method, text := http.MethodPost, "body of "+id
	if kind == "read" {
		method, text = http.MethodGet, ""
	}
	if err := c.SetDeadline(time.Now().Add(endlessPatience)); err != nil {
		return 0, "", "", err
	}
	// A failure shows when the response is read.
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, routeTimeout.Milliseconds(), key, len(text), text)
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", "", err
	}
	defer a.Body.Close()
	// The client keeps no more of a long body than tells it from the right one.
	b, err := io.ReadAll(io.LimitReader(a.Body, keptOutput))
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	if a.Close && err == nil {
		c.Close()
		c.Conn = nil
	}
	return a.StatusCode, string(b), a.Header.Get("Tarragonvalve-Server-Signature"), err
}
