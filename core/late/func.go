package late

import (
	"context"
	"sync/atomic"
	"time"
)

// Func returns how late the work of a process runs. Nil means that it is always on time.
type Func func() time.Duration

// Lateness calls f.
func (f Func) Lateness() time.Duration {
	if f == nil {
		return 0
	}
	return f()
}

const (
	// arrivalWaits is how often a request has waited for a processor when its handler begins: to be accepted and to be
	// read.
	arrivalWaits = 2
	// answerWaits is how often it waits afterwards: it is written to its upstream by one goroutine, the answer is read by a
	// second one, passed on by a third one and written by a fourth one.
	answerWaits = 4
)

// Left returns how much is left of the time of a request whose handler begins. It counts from the request's arrival as well
// as a process can tell that is late by lateness, and is false if that is too late to answer in time. Below Level, all of
// the time is left.
func Left(total, lateness time.Duration) (time.Duration, bool) {
	if lateness < Level {
		return total, true
	}
	left := total - arrivalWaits*lateness
	return left, left > answerWaits*lateness
}

// Arrivals is a Meter that also tells how long requests that begin now may have waited for the process. After a stop that is
// over, these are on time, while the Meter's lateness lasts for a window. Its Run replaces the Meter's. It is safe for
// concurrent use.
type Arrivals struct {
	*Meter
	// over is true if the process has run on time since its latest stop, and was not late before it.
	over atomic.Bool
	// stop belongs to the goroutine of Run.
	stop stop
}

// NewArrivals returns arrivals that measure by m while Run runs.
func NewArrivals(m *Meter) *Arrivals {
	return &Arrivals{Meter: m}
}

// Run measures until ctx ends. It always returns nil.
func (a *Arrivals) Run(ctx context.Context) error { return a.run(ctx, a.Beat) }

// Beat records a heartbeat as Meter.Beat does.
func (a *Arrivals) Beat(wait time.Duration) {
	now := a.now()
	// Before the meter's heartbeat, after which a stop no longer shows as an overdue one.
	a.over.Store(a.stop.add(now, a.overdue(now), wait))
	a.Meter.Beat(wait)
}

// Waited returns how long at most a request that begins now has waited, as well as the process can tell.
func (a *Arrivals) Waited() time.Duration {
	if a.over.Load() {
		return a.Overdue()
	}
	return a.Lateness()
}

// stop is the latest stop of a process.
type stop struct {
	// single is true if the process was on time for a window before the stop, and since then but for the stop's effects.
	single bool
	// ended is the first heartbeat after the stop, length by how much it was overdue.
	ended, length time.Duration
	// latest is the latest heartbeat that was late, 0 before it.
	latest time.Duration
}

// add adds a heartbeat. It reports whether a single stop is over: the process has run for an Interval, in which what waited
// through the stop has begun, and on time since the heartbeat before.
func (s *stop) add(now, overdue, wait time.Duration) (over bool) {
	switch {
	case max(overdue, wait) < Level:
		return s.single && now-s.ended >= Interval
	case overdue >= Level:
		s.single = s.latest == 0 || now-overdue-s.latest > window
		s.ended, s.length = now, overdue
	default:
		s.single = s.single && s.explains(now, wait)
	}
	s.latest = now
	return false
}

// explains reports whether goroutines waited for that long because of the stop: a wait that ended within an Interval after it
// is counted by a heartbeat at most another one later.
func (s *stop) explains(now, wait time.Duration) bool {
	return now-s.ended <= 2*Interval && wait <= s.length+Interval
}
