// Package late measures how late the work of this process runs. A process that gets too little processor time, or was
// stopped for a while, notices events long after they happened, and can't tell that from the events.
package late

import (
	"context"
	"math"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// Interval is the time between two heartbeats of a process that runs.
	Interval = 50 * time.Millisecond
	// window is how long the largest lateness counts.
	window = 250 * time.Millisecond
	// Level is the lateness from which on the process counts as late, and leaveLevel that at which it no longer does.
	Level      = 100 * time.Millisecond
	leaveLevel = 50 * time.Millisecond
	// waitQuantile is the quantile of the waits for a processor that counts as their length.
	waitQuantile = 0.9
	// minWaits is the least number of waits of which the quantile is taken.
	minWaits = 8
	// waitsMetric is the runtime's histogram of the time that goroutines were ready to run before they ran, in seconds.
	waitsMetric = "/sched/latencies:seconds"
)

// Clock returns the time since an arbitrary fixed start; it is more than 0.
type Clock func() time.Duration

// Monotonic returns a clock that starts now and stands still while the machine is suspended.
func Monotonic() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + 1 }
}

// Meter measures the lateness of the process. It is safe for concurrent use.
type Meter struct {
	now Clock
	log zerolog.Logger
	// beat is the reading of the clock at the latest heartbeat, 0 before it.
	beat     atomic.Int64
	lateness atomic.Int64
	episodes atomic.Int64
	// stopOver is true if the process has run on time since its latest stop, and was not late before it.
	stopOver atomic.Bool
	seen     seen
	// history, stop, waits and since belong to the goroutine of Run.
	history history
	stop    stop
	waits   waits
	since   time.Duration
}

// New returns a meter that reads the clock n. It measures while Run runs.
func New(n Clock, l zerolog.Logger) *Meter {
	return &Meter{now: n, log: l}
}

// Name implements serve.Component.
func (m *Meter) Name() string { return "lateness" }

// Run measures until ctx ends. It always returns nil.
func (m *Meter) Run(ctx context.Context) error {
	t := time.NewTicker(Interval)
	defer t.Stop()
	m.waits.read()
	m.Beat(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			m.Beat(m.waits.read())
		}
	}
}

// Beat records a heartbeat and how long goroutines have waited for a processor since the one before. Run calls it each
// Interval; calls must not overlap.
func (m *Meter) Beat(wait time.Duration) {
	now := m.now()
	overdue := m.overdue(now)
	level := m.history.add(now, max(overdue, wait))
	// In this order, so that Lateness and Waited see either the overdue heartbeat or what it led to.
	m.stopOver.Store(m.stop.add(now, overdue, wait))
	m.lateness.Store(int64(level))
	m.beat.Store(int64(now))
	m.seen.add(now)
	switch {
	case m.since == 0 && level >= Level:
		m.since = now
		m.episodes.Add(1)
		m.log.Warn().Dur("lateness", level).Msg("work runs late")
	case m.since != 0 && level <= leaveLevel:
		m.log.Info().Dur("lateness", level).Dur("for", now-m.since).Msg("work runs on time again")
		m.since = 0
	}
}

// Lateness returns how much later than it could work has run lately, the present delay of the heartbeat included.
func (m *Meter) Lateness() time.Duration {
	o := m.Overdue()
	return max(o, time.Duration(m.lateness.Load()))
}

// Waited returns how long at most a request that begins now has waited for the process, as well as it can tell. What begins
// after a single stop that is over is on time, while Lateness lasts for a window.
func (m *Meter) Waited() time.Duration {
	if m.stopOver.Load() {
		return m.Overdue()
	}
	return m.Lateness()
}

// Overdue returns by how much the next heartbeat is overdue. What the process notices now may have happened that much
// earlier. It is 0 before the first heartbeat.
func (m *Meter) Overdue() time.Duration {
	return m.overdue(m.now())
}

func (m *Meter) overdue(now time.Duration) time.Duration {
	b := time.Duration(m.beat.Load())
	if b == 0 {
		return 0
	}
	return max(now-b-Interval, 0)
}

// Unseen returns for how long at most the process has not noticed an event that it notices now: the time since the latest
// heartbeat that is at least Interval old. Younger ones may have come after the event, as a process that runs again after a
// stop has some before all its goroutines have run. It is 0 before the first heartbeat.
func (m *Meter) Unseen() time.Duration {
	return m.seen.since(m.now())
}

// Episodes returns how often the process has begun to be late.
func (m *Meter) Episodes() int64 { return m.episodes.Load() }

// seen holds the heartbeats of the last Interval and the one before them, the newest last.
type seen struct {
	mu    sync.Mutex
	beats []time.Duration
}

// add adds a heartbeat.
func (s *seen) add(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	s.beats = append(s.beats, now)
}

// since returns the time since the oldest heartbeat that is held.
func (s *seen) since(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	if len(s.beats) == 0 {
		return 0
	}
	return max(now-s.beats[0], 0)
}

// prune removes the heartbeats before the latest one that is at least Interval old.
func (s *seen) prune(now time.Duration) {
	for len(s.beats) > 1 && now-s.beats[1] >= Interval {
		s.beats = s.beats[1:]
	}
}

// history holds the largest latenesses of the last window, the newest last; each is larger than those after it.
type history []reading

// reading is a lateness at a time.
type reading struct{ at, late time.Duration }

// add adds a lateness and returns the largest one of the window that ends at now.
func (h *history) add(now, late time.Duration) time.Duration {
	s := *h
	for len(s) > 0 && s[len(s)-1].late <= late {
		s = s[:len(s)-1]
	}
	s = append(s, reading{at: now, late: late})
	for now-s[0].at > window {
		s = s[1:]
	}
	*h = s
	return s[0].late
}

// waits reads how long goroutines waited for a processor.
type waits struct {
	sample [1]metrics.Sample
	before []uint64
}

// read returns a quantile of the waits since the last call, or 0 if there were few.
func (w *waits) read() time.Duration {
	w.sample[0].Name = waitsMetric
	metrics.Read(w.sample[:])
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	if len(w.before) != len(h.Counts) {
		w.before = make([]uint64, len(h.Counts))
	}
	d := quantile(h, w.before)
	copy(w.before, h.Counts)
	return d
}

// quantile returns the lower bound of the bucket with the waitQuantile of the waits that were counted since before.
func quantile(h *metrics.Float64Histogram, before []uint64) time.Duration {
	var total uint64
	for i, n := range h.Counts {
		total += n - before[i]
	}
	if total < minWaits {
		return 0
	}
	rest := uint64(float64(total) * (1 - waitQuantile))
	for i := len(h.Counts) - 1; i >= 0; i-- {
		n := h.Counts[i] - before[i]
		if n > rest {
			return time.Duration(math.Max(h.Buckets[i], 0) * float64(time.Second))
		}
		rest -= n
	}
	return 0
}
