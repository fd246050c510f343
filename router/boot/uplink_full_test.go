package boot

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/shaper"
)

// linked is a router process behind a link that all its connections to clients and upstreams share.
type linked struct {
	*harness
	process *process
	// address is that of the router's clients beyond the link.
	address string
	// size is that of the answers in bytes.
	size int
	// body is that of the requests.
	body      string
	upstreams []*server.Server
	client    *http.Client
}

// linkTimeout is the time-out of the routes of a linked router.
const linkTimeout = 1500 * time.Millisecond

// startLinked starts a router behind a link that carries rate bytes a second.
func startLinked(t *testing.T, rate, size int) *linked {
	t.Helper()
	l := shaper.New(rate)
	t.Cleanup(l.Close)
	w, ss := platform(t, 2, always(server.Delayed{Answer: server.Answer{Status: http.StatusOK, Body: strings.Repeat("x", size)}, Delay: 60 * time.Millisecond}))
	d := document(2, route("read", "idempotent", "desk", "timeout_ms", linkTimeout.Milliseconds()))
	d["services"].([]any)[0].(map[string]any)["max_connections"] = 4000
	w.writeConfig(d)
	for _, s := range ss {
		a, err := l.FromProcess(s.Address())
		if err != nil {
			t.Fatal(err)
		}
		w.list(s, a)
	}
	p := w.startProcess()
	a, err := l.ToProcess(w.clients)
	if err != nil {
		t.Fatal(err)
	}
	w.eventually("readiness", w.ready)
	time.Sleep(200 * time.Millisecond) // until all upstreams are listed
	return &linked{harness: w, process: p, address: a, size: size, upstreams: ss, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}
}

// list writes the entry of a ready upstream at an address to the store.
func (w *harness) list(s *server.Server, address string) {
	w.t.Helper()
	err := w.store.PutJSON("servers", s.Name, map[string]any{
		"service": "desk", "address": address, "zone": "a", "version": "v1", "slots": 1000, "state": "ready", "born": 1,
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// linkTally counts how requests ended. It is safe for concurrent use.
type linkTally struct {
	mu sync.Mutex
	// sent counts all, whole those that were served in time.
	sent, whole int
	// refused are the times until refusals, in order of their arrival.
	refused []time.Duration
	// refusedIDs are the ids of refused requests, odd the refusals that don't send the client elsewhere soon.
	refusedIDs map[string]bool
	odd        []string
	// late counts requests without an answer at their time-out, held those of them that had none half a second later.
	late, held int
}

// add counts a request that ended after took.
func (y *linkTally) add(a response, size int, took time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.sent++
	switch {
	case took > linkTimeout:
		y.late++
		if took > linkTimeout+500*time.Millisecond {
			y.held++
		}
	case a.status == http.StatusOK && a.err == nil && len(a.body) == size:
		y.whole++
	case a.status == http.StatusServiceUnavailable:
		y.refused = append(y.refused, took)
		y.refusedIDs[a.id] = true
		if a.code() != "overloaded not-run" || a.header.Get("Connection") != "close" || a.header.Get("Retry-After") == "" {
			y.odd = append(y.odd, fmt.Sprintf("%s %v", a.body, a.header))
		}
	}
}

// p99 returns the time within which 99 of 100 refusals came.
func (y *linkTally) p99() time.Duration {
	if len(y.refused) == 0 {
		return 0
	}
	slices.Sort(y.refused)
	return y.refused[len(y.refused)*99/100]
}

func (y *linkTally) String() string {
	return fmt.Sprintf("%d sent, %d whole in time, %d refused (p99 %s), %d without an answer at their time-out, %d of them half a second later", y.sent, y.whole, len(y.refused), y.p99(), y.late, y.held)
}

// offer sends look-ups at a rate a second for some time, and returns when all have ended.
func (l *linked) offer(rate int, d time.Duration) *linkTally {
	y := linkTally{refusedIDs: map[string]bool{}}
	var clients sync.WaitGroup
	began := time.Now()
	for i := range int(float64(rate) * d.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		clients.Go(func() {
			at := time.Now()
			a := l.get()
			y.add(a, l.size, time.Since(at))
		})
	}
	clients.Wait()
	return &y
}

// get sends a look-up.
func (l *linked) get() response {
	ctx, stop := context.WithTimeout(l.t.Context(), 4*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.address+"/read/1", strings.NewReader(l.body))
	if err != nil {
		return response{err: err}
	}
	q.Host = "shop.example"
	q.Header.Set("Tarragonvalve-Attempt-Id", nextID())
	q.Header.Set("Authorization", "Bearer key-1")
	q.Header.Set("Tarragonvalve-Deadline-Ms", "3000")
	out := response{id: q.Header.Get("Tarragonvalve-Attempt-Id")}
	a, err := l.client.Do(q)
	if err != nil {
		out.err = err
		return out
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if a.Close {
		a.Header.Set("Connection", "close") // net/http removes it
	}
	out.status, out.body, out.header, out.err = a.StatusCode, string(b), a.Header, err
	return out
}

// Guards against a router that doesn't know that its link is full: it took all requests and answered almost none in time.
func TestFullLink(t *testing.T) {
	tests := map[string]struct {
		// link is in bytes a second, body and size are those of requests and answers in bytes, below and above are rates a
		// second.
		link, body, size, below, above int
	}{
		"400 kB/s":                {400_000, 0, 8000, 42, 70},
		"1,250 kB/s":              {1_250_000, 0, 8000, 128, 200},
		"400 kB/s, long requests": {400_000, 12_000, 300, 27, 45},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := startLinked(t, c.link, c.size)
			l.body = strings.Repeat("p", c.body)
			below := l.offer(c.below, 3*time.Second)
			above := l.offer(c.above, 6*time.Second)
			t.Logf("%d a second: %s", c.below, below)
			t.Logf("%d a second: %s", c.above, above)
			if len(below.refused) > 0 || below.late > 0 {
				t.Errorf("below the capacity: %s, want all in time", below)
			}
			best := float64(below.whole) / 3
			if got := float64(above.whole) / 6; got < 0.8*best {
				t.Errorf("%.1f a second whole in time, want 0.8 of %.1f", got, best)
			}
			if p := above.p99(); p > 250*time.Millisecond {
				t.Errorf("p99 of the refusals %s, want 0.25 s", p)
			}
			if len(above.odd) > 0 {
				t.Errorf("%d refusals don't send the client elsewhere, such as %s", len(above.odd), above.odd[0])
			}
			for _, u := range l.upstreams {
				for _, q := range u.Requests() {
					if above.refusedIDs[q.ID()] {
						t.Errorf("%s was refused as not run, and sent", q.ID())
					}
				}
			}
			l.eventually("the log line of the full link", func() bool { return strings.Contains(l.process.logs.String(), `"message":"the link is full"`) })
			if above.held*10 > above.late {
				t.Errorf("%d of %d without an answer at their time-out have none half a second later, want a tenth", above.held, above.late)
			}
		})
	}
}

// Guards against refusals because of one client that doesn't read, beside a free link.
func TestSlowReaderBesideFreeLink(t *testing.T) {
	l := startLinked(t, 10_000_000, 8000)
	c, err := net.Dial("tcp", l.clients)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	// A client that sends its requests without reading their answers.
	for range 10 {
		fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n\r\n", nextID())
	}
	y := l.offer(50, 3*time.Second)
	if y.whole != y.sent {
		t.Errorf("%s, want all whole in time", y)
	}
}
