// Package probe detects unresponsive upstreams. A machine that lost power or is behind a
// partition sends no reset, so that open connections just receive nothing. An upstream
// that sends nothing for a while although attempts wait for it is checked with a new
// connection. If that fails, its attempts are told, so that they can be sent elsewhere.
package probe

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/serve"
	connect "tarragonvalve.example/router/dial"
	"tarragonvalve.example/router/fleet"
)

const (
	// streamIdleLimit is the time without a byte after which an upstream is checked if
	// content of a response has arrived. A pause between events over 1.2 s makes a
	// response late.
	streamIdleLimit = 450 * time.Millisecond
	// responseIdleLimit is the same for upstreams whose attempts have no content yet: a
	// long prompt keeps an idle engine busy that long.
	responseIdleLimit = 700 * time.Millisecond
	// minStall is the shortest pause after which a stream is moved elsewhere although its
	// upstream sends bytes on other connections: its own connection may be broken.
	// Shorter pauses are normal: a large model in a full batch sends an event per second.
	minStall = 1100 * time.Millisecond
	// recheckPause is the time between two checks of one upstream.
	recheckPause = 500 * time.Millisecond
	// checkTimeout bounds a check; a new connection takes a few ms within a region. Time in which this
	// process didn't run doesn't count.
	checkTimeout = 250 * time.Millisecond
	// scanInterval is how often upstreams are examined.
	scanInterval = 100 * time.Millisecond
)

// ErrUnresponsive ends attempts at an unresponsive upstream.
var ErrUnresponsive = errors.New("the upstream fell silent")

// ErrStalled reports that the content of a response pauses, while its upstream may be sound: engines
// preempt streams when they are full. It counts as ErrUnresponsive, too.
var ErrStalled = fmt.Errorf("the response pauses: %w", ErrUnresponsive)

// ErrNotAccepting reports that an upstream accepts no new connection, while content of the response has arrived on
// its own: upstreams that shut down close their listener and go on with what they took. It counts as ErrStalled,
// too.
var ErrNotAccepting = fmt.Errorf("the upstream accepts no connections: %w", ErrStalled)

// Marker records which upstreams are unresponsive, so that they are avoided.
type Marker interface {
	SetUnresponsive(id ident.UpstreamID, unresponsive bool)
}

// Monitor tracks which upstreams are unresponsive. It is safe for concurrent use.
type Monitor struct {
	marker Marker
	listed func() *fleet.List
	dial   func(ctx context.Context, address string) error
	log    zerolog.Logger

	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*upstreamState
	// work steps at each examination. Silence and pauses are measured by it: while this process doesn't run, it reads
	// nothing of what upstreams send.
	work clock.Work
}

// upstreamState holds what the monitor observed of one upstream.
type upstreamState struct {
	address string
	// receivedAt is the reading of work when the upstream last sent a part of a response.
	receivedAt time.Duration
	// checkedAt is when the last check ended; checking is true during a check.
	checkedAt    time.Time
	checking     bool
	unresponsive bool
	// lost is true if a connection has ended early since the last check.
	lost     bool
	attempts map[*Attempt]struct{}
}

// New returns a monitor that marks unresponsive upstreams at m. listed returns the
// upstreams in use.
func New(m Marker, listed func() *fleet.List, l zerolog.Logger) *Monitor {
	return &Monitor{marker: m, listed: listed, dial: dial, log: l, upstreams: map[ident.UpstreamID]*upstreamState{}, work: clock.NewWork(time.Now())}
}

// dialer opens the connections of checks; tests replace it.
var dialer net.Dialer

// dial opens a connection to an address and closes it again.
func dial(ctx context.Context, address string) error {
	c, err := connect.Context(ctx, dialer, address, checkTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

// Attempt is an attempt that waits for bytes of an upstream.
type Attempt struct {
	monitor *Monitor
	state   *upstreamState
	// startedAt and lastContentAt are readings of work.
	startedAt     time.Duration
	lastContentAt time.Duration
	// streaming is true once content of the response arrived, last at lastContentAt.
	streaming bool
	// maxPause is how long the content may pause.
	maxPause time.Duration
	// end ends the attempt; it is nil if the attempt can't be sent elsewhere.
	end func(error)
}

// Start records an attempt. end is called with ErrUnresponsive if the upstream is
// unresponsive, with ErrNotAccepting instead if content of its response has arrived, and with ErrStalled if that
// pauses for longer than pause, at least minStall. It may be called repeatedly, and is nil for attempts that can't be sent
// elsewhere.
func (m *Monitor) Start(u *fleet.Upstream, pause time.Duration, end func(error), now time.Time) *Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(u)
	w := &Attempt{monitor: m, state: s, startedAt: m.at(now), maxPause: max(pause, minStall), end: end}
	s.attempts[w] = struct{}{}
	return w
}

// HeadReceived records that the head of the response arrived. Its content may take
// longer.
func (w *Attempt) HeadReceived(now time.Time) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.state.receivedAt = w.monitor.at(now)
}

