package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// limitGrace is the time after which a limit that a server states binds all routers.
	limitGrace = 3 * time.Second
	// limitWindow, limitFactor and limitTolerance bound the requests that a limited server may get
	// in any window.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitTolerance = 5
	// excuseTime is how long after a disturbance of a router its requests don't count.
	excuseTime = 5 * time.Second
)

// span is a time between two moments.
type span struct{ from, to time.Time }

// limits holds the servers that state a limit during the faults of a run, and the disturbances
// that excuse a router from keeping it. It is safe for concurrent use.
type limits struct {
	mu sync.Mutex
	// rates are the limits by the servers' positions in cluster.upstreams, since from.
	rates map[int]float64
	from  time.Time
	// excused are the disturbances of routers by name, and disturbed the servers that were cut off.
	excused   map[string][]span
	disturbed map[string]bool
}

// state makes one server of each service state a random limit.
func (x *limits) state(w *cluster, r *rand.Rand) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rates, x.from = map[int]float64{}, time.Now()
	for _, i := range []int{r.IntN(plainUpstreams), plainUpstreams + r.IntN(modelUpstreams)} {
		x.rates[i] = 1 + float64(r.IntN(8))/2
		w.upstreams[i].SetLimit(strconv.FormatFloat(x.rates[i], 'f', -1, 64))
	}
}

// excuse records that a router was disturbed from a time until now.
func (x *limits) excuse(router string, from time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.excused[router] = append(x.excused[router], span{from, time.Now().Add(excuseTime)})
}

// cutOff records that a server was cut off: what was sent meanwhile arrives at once.
func (x *limits) cutOff(server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disturbed[server] = true
}

// check records a violation for each server that got more requests in a window than it stated,
// and ends all limits.
func (x *limits) check(w *cluster) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, rate := range x.rates {
		u := w.upstreams[i]
		u.SetLimit("")
		if x.disturbed[u.Name] {
			continue
		}
		var ts []time.Time
		for _, q := range u.Requests() {
			if q.At.After(x.from.Add(limitGrace)) && !x.isExcused(w.checker.routerOf(q.ID()), q.At) {
				ts = append(ts, q.At)
			}
		}
		slices.SortFunc(ts, time.Time.Compare)
		allowed := limitFactor*rate*limitWindow.Seconds() + limitTolerance
		for k, t := range ts {
			end, _ := slices.BinarySearchFunc(ts, t.Add(limitWindow), time.Time.Compare)
			if float64(end-k) > allowed {
				w.checker.mu.Lock()
				w.checker.addViolation("%s stated %.1f requests a second and got %d in %s, allowed %.1f", u.Name, rate, end-k, limitWindow, allowed)
				w.checker.mu.Unlock()
				break
			}
		}
	}
}

// isExcused reports whether a router's requests at a time don't count. The caller holds the lock.
func (x *limits) isExcused(router string, at time.Time) bool {
	return slices.ContainsFunc(x.excused[router], func(s span) bool { return at.After(s.from) && at.Before(s.to) })
}
