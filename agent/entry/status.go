package entry

import (
	"sync"
	"sync/atomic"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// StateSource gives the monotone state to push; spread.Replica implements it.
type StateSource interface {
	sched.Views
	State() *wire.State
}

// Reports gives what the engine last reported; engine.Monitor implements it.
type Reports interface {
	Report() engine.Report
	Changed() <-chan struct{}
}

// Prefixes gives the hashes of cached prompt prefixes, most recent first; engine.Cache implements it.
type Prefixes interface {
	Prefixes() []uint64
}

// StatusOptions are the parts of a Status.
type StatusOptions struct {
	Upstream ident.UpstreamID
	Domain   ident.DomainID
	// Service is set for a plain-service upstream; Reports and Prefixes are nil then.
	Service  ident.ServiceID
	Sched    *sched.Scheduler
	Node     StateSource
	Reports  Reports
	Prefixes Prefixes
}

// Status composes the agent's status. It is safe for concurrent use.
type Status struct {
	options  StatusOptions
	sequence atomic.Uint64
	draining atomic.Bool
	once     sync.Once
	urgent   chan struct{}
}

// NewStatus returns a status source.
func NewStatus(o StatusOptions) *Status {
	return &Status{options: o, urgent: make(chan struct{})}
}

// Drain marks the agent as draining, which is pushed at once.
func (s *Status) Drain() {
	s.once.Do(func() {
		s.draining.Store(true)
		close(s.urgent)
	})
}

// Draining reports whether Drain was called.
func (s *Status) Draining() bool {
	return s.draining.Load()
}

// Changes holds channels that are closed when their part of the status
// changes. A nil channel never is.
type Changes struct {
	Urgent <-chan struct{}
	View   <-chan struct{}
	Engine <-chan struct{}
	Load   <-chan struct{}
	// Busy is the load that the status will show.
	Busy int
}

// Changes returns the channels; take them before the status that they watch.
func (s *Status) Changes() Changes {
	c := Changes{View: s.options.Node.Changed(), Load: s.options.Sched.Changed(), Busy: s.Busy()}
	if !s.Draining() {
		c.Urgent = s.urgent
	}
	if s.options.Reports != nil {
		c.Engine = s.options.Reports.Changed()
	}
	return c
}

// Now returns the present status.
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
		State:                 s.options.Node.State(),
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

// Shifted reports whether the load differs from an earlier one by more than
// half of the slots.
func (s *Status) Shifted(before int) bool {
	d := s.Busy() - before
	return 2*max(d, -d) > s.options.Sched.Load().Slots
}

// addReport adds the engine's figures. Entries divide waiting input by the input
// rate, which is therefore the engine's, and the output of one answer by the
// output rate, which is that of one attempt. The engine reports the output of
// all its attempts together, with a lag; it counts only until one was observed.
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
