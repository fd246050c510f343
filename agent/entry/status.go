package entry

import (
	"sync"
	"sync/atomic"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// StateSource provides the view and the monotone state; spread.Replica implements it.
type StateSource interface {
	sched.Views
	State() *wire.State
}

// Reports provides the latest report of the engine; engine.Monitor implements it.
type Reports interface {
	Report() engine.Report
	Changed() <-chan struct{}
}

// Prefixes provides the hashes of cached prompt prefixes, most recently used first;
// engine.PrefixTracker implements it.
type Prefixes interface {
	Prefixes() []uint64
}

// StatusOptions configures a Status.
type StatusOptions struct {
	Upstream ident.UpstreamID
	Domain   ident.DomainID
	// Service is set for a plain-service upstream; Reports and Prefixes are nil then.
	Service  ident.ServiceID
	Sched    *sched.Scheduler
	Replica  StateSource
	Reports  Reports
	Prefixes Prefixes
}

// Status composes the agent's status message. It is safe for concurrent use.
type Status struct {
	options  StatusOptions
	sequence atomic.Uint64
	draining atomic.Bool
	once     sync.Once
	drained  chan struct{}
}

// NewStatus returns the status of an agent that is not draining.
func NewStatus(o StatusOptions) *Status {
	return &Status{options: o, drained: make(chan struct{})}
}

// Drain marks the agent as draining and wakes up all Watch streams.
func (s *Status) Drain() {
	s.once.Do(func() {
		s.draining.Store(true)
		close(s.drained)
	})
}

// Draining reports whether Drain was called.
func (s *Status) Draining() bool {
	return s.draining.Load()
}

// Changes holds a channel for each part of the status, which is closed when the part
// changes. It is nil for a part that can't change.
type Changes struct {
	Drain  <-chan struct{}
	View   <-chan struct{}
	Engine <-chan struct{}
	Load   <-chan struct{}
	// Busy is the number of queued and running attempts at the time of the call.
	Busy int
}

// Changes returns the channels. Call it before Now, so that no change is missed.
func (s *Status) Changes() Changes {
	c := Changes{View: s.options.Replica.Changed(), Load: s.options.Sched.Changed(), Busy: s.Busy()}
	if !s.Draining() {
		c.Drain = s.drained
	}
	if s.options.Reports != nil {
		c.Engine = s.options.Reports.Changed()
	}
	return c
}

// Now returns the present status with a new sequence number.
func (s *Status) Now() *wire.Status {
	l := s.options.Sched.Load()
	m := &wire.Status{
		Upstream:              string(s.options.Upstream),
		Domain:                string(s.options.Domain),
		Service:               string(s.options.Service),
		Draining:              s.Draining(),
		Queued:                uint32(l.Queued),
		Running:               uint32(l.Running),
		Slots:                 uint32(l.Slots),
		PendingInputTokens:    uint64(l.PendingInput),
		InputTokensPerSecond:  l.InputRate,
		OutputTokensPerSecond: l.OutputRate,
		State:                 s.options.Replica.State(),
		Sequence:              s.sequence.Add(1),
	}
	m.State.Draining = m.Draining
	if s.options.Reports != nil {
		s.addReport(m)
	}
	if s.options.Prefixes != nil {
		m.Prefixes = s.options.Prefixes.Prefixes()
	}
	return m
}

// Busy returns the number of attempts that are queued or running.
func (s *Status) Busy() int {
	l := s.options.Sched.Load()
	return l.Queued + l.Running
}

// LoadShifted reports whether Busy differs from an earlier value by more than half of the
// slots.
func (s *Status) LoadShifted(before int) bool {
	d := s.Busy() - before
	return 2*max(d, -d) > s.options.Sched.Load().Slots
}

// addReport adds the report of the engine. Entries divide the pending input by the input
// rate, which is therefore that of the whole engine, and the output of one answer by the
// output rate, which is that of one attempt. The engine reports the output rate of all its
// attempts together and with a lag, so it is used only until the agent has observed one.
func (s *Status) addReport(m *wire.Status) {
	r := s.options.Reports.Report()
	for _, v := range r.Loaded {
		m.Loaded = append(m.Loaded, &wire.LoadedVersion{Model: string(v.Model), Version: string(v.Version)})
	}
	m.PendingInputTokens += r.Load.PendingInput
	m.FreeCacheTokens = r.Load.FreeCache
	if r.Load.InputRate > 0 {
		m.InputTokensPerSecond = r.Load.InputRate
	}
	if m.OutputTokensPerSecond == 0 {
		m.OutputTokensPerSecond = r.Load.OutputRate / float64(max(r.Load.Running, 1))
	}
}
