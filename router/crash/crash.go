// Package crash relates the crashes of upstreams to the requests that they had just begun to
// answer.
package crash

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/fleet"
)

const (
	// settleTime is how long an upstream must go on after it began to answer a request until
	// that request counts as harmless. In incident BUDGET upstreams crashed 40 to 160 ms after
	// they began to answer.
	settleTime = time.Second
	// verdictTTL is how long an attempt that has ended waits for a sign of life of its upstream.
	verdictTTL = 10 * time.Second
	// maxEnded bounds the attempts that have ended and have no verdict yet; beyond it, new ones
	// get none.
	maxEnded = 4096
	// maxLogged bounds the requests in the log line of a crash.
	maxLogged = 8
)

// Suspect is a request that an upstream had when it crashed.
type Suspect struct {
	Prompt
	// Began is true if the upstream had begun to answer it at most settleTime before, and for requests
	// without a prompt: their answers begin when they have been run.
	Began bool
}

// Report describes the crash of an upstream as one router saw it.
type Report struct {
	Upstream fleet.Incarnation
	Suspects []Suspect
}

// Observer takes the verdicts of a Monitor. Its methods must not call the Monitor.
type Observer interface {
	// Crashed takes the report of a crash.
	Crashed(r Report, now time.Time)
	// Survived takes a prompt whose upstream went on after it had begun to answer at began.
	Survived(p Prompt, began time.Time)
}

// Monitor tracks the attempts at upstreams until it is known whether the upstream survives them.
// It is safe for concurrent use.
type Monitor struct {
	observer Observer
	lateness late.Func
	log      zerolog.Logger

	mu        sync.Mutex
	upstreams map[fleet.Incarnation]*upstream
	// ended is the number of attempts that have ended and have no verdict yet.
	ended int
}

// upstream holds the attempts at an upstream that have no verdict yet.
type upstream struct {
	attempts map[*Attempt]struct{}
	// due is when the first of the attempts settles; zero if none has begun to be answered.
	due time.Time
}

// Attempt is one attempt at an upstream.
type Attempt struct {
	monitor  *Monitor
	upstream *upstream
	prompt   Prompt
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// beganAt is when the answer began, endedAt when the attempt ended; zero if it hasn't.
	beganAt, endedAt time.Time
	// unsure is true if the answer may have begun settleTime before that was noticed at beganAt.
	unsure bool
	// lost is true if the connection ended before the answer was complete.
	lost bool
}

// New returns a monitor that reports to o in a process that is d late.
func New(o Observer, d late.Func, l zerolog.Logger) *Monitor {
	return &Monitor{observer: o, lateness: d, log: l, upstreams: map[fleet.Incarnation]*upstream{}}
}

// Start records an attempt, which cancel ends.
func (m *Monitor) Start(i fleet.Incarnation, p Prompt, cancel context.CancelCauseFunc) *Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstreams[i]
	if u == nil {
		u = &upstream{attempts: map[*Attempt]struct{}{}}
		m.upstreams[i] = u
	}
	a := &Attempt{monitor: m, upstream: u, prompt: p, cancel: cancel}
	u.attempts[a] = struct{}{}
	return a
}

// Began records that the upstream began to answer the request.
func (a *Attempt) Began(now time.Time) {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	a.beganAt = now
	a.unsure = a.monitor.lateness() >= settleTime
	if a.upstream.due.IsZero() {
		a.upstream.due = now.Add(settleTime)
	}
	a.monitor.settle(a.upstream, now)
}

// Received records that bytes of the answer arrived, which shows that the upstream goes on.
func (a *Attempt) Received(now time.Time) {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	a.monitor.settle(a.upstream, now)
}

// Completed records that the answer is complete, so that the upstream survived the request.
func (a *Attempt) Completed() {
	m := a.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := a.upstream.attempts[a]; ok {
		m.forget(a)
		m.observer.Survived(a.prompt, a.beganAt)
	}
}

