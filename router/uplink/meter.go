package uplink

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/router/sock"
)

const (
	// maxSampled bounds the connections that one sample looks at. The others keep their state until it is their turn.
	maxSampled = 256
	// enterLevel and leaveLevel are the delays at which the link counts as full in the log, and no longer does.
	enterLevel = 200 * time.Millisecond
	leaveLevel = 50 * time.Millisecond
)

// Meter measures what the link of this process holds back. It is safe for concurrent use.
type Meter struct {
	now clock.Func
	log zerolog.Logger
	// stated is the rate of the link in the settings, in bytes a second; 0 means unknown.
	stated float64
	state  atomic.Pointer[State]
	book   book
	// wake tells a sleeping Run that a connection was written to.
	wake chan struct{}
	// episodes counts how often the link has become full.
	episodes atomic.Int64

	mu sync.Mutex
	// written are connections that the next sample looks at for the first time.
	written []*Conn

	// The following belong to the goroutine of Run. open are the connections with recent writes.
	open  []*Conn
	link  link
	since time.Duration
}

// New returns a meter that reads the clock n. rate is that of the link in bytes a second; 0 means unknown. It measures
// while Run runs.
func New(n clock.Func, rate float64, l zerolog.Logger) *Meter {
	m := &Meter{now: n, log: l, wake: make(chan struct{}, 1), stated: rate, link: link{stated: rate}}
	m.state.Store(&State{})
	return m
}

// Name implements serve.Component.
func (m *Meter) Name() string { return "uplink" }

// State returns how the link stands.
func (m *Meter) State() State { return *m.state.Load() }

// Episodes returns how often the link has become full.
func (m *Meter) Episodes() int64 { return m.episodes.Load() }

// Run measures until ctx ends. It always returns nil. It sleeps while nothing is sent.
func (m *Meter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		}
		for busy := true; busy; busy = m.sample() {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(interval):
			}
		}
	}
}

// list has the next sample look at c.
func (m *Meter) list(c *Conn) {
	if c.listed.Swap(true) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.written = append(m.written, c)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// sample looks at connections with recent writes and records how the link stands. It returns false if nothing waits.
func (m *Meter) sample() bool {
	m.mu.Lock()
	m.open = append(m.open, m.written...)
	m.written = nil
	m.mu.Unlock()
	now := m.now()
	var s step
	n := min(len(m.open), maxSampled)
	looked, rest := m.open[:n], m.open[n:]
	open := append([]*Conn(nil), rest...)
	for _, c := range looked {
		x, ok := m.look(now, c)
		s.acked += x.acked
		s.prompt += x.prompt
		s.late += x.late
		s.held += x.held
		if ok {
			open = append(open, c)
		}
	}
	m.open = open
	fs := make([]*flow, 0, len(open))
	for _, c := range open {
		fs = append(fs, &c.flow)
	}
	state := m.link.observe(now, s, fs)
	m.record(now, state)
	return len(open) > 0 || state.Full()
}

// look reads the state of c. It returns false if the connection is closed or has nothing left to send.
func (m *Meter) look(now time.Duration, c *Conn) (step, bool) {
	// In this order, so that a write meanwhile lists the connection again.
	c.listed.Store(false)
	r, ok := c.read()
	if !ok {
		return step{}, false
	}
	s := c.flow.observe(now, r)
	if r.queued == 0 {
		return s, false
	}
	return s, !c.listed.Swap(true)
}

// read asks the kernel. It returns false if the connection is closed.
func (c *Conn) read() (reading, bool) {
	r := reading{sent: c.sent.Load()}
	n, err := sock.Unacknowledged(c.TCPConn)
	if err != nil {
		return r, false
	}
	r.queued, r.acked = int64(n), r.sent
	if n == 0 {
		return r, true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return r, false
	}
	i, err := sock.Info(raw)
	var untold syscall.Errno
	switch {
	case errors.As(err, &untold):
		// Not all systems tell. A write in progress then counts as acknowledged in part.
		r.acked -= r.queued
		return r, true
	case err != nil:
		return r, false
	}
	r.acked = int64(i.Bytes_acked)
	r.rtt = time.Duration(i.Min_rtt) * time.Microsecond
	return r, true
}

// record stores the state and logs when the link becomes full, or is no longer.
func (m *Meter) record(now time.Duration, s State) {
	m.state.Store(&s)
	d := s.Delay()
	switch {
	case m.since == 0 && d >= enterLevel:
		m.since = now
		m.episodes.Add(1)
		m.log.Warn().Dur("delay", d).Int64("bytes", s.Backlog()).Int("connections", len(s.queues)).Int64("bytes-per-second", int64(s.rate)).Msg("the link is full")
	case m.since != 0 && d <= leaveLevel:
		m.log.Info().Dur("for", now-m.since).Msg("the link is free again")
		m.since = 0
	}
}
