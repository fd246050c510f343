package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/pause"
	"tarragonvalve.example/standin/server"
)

const (
	// overloadTimeout is the time-out of the route, and heldOn how long after it a request counts as held on.
	overloadTimeout = 1500 * time.Millisecond
	heldOn          = 500 * time.Millisecond
	// refusalBound is within which refusals are answered, of the time in which the process runs.
	refusalBound = 250 * time.Millisecond
	// minGoodput is the part of the best rate that is served past it, maxHeldOn that of the requests without an answer at
	// their time-out which have none at heldOn after it.
	minGoodput = 0.7
	maxHeldOn  = 0.1
)

// loadResult is what became of requests.
type loadResult struct {
	sent, whole, late, other int
	// refused holds how long the refusals took, sorted.
	refused []time.Duration
	// heldOn is the number of requests without an answer at heldOn after their time-out.
	heldOn int
}

func (r loadResult) String() string {
	return fmt.Sprintf("sent %d, whole in time %d, refused %d (p50 %s, p99 %s), without an answer at the time-out %d, of these %d at %s after it, other %d",
		r.sent, r.whole, len(r.refused), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.late, r.heldOn, heldOn, r.other)
}

func (r loadResult) quantile(q float64) time.Duration {
	if len(r.refused) == 0 {
		return 0
	}
	return r.refused[int(q*float64(len(r.refused)-1))]
}

// loader offers requests at a rate, on kept connections as long as there are any.
type loader struct {
	address string
	// ids counts the requests.
	ids atomic.Int64

	mu   sync.Mutex
	idle []*keptConn
	sum  loadResult
}

// offer sends rate requests a second for d, and returns what became of them.
func (l *loader) offer(rate int, d time.Duration) loadResult {
	l.sum = loadResult{}
	var requests sync.WaitGroup
	began := time.Now()
	for n := 0; ; time.Sleep(time.Millisecond) {
		past := time.Since(began)
		for due := int(min(past, d).Seconds() * float64(rate)); n < due; n++ {
			requests.Go(l.request)
		}
		if past >= d {
			break
		}
	}
	requests.Wait()
	slices.Sort(l.sum.refused)
	return l.sum
}

// conn returns an idle connection, or a new one.
func (l *loader) conn() (*keptConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.idle); n > 0 {
		k := l.idle[n-1]
		l.idle = l.idle[:n-1]
		return k, nil
	}
	l.mu.Unlock()
	c, err := net.DialTimeout("tcp", l.address, overloadTimeout+heldOn)
	l.mu.Lock()
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, r: bufio.NewReaderSize(c, 1024)}, nil
}

// request sends a look-up and records what became of it.
func (l *loader) request() {
	text := fmt.Sprintf("GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: overload-%d\r\nTarragonvalve-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n\r\n", l.ids.Add(1))
	sent := time.Now()
	status, keep := 0, false
	k, err := l.conn()
	if err == nil {
		k.SetDeadline(sent.Add(overloadTimeout + heldOn))
		if _, err = io.WriteString(k, text); err == nil {
			status, keep, err = k.readAnswer()
		}
	}
	took := time.Since(sent)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.sum
	s.sent++
	if took > overloadTimeout {
		s.late++
	}
	switch {
	case took >= overloadTimeout+heldOn:
		s.heldOn++
	case err != nil:
		s.other++
	case status == http.StatusServiceUnavailable:
		s.refused = append(s.refused, took)
	case status == http.StatusOK && took <= overloadTimeout:
		s.whole++
	case took <= overloadTimeout:
		s.other++
	}
	if err == nil && keep {
		l.idle = append(l.idle, k)
	} else if k != nil {
		k.Close()
	}
}

// readAnswer reads an answer and returns its status and whether the connection may be used again.
func (k *keptConn) readAnswer() (int, bool, error) {
	a, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, !a.Close, err
}

// bestRate raises the rate until less than nearly all requests are served in time twice, and returns the highest rate
// before that. Once may be the machine's other work.
func (l *loader) bestRate(t *testing.T, step time.Duration) int {
	const enough = 0.95
	best, failed := 0, 0
	for rate := 200; ; rate = rate * 14 / 10 {
		r := l.offer(rate, step)
		if float64(r.whole) < enough*float64(r.sent) {
			t.Logf("%d/s: %s", rate, r)
			if failed++; failed == 2 {
				return best
			}
			continue
		}
		best, failed = rate, 0
	}
}

// startBuilt builds a router without the race detector, which slows its parts down unequally, and starts it with the
// settings of w. It is killed at the end of the test.
func (w *harness) startBuilt() *process {
	w.t.Helper()
	path := filepath.Join(w.t.TempDir(), "router")
	if out, err := exec.Command("go", "build", "-o", path, "tarragonvalve.example/router").CombinedOutput(); err != nil {
		w.t.Fatalf("build: %v\n%s", err, out)
	}
	p := &process{Cmd: exec.Command(path, "--config", w.path)}
	p.Stdout, p.Stderr = &p.logs, &p.logs
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		// Errors mean that it has ended.
		p.Process.Kill()
		p.Wait()
	})
	return p
}

// Guards against a router past its capacity that serves a small part of what it could, refuses too late to be of use, or
// holds requests on past their time-out.
func TestGoodputPastCapacity(t *testing.T) { checkGoodput(t, 1, 2) }

// Guards against the same at four times the capacity.
func TestGoodputFarPastCapacity(t *testing.T) { checkGoodput(t, 4) }

// checkGoodput offers a router multiples of its best rate.
func checkGoodput(t *testing.T, multiples ...int) {
	t.Helper()
	const (
		period  = 50 * time.Millisecond
		runs    = 2 * time.Millisecond
		servers = 30
	)
	w, _ := platform(t, 8, always(fine))
	for i := range servers {
		w.server("look", fmt.Sprintf("l%d", i), "v1", always(server.Delayed{Answer: server.Answer{Status: http.StatusOK, Body: "fine"}, Delay: 60 * time.Millisecond}))
	}
	d := document(2, route("look", "idempotent", "look", "timeout_ms", overloadTimeout.Milliseconds(), "target_latency_ms", 300))
	d["services"] = append(d["services"].([]any), map[string]any{"name": "look", "health_path": "/h", "max_connections": 100})
	w.writeConfig(d)
	p := w.startBuilt()
	w.eventually("readiness", w.ready)
	time.Sleep(500 * time.Millisecond) // until all upstreams are listed
	l := &loader{address: w.clients}
	end := pause.Throttle(p.Process, runs, period)
	defer end()
	best := l.bestRate(t, 300*time.Millisecond)
	t.Logf("best rate %d/s", best)
	rate := best
	for _, k := range multiples {
		const offered = time.Second
		r := l.offer(k*rate, offered)
		t.Logf("%d times: %s", k, r)
		if float64(r.whole) < minGoodput*float64(best)*offered.Seconds() {
			t.Errorf("%d times the best rate: %d whole in time", k, r.whole)
		}
		// More than the best rate by short steps may be served: then that counts.
		best = max(best, int(float64(r.whole)/offered.Seconds()))
		if float64(r.heldOn) > maxHeldOn*float64(r.late) {
			t.Errorf("%d times the best rate: %d of %d requests without an answer at their time-out held on", k, r.heldOn, r.late)
		}
		if ran := r.quantile(0.99) * runs / period; ran > refusalBound {
			t.Errorf("%d times the best rate: refused after it had run for %s", k, ran)
		}
	}
}
