package canary

import (
	"fmt"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/entry/guard"
)

const (
	// slowFactor is how many times the median of the old version's times makes a time slow: the
	// caches of new upstreams are cold, and upstreams differ in speed.
	slowFactor = 2
	// minFirstResponse is the least multiple of the predicted time that counts as a time until a
	// response: below it connections and scheduling decide, not the version.
	minFirstResponse = 0.05
	// timingWindow is the number of times that are compared. It is small, so that a burst of
	// requests, which slows both versions down, shows in both.
	timingWindow = 100
	// lateSpan is how long times are ignored once the process is late, as they say more of it then than of upstreams, and
	// after it was late. In lateRest from then on those of a late process aren't ignored again: a process that is late most
	// of the time still has to find a slow version, and its lateness shows in the times of both versions.
	lateSpan = 2 * time.Second
	lateRest = 10 * time.Second
	// lateGap is how long after the latest late time of the old version those of the new one are compared with it. After
	// the move of all requests the old version gets none, and its lateness some seconds ago may have been another.
	lateGap = time.Second
	// stoppedLevel is the lateness from which times are always ignored: most of the process's time is missing.
	stoppedLevel = 250 * time.Millisecond
)

// Measure is a kind of time that is compared between versions.
type Measure int

// Both measures hardly depend on the size of a request.
const (
	// FirstResponse is the time until a response started, as a multiple of the time that was
	// predicted for an upstream of usual speed.
	FirstResponse Measure = iota
	// EventInterval is the mean time, in seconds, between the first events of a stream.
	EventInterval

	measureCount
)

// Timing is a time of a response.
type Timing struct {
	Service ident.ServiceID
	// New is true for responses of the version that is being rolled out.
	New     bool
	Measure Measure
	// Value is the time less what the lateness of this process may have added to it, Noticed the whole time until it was
	// noticed, or 0 if that is the same.
	Value, Noticed float64
}

// timings holds times of both versions that may be compared.
type timings struct {
	// medians are those of the old version's times, by measure. before and after count the slow ones of the old and of
	// the new version, which are those above slowFactor times the median.
	medians       [measureCount]guard.Quantile
	before, after guard.Counts
}

func newTimings() *timings {
	var x timings
	for i := range x.medians {
		x.medians[i] = guard.NewQuantile(0.5)
	}
	return &x
}

// observe adds a time and reports whether it shows that the new version is slow.
func (x *timings) observe(t Timing) bool {
	m := &x.medians[t.Measure]
	median := m.Value()
	slow := t.Value > slowFactor*median
	switch {
	case !t.New:
		m.Observe(t.Value)
		if median > 0 {
			x.before = x.before.Add(slow, timingWindow)
		}
		return false
	case median == 0:
		return false
	}
	x.after = x.after.Add(slow, timingWindow)
	return guard.Excess(guard.SignalLatency, x.after, x.before) >= minEvidence
}

// String describes the counts, for a verdict.
func (x *timings) String() string {
	return fmt.Sprintf("%.0f of %.0f times against %.0f of %.0f", x.after.Bad, x.after.All, x.before.Bad, x.before.All)
}

// CheckLateness looks whether the process is late. It is called a few times a second during roll-outs.
func (w *Monitor) CheckLateness(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLateness(now)
}

// lateness describes what may be done with times that are measured now.
type lateness int

const (
	// onTime means that the process has not been late.
	onTime lateness = iota
	// lateNow means that it is late, so that times show its lateness.
	lateNow
	// unsettled means that it became late a short time ago, was late a short time ago or is stopped most of the time, so
	// that times show the lateness more or less.
	unsettled
)

// checkLateness returns the lateness of the process at now. The caller holds the lock.
func (w *Monitor) checkLateness(now time.Time) lateness {
	l := w.lateness()
	if l >= late.Level {
		if w.lateAt.IsZero() || now.Sub(w.lateAt) >= lateRest {
			w.lateAt = now
		}
		w.seenLate = now
	}
	switch {
	case l >= stoppedLevel || within(w.lateAt, now):
		return unsettled
	case l >= late.Level:
		return lateNow
	case within(w.seenLate, now):
		return unsettled
	}
	return onTime
}

// within reports whether now is less than lateSpan after t, which may be zero.
func within(t, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) < lateSpan
}

// MeasuresLate reports whether this process has been late at now, so that the times that it measures say nothing of
// upstreams to others.
func (w *Monitor) MeasuresLate(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkLateness(now) != onTime
}

// timingsFor returns the times that one which is measured at now is compared with. Those of a late process are compared only
// with others that it measured late, without a gap.
func (s *serviceState) timingsFor(t Timing, l lateness, now time.Time) *timings {
	if l == onTime {
		return s.onTime
	}
	if now.Sub(s.oldLateAt) > lateGap {
		s.whileLate = newTimings()
	}
	if !t.New {
		s.oldLateAt = now
	}
	return s.whileLate
}

// ObserveTiming adds a time of a response that was noticed just now, unless the process has been late. order is the
// revision of the service's order; it is 0 without a roll-out.
func (w *Monitor) ObserveTiming(t Timing, order uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	l := w.checkLateness(now)
	if l == unsettled {
		return
	}
	s := w.stateOf(t.Service)
	if l == lateNow {
		// The lateness varies from one time to the next by more than the versions do, and shows in all of them.
		t.Value = max(t.Value, t.Noticed)
	}
	if t.Measure == FirstResponse {
		t.Value = max(t.Value, minFirstResponse)
	}
	if t.New {
		s.reset(order)
	}
	if x := s.timingsFor(t, l, now); x.observe(t) && s.verdict == "" {
		s.verdict = "slow: " + x.String()
	}
}