// Lost records that the connection ended before the answer was complete. The upstream has been
// there until about now. It reports whether the request may have been the cause: its answer had not
// begun, or only just.
func (a *Attempt) Lost(now time.Time) bool {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	a.monitor.settle(a.upstream, now)
	a.lost = true
	return a.beganAt.IsZero() || now.Sub(a.beganAt) < settleTime
}

// End records the end of the attempt; further calls do nothing. An attempt whose answer began, or
// whose connection was lost, still waits for its verdict.
func (a *Attempt) End(now time.Time) {
	m := a.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := a.upstream.attempts[a]; !ok || !a.endedAt.IsZero() {
		return
	}
	if (a.beganAt.IsZero() && !a.lost) || m.ended >= maxEnded {
		delete(a.upstream.attempts, a)
		return
	}
	a.endedAt = now
	m.ended++
}

// settle reports the attempts at an upstream, of which a sign of life is noticed at now, as survived if their answers
// began at least settleTime before. The sign may be as old as the process is late. The caller holds the lock.
func (m *Monitor) settle(u *upstream, now time.Time) {
	if u.due.IsZero() || now.Before(u.due) {
		return
	}
	if now = now.Add(-m.lateness()); now.Before(u.due) {
		return
	}
	u.due = time.Time{}
	for a := range u.attempts {
		if a.beganAt.IsZero() {
			continue
		}
		if due := a.beganAt.Add(settleTime); due.After(now) {
			if u.due.IsZero() || due.Before(u.due) {
				u.due = due
			}
			continue
		}
		m.forget(a)
		m.observer.Survived(a.prompt, a.beganAt)
	}
}

// forget drops an attempt. The caller holds the lock.
func (m *Monitor) forget(a *Attempt) {
	delete(a.upstream.attempts, a)
	if !a.endedAt.IsZero() {
		m.ended--
	}
}

// Down records that an upstream accepts no connections and reports the attempts at it that have no
// verdict yet as suspects.
func (m *Monitor) Down(id ident.UpstreamID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, u := range m.upstreams {
		if i.ID != id {
			continue
		}
		r := Report{Upstream: i}
		for a := range u.attempts {
			m.forget(a)
			r.Suspects = append(r.Suspects, Suspect{Prompt: a.prompt, Began: (!a.beganAt.IsZero() && !a.unsure) || len(a.prompt.Parts) == 0})
		}
		delete(m.upstreams, i)
		if len(r.Suspects) > 0 {
			m.logCrash(r)
			m.observer.Crashed(r, now)
		}
	}
}

// CancelWaiting ends the attempts with prompts for which match returns true and whose answer hasn't
// begun.
func (m *Monitor) CancelWaiting(match func(p Prompt) bool, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range m.upstreams {
		for a := range u.attempts {
			if a.beganAt.IsZero() && a.endedAt.IsZero() && match(a.prompt) {
				a.cancel(cause)
			}
		}
	}
}

// logCrash logs a crash with the requests whose answers had begun, as ID:PART,PART:CONTENT, and the
// content of others.
func (m *Monitor) logCrash(r Report) {
	var begun, contents []string
	waiting := 0
	for _, s := range r.Suspects {
		switch {
		case !s.Began:
			if waiting++; waiting <= maxLogged {
				contents = append(contents, s.Content.String())
			}
		case len(begun) < maxLogged:
			begun = append(begun, s.String())
		}
	}
	m.log.Warn().Str("upstream", string(r.Upstream.ID)).Int64("born", r.Upstream.StartedMs).Strs("begun", begun).Int("waiting", waiting).Strs("waiting-contents", contents).
		Msg("upstream ended with requests in progress")
}

// Expire drops attempts that have waited for their verdict for longer than verdictTTL, and
// upstreams without attempts.
func (m *Monitor) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, u := range m.upstreams {
		for a := range u.attempts {
			if !a.endedAt.IsZero() && now.Sub(a.endedAt) > verdictTTL {
				m.forget(a)
			}
		}
		if len(u.attempts) == 0 {
			delete(m.upstreams, i)
		}
	}
}
