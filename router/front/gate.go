package front

import (
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/drain"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/mirror"
)

const (
	// revokeMargin is subtracted from the time within which a revoked key must stop
	// working, for the time between the check of a key and the send of its request.
	revokeMargin = 300 * time.Millisecond
	// stopMargin is the part of the grace period kept for the last answers and the exit of the process. It is at most
	// the last sixth, as the users' rule LOST lets requests be cut only in that.
	stopMargin         = 600 * time.Millisecond
	stopMarginFraction = 1.0 / 6
)

// Gate decides which requests the instance may accept, by the age of its configuration
// and the progress of its shutdown. It is safe for concurrent use.
type Gate struct {
	syncer *mirror.Syncer
	now    clock.Func
	// revokeWithin returns the time within which a revoked key must stop working.
	revokeWithin func() time.Duration
	// gracePeriod returns the time between SIGTERM and SIGKILL.
	gracePeriod func() time.Duration
	stop        atomic.Pointer[shutdown] // nil before the shutdown
	lateness    *late.Meter
	inFlight    atomic.Int64 // requests in progress
	overload    overload
}

// shutdown is the start of a shutdown.
type shutdown struct {
	// began is the reading of the gate's clock, grace the grace period in force.
	began, grace time.Duration
	// latest is how long after began the signal came at most, in a process that ran on time.
	latest time.Duration
}

// NewGate returns a gate. m measures by the clock now. revokeWithin returns the time within which a revoked key must stop
// working, gracePeriod that between SIGTERM and SIGKILL.
func NewGate(n *mirror.Syncer, now clock.Func, m *late.Meter, revokeWithin, gracePeriod func() time.Duration) *Gate {
	return &Gate{syncer: n, now: now, lateness: m, revokeWithin: revokeWithin, gracePeriod: gracePeriod}
}

// Fresh reports whether a view's configuration is provably fresh enough to accept keys by it.
func (g *Gate) Fresh(v *mirror.View) bool {
	a, ok := v.ConfigAge(g.now())
	return ok && a < g.revokeWithin()-revokeMargin
}

// Ready reports whether the instance should get new connections: it has a fresh
// configuration and a list of upstreams, isn't shutting down and has had no standing queue for long.
func (g *Gate) Ready() bool {
	v := g.syncer.View()
	return !g.Stopping() && !g.overload.paused(time.Now()) && v.Document != nil && v.UpstreamsRead && g.Fresh(v)
}

// Stop begins the shutdown. Further calls do nothing. The signal may have come while the process did not run, so the
// shutdown counts from when it was last seen to run before the latest time, which may itself have been just after the
// signal.
func (g *Gate) Stop() {
	unseen := g.lateness.Unseen()
	g.stop.CompareAndSwap(nil, &shutdown{began: g.now() - unseen, grace: g.gracePeriod(), latest: min(unseen, 2*late.Interval)})
}

// Stopping reports whether the shutdown has begun.
func (g *Gate) Stopping() bool {
	return g.stop.Load() != nil
}

// stoppedFor returns the time since the start of the shutdown, or false before it.
func (g *Gate) stoppedFor() (time.Duration, bool) {
	s := g.stop.Load()
	if s == nil {
		return 0, false
	}
	return g.now() - s.began, true
}

// drainTime returns how long after the start of the shutdown the requests in progress may go on: until the part of the grace
// period that is kept for the last answers has begun, also if the signal came later than the start. Settings that change
// afterwards don't count, as SIGKILL follows by those at SIGTERM.
func (g *Gate) drainTime() time.Duration {
	s := g.stop.Load()
	if s == nil {
		return 0
	}
	return s.grace - min(stopMargin, time.Duration(float64(s.grace)*stopMarginFraction)) + s.latest
}

// grace returns the grace period of the shutdown, or 0 before it.
func (g *Gate) grace() time.Duration {
	s := g.stop.Load()
	if s == nil {
		return 0
	}
	return s.grace
}

// Admits reports whether the shutdown, if it has begun, leaves enough time for a request that may take left.
func (g *Gate) Admits(left time.Duration) bool {
	past, ok := g.stoppedFor()
	return !ok || drain.Admits(past, g.drainTime(), left)
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int {
	return int(g.inFlight.Load())
}

// enter counts a request as in progress; leave must follow.
func (g *Gate) enter() { g.inFlight.Add(1) }

// leave counts a request as ended.
func (g *Gate) leave() { g.inFlight.Add(-1) }