// BodyReceived records that content of the response arrived.
func (w *Attempt) BodyReceived(now time.Time) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.state.receivedAt = w.monitor.at(now)
	w.lastContentAt = w.state.receivedAt
	w.streaming = true
}

// Done records the end of the attempt.
func (w *Attempt) Done() {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	delete(w.state.attempts, w)
}

// ConnectFailed records that an upstream accepted no new connection.
func (m *Monitor) ConnectFailed(u *fleet.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setUnresponsive(u.ID, m.state(u), true)
}

// ConnectionLost records that an upstream ended a connection before its answer was complete. It is
// checked soon, as the upstream itself may have ended.
func (m *Monitor) ConnectionLost(u *fleet.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state(u).lost = true
}

// at returns the reading of work for an event that is noticed at now. The caller holds the lock.
func (m *Monitor) at(now time.Time) time.Duration { return m.work.At(now, scanInterval) }

// state returns the state of an upstream. It creates a new one if there is none or the
// address has changed. The caller holds the lock.
func (m *Monitor) state(u *fleet.Upstream) *upstreamState {
	s := m.upstreams[u.ID]
	if s == nil || s.address != u.Address {
		s = &upstreamState{address: u.Address, attempts: map[*Attempt]struct{}{}}
		m.upstreams[u.ID] = s
	}
	return s
}

// Name implements serve.Component.
func (m *Monitor) Name() string { return "pulse" }

// Run examines the upstreams until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	return serve.Every(ctx, scanInterval, func(ctx context.Context) {
		for id, address := range m.dueChecks(time.Now()) {
			go m.check(ctx, id, address)
		}
	})
}

// dueChecks returns the addresses of the upstreams to check now and marks them as being
// checked. It also ends stalled attempts and drops unlisted upstreams without attempts.
func (m *Monitor) dueChecks(now time.Time) map[ident.UpstreamID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work.Step(now, scanInterval)
	listed := m.listed().All()
	out := map[ident.UpstreamID]string{}
	for id, s := range m.upstreams {
		if listed[id] == nil && len(s.attempts) == 0 {
			delete(m.upstreams, id)
			continue
		}
		s.endStalled(m.work.Elapsed())
		if s.checking || now.Sub(s.checkedAt) < recheckPause || !s.overdue(m.work.Elapsed()) {
			continue
		}
		s.checking = true
		s.lost = false
		out[id] = s.address
	}
	return out
}

// endStalled ends the attempts whose content has paused for too long. now is a reading of work.
func (s *upstreamState) endStalled(now time.Duration) {
	for w := range s.attempts {
		if w.streaming && w.end != nil && now-w.lastContentAt >= w.maxPause {
			w.end(ErrStalled)
			// An attempt that can't be sent elsewhere now may be after another pause.
			w.lastContentAt = now
		}
	}
}

// overdue reports whether the upstream should have sent something by now, a reading of work.
func (s *upstreamState) overdue(now time.Duration) bool {
	if s.unresponsive || s.lost {
		return true
	}
	for w := range s.attempts {
		limit := responseIdleLimit
		if w.streaming {
			limit = streamIdleLimit
		}
		if now-max(w.startedAt, s.receivedAt) >= limit {
			return true
		}
	}
	return false
}

// check opens a connection to an upstream. If that fails, it marks the upstream as
// unresponsive and reports that to its attempts.
func (m *Monitor) check(ctx context.Context, id ident.UpstreamID, address string) {
	err := m.dial(ctx, address)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.upstreams[id]
	if s == nil || s.address != address {
		return
	}
	s.checking = false
	s.checkedAt = time.Now()
	m.setUnresponsive(id, s, err != nil)
	if err == nil {
		return
	}
	for w := range s.attempts {
		switch {
		case w.end == nil:
		case w.streaming:
			w.end(ErrNotAccepting)
		default:
			w.end(ErrUnresponsive)
		}
	}
}

// setUnresponsive records whether an upstream is unresponsive. The caller holds the lock.
func (m *Monitor) setUnresponsive(id ident.UpstreamID, s *upstreamState, unresponsive bool) {
	if s.unresponsive == unresponsive {
		return
	}
	s.unresponsive = unresponsive
	m.marker.SetUnresponsive(id, unresponsive)
	m.log.Warn().Str("dependency", "upstream").Str("upstream", string(id)).Str("address", s.address).
		Int("waiting", len(s.attempts)).Bool("silent", unresponsive).Msg("upstream changed its state")
}
