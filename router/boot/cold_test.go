package boot

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// coldRate is the cold_per_s of the tests. The users' rule: a cold server gets at most coldFactor times that in any
	// second, and coldTolerance, from all routers together.
	coldRate      = 5.0
	coldFactor    = 1.5
	coldTolerance = 5
	// coldHeartbeat is the time between two entries of a cold server.
	coldHeartbeat = 1200 * time.Millisecond
)

// coldEntries writes the entry of a server as cold for d, at each heartbeat, and then as warm. It returns when it was
// first written.
func (w *harness) coldEntries(s *server.Server, born int, d time.Duration) (written time.Time, done *sync.WaitGroup) {
	write := func(left time.Duration) {
		err := w.store.PutJSON("servers", s.Name, map[string]any{
			"service": "desk", "address": s.Address(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": born,
			"cold_remaining_ms": left.Milliseconds(),
		})
		if err != nil {
			w.t.Error(err)
		}
	}
	written = time.Now()
	write(d)
	done = &sync.WaitGroup{}
	done.Go(func() {
		for left := d - time.Since(written); left > 0; left = d - time.Since(written) {
			time.Sleep(min(coldHeartbeat, left))
			write(max(d-time.Since(written), 0))
		}
	})
	return written, done
}

// expectColdRate checks that no second between two times holds more requests than a cold server tolerates. It returns
// the number of requests between them.
func expectColdRate(t *testing.T, s *server.Server, from, to time.Time) int {
	t.Helper()
	var ts []time.Time
	for _, q := range s.Requests() {
		if !q.At.Before(from) && q.At.Before(to) {
			ts = append(ts, q.At)
		}
	}
	slices.SortFunc(ts, time.Time.Compare)
	for k, at := range ts {
		end, _ := slices.BinarySearchFunc(ts, at.Add(time.Second), time.Time.Compare)
		if allowed := coldFactor*coldRate + coldTolerance; float64(end-k) > allowed {
			t.Errorf("%d requests in a second, allowed %.1f", end-k, allowed)
			break
		}
	}
	return len(ts)
}

// A server joins cold, gets warm and turns cold again, under load from all routers, with a warm one beside it at first.
// Guards against routers that together send a cold server more than it tolerates, that send it nothing, that don't use
// it as a warm one afterwards, that refuse requests although the warm server takes them, and against other answers than
// success or a refusal as not run when only a cold server is left.
func TestColdUpstream(t *testing.T) {
	t.Parallel()
	const cold = 9 * time.Second
	d := standardDocument()
	d["services"].([]any)[0].(map[string]any)["cold_per_s"] = coldRate
	ws := startRouters(t, d, 4)
	w := ws[0]
	// The warm server is slow, so that the other one is preferred as far as it may be used.
	warm := w.server("desk", "s1", "v1", always(server.Delayed{Answer: fine, Delay: 150 * time.Millisecond}))
	w.moveTo("b", warm, "desk")
	for _, x := range ws {
		x.awaitUpstreams(1)
	}
	joined, err := server.New("s2", always(fine))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(joined.Close)
	// logged waits until each router has logged a message n times.
	logged := func(message string, n int) {
		t.Helper()
		for _, x := range ws {
			x.eventually(fmt.Sprint(message, " ", n), func() bool { return strings.Count(x.logs.String(), `"message":"`+message) >= n })
		}
	}
	load := func(d time.Duration) map[string]int {
		t.Helper()
		_, refusals := sendSteadily(ws, d, "GET", "/read/1")
		return refusals
	}
	from, entries := w.coldEntries(joined, 1, cold)
	if refusals := load(cold); len(refusals) > 0 {
		t.Errorf("refused beside a warm server: %v", refusals)
	}
	if n := expectColdRate(t, joined, from, from.Add(cold)); n == 0 {
		t.Error("the cold server gets nothing")
	}
	entries.Wait()
	logged("upstream is no longer cold", 1)
	before := len(joined.Requests())
	load(2 * time.Second)
	if n := len(joined.Requests()) - before; float64(n) < 2*2*coldRate {
		t.Errorf("%d requests in 2 s at the server that is warm", n)
	}
	// It turns cold again, and the other server leaves.
	from, entries = w.coldEntries(joined, 1, cold)
	w.register(warm, "desk", "v1", "draining")
	refusals := load(cold)
	if n := expectColdRate(t, joined, from.Add(restoredPropagation), from.Add(cold)); n == 0 {
		t.Error("the server that turned cold again gets nothing")
	}
	if len(refusals) == 0 {
		t.Error("no request is refused although the cold server takes few of them")
	}
	for _, x := range ws {
		if strings.Contains(x.logs.String(), "test: ") {
			t.Errorf("%s answered other than with success or 503", x.name)
		}
	}
	entries.Wait()
}

// A router doesn't know how many others there are, as its peer doesn't answer, and the only upstream turns cold while
// requests wait for its one connection. Guards against requests that are sent as they were placed while it was warm, and
// against a router that takes a share of a number that it doesn't know.
func TestTurnsColdUnderWay(t *testing.T) {
	t.Parallel()
	d := standardDocument()
	desk := d["services"].([]any)[0].(map[string]any)
	desk["cold_per_s"], desk["max_connections"] = coldRate, 1
	w := startRouter(t, d)
	s := w.server("desk", "s1", "v1", always(server.Delayed{Answer: fine, Delay: 20 * time.Millisecond}))
	own := freeAddress(t)
	x := &harness{
		t: t, store: w.store, address: w.address, logs: &lockedBuffer{}, reload: make(chan os.Signal, 1), name: "r2", grace: w.grace,
		router: "seeds = " + freeAddress(t) + ", " + own + "\nshare = " + own + "\n",
	}
	x.run()
	x.awaitUpstreams(1)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					x.send("GET", "/read/1", "")
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	x.eventually("requests", func() bool { return len(s.Requests()) > 5 })
	_, entries := w.coldEntries(s, 1, 5*time.Second)
	x.eventually("the cold state", func() bool { return strings.Contains(x.logs.String(), `"message":"upstream is cold`) })
	before := len(s.Requests())
	entries.Wait()
	// The one connection carries one request that was checked before.
	if n := len(s.Requests()) - before; n > 1 {
		t.Errorf("%d requests were sent after the upstream was known to be cold", n)
	}
	x.eventually("requests after the cold state", func() bool { return len(s.Requests()) > before+5 })
	close(stop)
	wg.Wait()
}
