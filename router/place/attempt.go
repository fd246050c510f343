package place

import (
	"time"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/speed"
)

// Start records that an attempt is sent to the chosen upstream.
func (b *Balancer) Start(c Choice, now time.Time) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadOf(c.Upstream.ID)
	a := &Attempt{balancer: b, load: l, choice: c, began: now, pending: true, ahead: l.workAhead(b.othersAt(l, now), now), running: l.running(now)}
	l.inFlight++
	l.pending += c.work
	l.pendingCount++
	return a
}

// Attempt is an attempt in progress.
type Attempt struct {
	balancer *Balancer
	load     *upstreamLoad
	choice   Choice
	began    time.Time
	pending  bool
	ended    bool
	// ahead is the nominal work, in ms, of the requests without a response at the upstream when the attempt was sent, and
	// running the number of running ones.
	ahead   float64
	running int
}

// PromptObservation returns what was known of the upstream's queue when the attempt was sent, for the first event of its
// response. It returns false if the time says nothing of the upstream's speed, as a part of the prompt was to be copied
// from another one.
func (a *Attempt) PromptObservation(now time.Time) (speed.PromptObservation, bool) {
	if a.choice.CopySource != nil {
		return speed.PromptObservation{}, false
	}
	return speed.PromptObservation{Took: now.Sub(a.began), Ahead: a.ahead * a.choice.promptRate, Running: a.running}, true
}

// ResponseStarted records that the response started, and updates the upstream's slowdown.
func (a *Attempt) ResponseStarted(now time.Time) {
	a.responseStarted(now, true)
}

// ResponseStartedLate is ResponseStarted in a process that may have noticed the response late. Other instances don't get
// the time, which says more of this process than of the upstream.
func (a *Attempt) ResponseStartedLate(now time.Time) {
	a.responseStarted(now, false)
}

func (a *Attempt) responseStarted(now time.Time, share bool) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if !a.pending {
		return
	}
	a.clearPending()
	a.observeDelay(now, share)
}

// PromptProcessed records that the upstream has the prompt's shared prefix cached now.
func (a *Attempt) PromptProcessed(now time.Time) {
	p := a.choice.prefix
	if p == 0 {
		return
	}
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	u := a.choice.Upstream.ID
	a.balancer.holders.add(p, u, now)
	a.balancer.addSample(Sample{Upstream: u, Prefixes: []Prefix{p}, At: now})
}

// TimedOut records an end without a response; the time so far updates the upstream's slowdown.
func (a *Attempt) TimedOut(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.pending {
		a.observeDelay(now, true)
	}
}

// observeDelay updates the upstream's slowdown, and that at other instances if share is true.
func (a *Attempt) observeDelay(now time.Time, share bool) {
	p := logSlowdown(now.Sub(a.began), a.choice.Nominal)
	a.load.slowdown.add(p, 1, now)
	if !share {
		return
	}
	a.balancer.addSample(Sample{Upstream: a.choice.Upstream.ID, Responses: 1, LogSlowdown: p, At: now})
}

// LoadReported records the load that the upstream reported in its response.
func (a *Attempt) LoadReported(r call.Load, now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.load.reported, a.load.reportedAt = r, now
	a.balancer.addSample(Sample{Upstream: a.choice.Upstream.ID, Load: r, HasLoad: true, At: now})
}

// End records the end of the attempt. Further calls have no effect.
func (a *Attempt) End() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.clearPending()
	a.load.inFlight--
}

func (a *Attempt) clearPending() {
	if !a.pending {
		return
	}
	a.pending = false
	a.load.pending = max(a.load.pending-a.choice.work, 0)
	a.load.pendingCount--
}
