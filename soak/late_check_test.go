package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// heldFor is how long after its time-out a request may be without an answer, minHeld the number of such requests
	// from which the rule holds.
	heldFor = 500 * time.Millisecond
	minHeld = 8
	// goneFor is how long after its client has left a request may reach a server. maxGone bounds those that reach one
	// later, and maxLost the requests of kept connections that end without an answer, at each router.
	goneFor = 500 * time.Millisecond
	maxGone = 3
	maxLost = 3
	// pulseTime is the time between two beats of the test process, maxLateness that by which a beat may be late in a
	// time in which requests count as held.
	pulseTime   = 10 * time.Millisecond
	maxLateness = 100 * time.Millisecond
)

// judgements are parts of the log lines by which a router calls something else bad.
var judgements = []string{
	`"silent":true`, "upstream ended with requests in progress", "were found to crash upstreams", "crash upstreams and are refused",
	`"phase":"reverted"`, `"message":"dependency lost"`,
}

// judge collects the judgements in the output of routers. It is safe for concurrent use.
type judge struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer. Routers write whole lines, which fit in one call.
func (j *judge) Write(b []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for l := range bytes.Lines(b) {
		s := string(l)
		if slices.ContainsFunc(judgements, func(x string) bool { return strings.Contains(s, x) }) {
			j.lines = append(j.lines, strings.TrimSpace(s))
		}
	}
	return len(b), nil
}

// first returns the first line of each kind and how many there were.
func (j *judge) first() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for _, k := range judgements {
		var lines []string
		for _, l := range j.lines {
			if strings.Contains(l, k) {
				lines = append(lines, l)
			}
		}
		if len(lines) > 0 {
			out = append(out, fmt.Sprintf("%d with %s, the first: %s", len(lines), k, lines[0]))
		}
	}
	return out
}

// pulse notes when the test process itself was late. It may be read when run has returned.
type pulse struct{ late []span }

func (x *pulse) run(end <-chan struct{}) {
	t := time.NewTicker(pulseTime)
	defer t.Stop()
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-end:
			return
		case <-t.C:
		}
		if now := time.Now(); now.Sub(last) > maxLateness {
			x.late = append(x.late, span{last, now})
		}
	}
}

// longest returns the longest time between two beats that was over maxLateness, or 0.
func (x *pulse) longest() time.Duration {
	var d time.Duration
	for _, s := range x.late {
		d = max(d, s.to.Sub(s.from))
	}
	return d
}

// overlaps reports whether one of ss overlaps the time between two moments.
func overlaps(ss []span, from, to time.Time) bool {
	return slices.ContainsFunc(ss, func(s span) bool { return from.Before(s.to) && to.After(s.from) })
}

// toll counts what the rules bound at a router in touch.
type toll struct {
	late, held, gone, lost, unread int
	// unsure counts the requests that don't count as late, as the test process was late itself.
	unsure int
}

// check records the violations of a run.
func (p *lateRun) check(ss []*spell) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	tolls := map[string]*toll{}
	for _, r := range p.routers {
		tolls[r.name] = &toll{}
	}
	for id, f := range p.fates {
		p.count(tolls[f.router], id, f)
	}
	for _, r := range p.routers {
		y := tolls[r.name]
		p.t.Logf("%s: %+v", r.name, *y)
		if y.held >= minHeld && 2*y.held > y.late {
			p.checker.addViolation("%s held %d of %d requests on that had no answer at their time-out", r.name, y.held, y.late)
		}
		if y.gone > maxGone {
			p.checker.addViolation("%s sent %d requests on over %s after their clients had left", r.name, y.gone, goneFor)
		}
		if y.lost > maxLost {
			p.checker.addViolation("%s passed %d requests of kept connections on and closed these without an answer", r.name, y.lost)
		}
	}
	for _, s := range ss {
		p.logGoodput(s)
	}
	p.t.Logf("the test process was late %d times, by up to %s", len(p.pulse.late), p.pulse.longest())
	for _, l := range p.judge.first() {
		p.checker.addViolation("judgement of what was sound: %s", l)
	}
}

// count adds a request to the toll of its router, or records a violation. The caller must hold both locks.
func (p *lateRun) count(y *toll, id string, f *fate) {
	if f.kind == "order" && f.status == http.StatusServiceUnavailable && len(f.arrivals) > 0 {
		p.checker.addViolation("order %s got 503 and reached a server", id)
	}
	end := f.ended
	if end.IsZero() {
		end = f.left
	}
	if p.cutInStop(f) {
		p.checker.addViolation("%s %s, sent to %s %s after the last SIGTERM, reached a server and ended after %s without a whole answer", f.kind, id, f.router, sinceLast(p.terms[f.router], f.sent), f.ended.Sub(f.sent))
	}
	if overlaps(p.disturbed[f.router], f.sent, end) {
		return
	}
	timeout := f.sent.Add(lateTimeout)
	if end.After(timeout) {
		switch held := timeout.Add(heldFor); {
		case overlaps(p.pulse.late, f.sent, held):
			y.unsure++
		case end.After(held):
			y.late, y.held = y.late+1, y.held+1
		default:
			y.late++
		}
	}
	for _, a := range f.arrivals {
		if !f.left.IsZero() && a.After(f.left.Add(goneFor)) && !overlaps(p.pulse.late, f.left, a) {
			y.gone++
		}
	}
	switch {
	case f.ended.IsZero() || f.whole:
	case len(f.arrivals) == 0:
		y.unread++
	case f.kept && f.begun.IsZero():
		y.lost++
	}
}

// cutInStop reports whether a request reached a server and was cut by a stop of its router in a way that the users
// don't excuse. The caller must hold p.mu.
func (p *lateRun) cutInStop(f *fate) bool {
	if f.ended.IsZero() || f.whole || len(f.arrivals) == 0 || f.ended.Sub(f.sent) >= lateTimeout {
		return false
	}
	for _, t := range p.terms[f.router] {
		within := f.ended.After(t) && f.ended.Before(t.Add(p.grace+time.Second))
		excused := f.sent.Before(t.Add(lateRequest)) && f.ended.After(t.Add(p.grace-p.grace/lateWork))
		if within && !excused && !overlaps(p.unplanned[f.router], f.sent, f.ended) {
			return true
		}
	}
	return false
}

// logGoodput logs how the requests of a spell ended.
func (p *lateRun) logGoodput(s *spell) {
	var sent, whole, refused, failed, late int
	var disturbed string
	for _, f := range p.fates {
		if f.router != p.routers[0].name || f.sent.Before(s.from) || f.sent.After(s.to) {
			continue
		}
		sent++
		switch {
		case f.ended.IsZero() || f.ended.Sub(f.sent) > lateTimeout:
			late++
		case f.whole && f.status == http.StatusOK:
			whole++
		case f.whole && f.status == http.StatusServiceUnavailable:
			refused++
		default:
			failed++
		}
	}
	if overlaps(p.disturbed[p.routers[0].name], s.from, s.to) {
		disturbed = ", with a stop of the router"
	}
	p.t.Logf("spell with %s%s: %d sent, %d whole in time (%.0f a second), %d refused, %d failed, %d not ended in time",
		s, disturbed, sent, whole, float64(whole)/s.to.Sub(s.from).Seconds(), refused, failed, late)
}
