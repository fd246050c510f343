// Package pulse notices upstreams that fell silent. A machine without power or
// behind a partition sends no reset: open connections just stay quiet. An
// upstream from which nothing came for a while, though attempts wait for it, is
// asked for a new connection; if that fails, its attempts are ended so that they
// can go on elsewhere.
package pulse

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/router/fleet"
)

const (
	// quiet is the time without a byte after which an upstream is checked. A
	// pause between events over 1.2 s makes an answer late.
	quiet = 450 * time.Millisecond
	// patience is the same for upstreams whose attempts have no answer yet: a
	// long prompt keeps an idle engine busy that long.
	patience = 700 * time.Millisecond
	// stall is the least pause after which a stream goes on elsewhere though its
	// upstream is heard: its own connection may have gone silent. Pauses that are still
	// on time are none: a large model in a full batch makes an event a second.
	stall = 1100 * time.Millisecond
	// checkAgain is the pause between checks of one upstream.
	checkAgain = 500 * time.Millisecond
	// checkLimit bounds a check; a new connection takes a few ms within a region.
	checkLimit = 250 * time.Millisecond
	// interval is how often the upstreams are looked at.
	interval = 100 * time.Millisecond
)

// ErrUnresponsive ends attempts at an upstream that fell silent.
var ErrUnresponsive = errors.New("the upstream fell silent")

// Marker keeps silent upstreams out of choices.
type Marker interface {
	SetUnresponsive(id ident.UpstreamID, silent bool)
}

// Monitor knows which upstreams are silent. It is safe for concurrent use.
type Monitor struct {
	marker Marker
	listed func() *fleet.List
	dial   func(ctx context.Context, address string) error
	log    zerolog.Logger

	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*state
}

type state struct {
	address  string
	heard    time.Time
	checked  time.Time
	checking bool
	silent   bool
	waits    map[*Attempt]struct{}
}

// New returns a monitor. listed returns the upstreams in use.
func New(m Marker, listed func() *fleet.List, l zerolog.Logger) *Monitor {
	return &Monitor{marker: m, listed: listed, dial: dial, log: l, upstreams: map[ident.UpstreamID]*state{}}
}

func dial(ctx context.Context, address string) error {
	ctx, stop := context.WithTimeout(ctx, checkLimit)
	defer stop()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Attempt is an attempt that waits for bytes of an upstream.
type Attempt struct {
	monitor *Monitor
	state   *state
	began   time.Time
	last    time.Time
	// flowing is true once the answer's content came.
	flowing bool
	// pause is how long the content may stand still.
	pause time.Duration
	end   func(error)
}

// Start records an attempt. end is called with ErrSilent if the upstream falls
// silent, or its answer stands still for longer than pause; it may be nil for attempts
// that can't go on elsewhere.
func (m *Monitor) Start(u *fleet.Upstream, pause time.Duration, end func(error), now time.Time) *Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(u)
	w := &Attempt{monitor: m, state: s, began: now, pause: max(pause, stall), end: end}
	s.waits[w] = struct{}{}
	return w
}

// HeadReceived records that the answer's head arrived. Its content may take longer.
func (w *Attempt) HeadReceived(now time.Time) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.state.heard = now
}

// BodyReceived records that content of the answer arrived.
func (w *Attempt) BodyReceived(now time.Time) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.state.heard = now
	w.last = now
	w.flowing = true
}

// Done records the end of the attempt.
func (w *Attempt) Done() {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	delete(w.state.waits, w)
}

// ConnectFailed records that an upstream took no new connection.
func (m *Monitor) ConnectFailed(u *fleet.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mark(u.ID, m.state(u), true)
}

// state returns the state of an upstream, a new one if it has another address than
// before. The caller holds the lock.
func (m *Monitor) state(u *fleet.Upstream) *state {
	s := m.upstreams[u.ID]
	if s == nil || s.address != u.Address {
		s = &state{address: u.Address, waits: map[*Attempt]struct{}{}}
		m.upstreams[u.ID] = s
	}
	return s
}

// Name is the name of the step.
func (m *Monitor) Name() string { return "pulse" }

// Run looks at the upstreams until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	return serve.Every(ctx, interval, func(ctx context.Context) {
		for id, address := range m.due(time.Now()) {
			go m.check(ctx, id, address)
		}
	})
}

// due returns the upstreams to check now and marks them as being checked.
func (m *Monitor) due(now time.Time) map[ident.UpstreamID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := m.listed().All()
	out := map[ident.UpstreamID]string{}
	for id, s := range m.upstreams {
		if listed[id] == nil && len(s.waits) == 0 {
			delete(m.upstreams, id)
			continue
		}
		s.endStalled(now)
		if s.checking || now.Sub(s.checked) < checkAgain || !s.doubtful(now) {
			continue
		}
		s.checking = true
		out[id] = s.address
	}
	return out
}

// endStalled ends streams that stand still for too long.
func (s *state) endStalled(now time.Time) {
	for w := range s.waits {
		if w.flowing && w.end != nil && now.Sub(w.last) >= w.pause {
			w.end(ErrUnresponsive)
			// If it may not go on elsewhere now, it may after another pause.
			w.last = now
		}
	}
}

// doubtful reports whether an upstream should have been heard by now.
func (s *state) doubtful(now time.Time) bool {
	if s.silent {
		return true
	}
	for w := range s.waits {
		limit := patience
		since := w.began
		if w.flowing {
			limit = quiet
		}
		if s.heard.After(since) {
			since = s.heard
		}
		if now.Sub(since) >= limit {
			return true
		}
	}
	return false
}

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
	s.checked = time.Now()
	m.mark(id, s, err != nil)
	if err == nil {
		return
	}
	for w := range s.waits {
		if w.end != nil {
			w.end(ErrUnresponsive)
		}
	}
}

// mark records whether an upstream is silent. The caller holds the lock.
func (m *Monitor) mark(id ident.UpstreamID, s *state, silent bool) {
	if s.silent == silent {
		return
	}
	s.silent = silent
	m.marker.SetUnresponsive(id, silent)
	m.log.Warn().Str("dependency", "upstream").Str("upstream", string(id)).Str("address", s.address).
		Int("waiting", len(s.waits)).Bool("silent", silent).Msg("upstream changed its state")
}
