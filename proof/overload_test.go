package proof_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
)

// throttle lets a process run for on of each period until the returned function is called.
func throttle(p *proc.Process, on, period time.Duration) (stop func()) {
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		defer p.Resume()
		for {
			p.Resume()
			time.Sleep(on)
			p.Pause()
			select {
			case <-end:
				return
			case <-time.After(period - on):
			}
		}
	}()
	return func() {
		close(end)
		<-done
	}
}

// lookups counts how look-ups ended for their callers.
type lookups struct {
	sent int
	// whole were answered in time, refused got 503, unanswered had no answer at their time-out, and lost none half a second
	// later.
	whole, refused, unanswered, lost int
	// refusals holds how long refusals took.
	refusals []time.Duration
}

// lookUpLimit is the time-out of look-ups.
const lookUpLimit = 1500 * time.Millisecond

// caller sends look-ups to an entry.
type caller struct {
	fleet  *fleet.Fleet
	entry  *fleet.Entry
	client *http.Client
}

// rate returns how many look-ups a second a few clients get answered that each send the next one after an answer.
func (c *caller) rate(length time.Duration) int {
	const clients = 64
	var n atomic.Int64
	var w sync.WaitGroup
	end := time.Now().Add(length)
	for range clients {
		w.Go(func() {
			for time.Now().Before(end) {
				if c.lookUp() == http.StatusOK {
					n.Add(1)
				}
			}
		})
	}
	w.Wait()
	return int(float64(n.Load()) / length.Seconds())
}

// send sends look-ups at a rate, whatever becomes of them.
func (c *caller) send(rate int, length time.Duration) *lookups {
	out := &lookups{}
	var mu sync.Mutex
	var w sync.WaitGroup
	began := time.Now()
	for time.Since(began) < length {
		for due := int(time.Since(began).Seconds() * float64(rate)); out.sent < due; out.sent++ {
			w.Go(func() {
				at := time.Now()
				code := c.lookUp()
				mu.Lock()
				defer mu.Unlock()
				out.count(code, time.Since(at))
			})
		}
		time.Sleep(time.Millisecond)
	}
	w.Wait()
	return out
}

func (l *lookups) count(code int, took time.Duration) {
	if took > lookUpLimit {
		l.unanswered++
	}
	switch {
	case code == 0:
		l.lost++
	case code == http.StatusServiceUnavailable:
		l.refused++
		l.refusals = append(l.refusals, took)
	case code == http.StatusOK && took <= lookUpLimit:
		l.whole++
	}
}

// lookUp returns the status of a look-up, or 0 if its answer did not come within half a second after its time-out.
func (c *caller) lookUp() int {
	ctx, cancel := context.WithTimeout(c.fleet.Context(), lookUpLimit+500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.entry.Addr.Callers+"/v1/services/stock/caps", nil)
	if err != nil {
		return 0
	}
	q.Header.Set("Authorization", "Bearer key-"+fleet.Alpha)
	q.Header.Set("Tarragonvalve-Timeout-Ms", strconv.FormatInt(lookUpLimit.Milliseconds(), 10))
	p, err := c.client.Do(q)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		return 0
	}
	return p.StatusCode
}

// overload sends twice as many look-ups as it can serve to an entry that runs for 5 ms of each 50 ms on one processor. It
// returns how they ended, and how many it serves in that time when it isn't overloaded.
func overload(t *testing.T) (l *lookups, capacity int) {
	t.Helper()
	const length = 3 * time.Second
	t.Setenv("GOMAXPROCS", "1") // of the processes of the fleet
	f := fleet.Start(t, fleet.Options{Entries: 1, Engines: 1, Slots: 2})
	e := f.Entries[0]
	h := &http.Transport{MaxIdleConnsPerHost: 4096}
	defer h.CloseIdleConnections()
	c := &caller{fleet: f, entry: e, client: &http.Client{Transport: h}}
	defer throttle(e.Process, 5*time.Millisecond, 50*time.Millisecond)()
	rate := c.rate(time.Second)
	l = c.send(2*rate, length)
	capacity = int(float64(rate) * length.Seconds())
	slices.Sort(l.refusals)
	t.Logf("capacity %d; %d sent: %d whole in time, %d refused, %d without an answer at their time-out, %d of these lost", capacity, l.sent, l.whole, l.refused, l.unanswered, l.lost)
	if n := len(l.refusals); n > 0 {
		t.Logf("refusals after %s (p50), %s (p99)", l.refusals[n/2], l.refusals[n*99/100])
	}
	return l, capacity
}

// Guards against an entry with too little processor time that neither serves nor refuses what it gets, as it counts
// deadlines from when it reads requests.
func TestOverloadedEntryAnswers(t *testing.T) {
	l, _ := overload(t)
	if l.refused == 0 {
		t.Error("nothing was refused")
	}
	// Up to one in a hundred of all may have been delayed by the machine.
	if l.lost > max(l.unanswered/10, l.sent/100) {
		t.Errorf("%d of %d look-ups without an answer at their time-out had none half a second later", l.lost, l.unanswered)
	}
}

// Guards against an entry with too little processor time that serves a small part of what it could, as it works on
// requests whose time is over.
func TestOverloadedEntryServes(t *testing.T) {
	if l, capacity := overload(t); float64(l.whole) < 0.7*float64(capacity) {
		t.Errorf("%d look-ups were served in time, want 0.7 of %d", l.whole, capacity)
	}
}
