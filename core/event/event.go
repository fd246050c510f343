// Package event records typed events with hybrid logical clock stamps in a
// bounded ring, so that the time lines of several processes can be merged.
package event

import (
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// Kind is the kind of an event, in kebab case.
type Kind string

// The kinds of events.
const (
	RequestReceived   Kind = "request-received"
	PlanChosen        Kind = "plan-chosen"
	UpstreamChosen    Kind = "upstream-chosen"
	AttemptStarted    Kind = "attempt-started"
	AttemptEnded      Kind = "attempt-ended"
	StreamResumed     Kind = "stream-resumed"
	Escalated         Kind = "escalated"
	RequestRefused    Kind = "request-refused"
	RequestEnded      Kind = "request-ended"
	WorkRefused       Kind = "work-refused"
	ClaimDispatched   Kind = "claim-dispatched"
	ClaimDone         Kind = "claim-done"
	ClaimNotRun       Kind = "claim-not-run"
	BatchStored       Kind = "batch-stored"
	GenerationInForce Kind = "generation-in-force"
	VersionHalted     Kind = "version-halted"
	RolloutAdvanced   Kind = "rollout-advanced"
	LeaseAcquired     Kind = "lease-acquired"
	LeaseLost         Kind = "lease-lost"
	DrainStarted      Kind = "drain-started"
	DrainEnded        Kind = "drain-ended"
	LinkReplaced      Kind = "link-replaced"
	FrameDropped      Kind = "frame-dropped"
	OrderPassed       Kind = "order-passed"
	OperatorAction    Kind = "operator-action"
)

// Event is one entry of the time line. Fields hold short values, never a key or a caller's text.
type Event struct {
	Stamp    Stamp
	Instance ident.InstanceID
	Kind     Kind
	Request  ident.RequestID
	Session  ident.SessionID
	Account  ident.AccountID
	Version  ident.VersionRef
	Fields   map[string]string
}

// Stamp is a hybrid logical clock stamp: 48 bits of Unix milliseconds and a 16-bit counter.
type Stamp uint64

const counterBits = 16

// Time returns the stamp's wall-clock part.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp above every stamp returned or observed before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := Stamp(c.now().UnixMilli()) << counterBits
	c.last = max(c.last+1, w)
	return c.last
}

// maxDrift bounds how far a received stamp may be ahead of the wall clock. Without
// it, one process with a wrong clock would move the clocks of all others for good.
const maxDrift = time.Minute

// Observe moves the clock past a stamp received from another process. It ignores
// stamps more than a minute ahead of the wall clock and reports whether it took s.
func (c *Clock) Observe(s Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Time().After(c.now().Add(maxDrift)) {
		return false
	}
	c.last = max(c.last, s)
	return true
}

// Ring keeps the latest events of a process. It is safe for concurrent use.
type Ring struct {
	clock    *Clock
	instance ident.InstanceID

	mu          sync.Mutex
	events      []Event
	next        int
	full        bool
	overwritten uint64
}

// NewRing returns a ring that holds up to size events.
func NewRing(c *Clock, i ident.InstanceID, size int) *Ring {
	return &Ring{clock: c, instance: i, events: make([]Event, size)}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock {
	return r.clock
}

// Record stamps an event and adds it, overwriting the oldest when the ring is full.
func (r *Ring) Record(e Event) {
	e.Stamp = r.clock.Next()
	e.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		r.overwritten++
	}
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Snapshot returns the events from oldest to newest and how many were overwritten.
func (r *Ring) Snapshot() ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	if r.full {
		out = append(out, r.events[r.next:]...)
	}
	out = append(out, r.events[:r.next]...)
	return out, r.overwritten
}

// Filter selects events; zero fields match everything.
type Filter struct {
	Request ident.RequestID
	Session ident.SessionID
	Account ident.AccountID
	// Version is matched as MODEL@VERSION.
	Version string
	Since   time.Time
	Limit   int
}

// Match reports whether the filter selects an event.
func (f Filter) Match(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Session != "" && f.Session != e.Session {
		return false
	}
	if f.Account != "" && f.Account != e.Account {
		return false
	}
	if f.Version != "" && f.Version != e.Version.String() {
		return false
	}
	return f.Since.IsZero() || !e.Stamp.Time().Before(f.Since)
}

// ToWire converts an event to its message.
func ToWire(e Event) *wire.Event {
	m := &wire.Event{
		Clock:     uint64(e.Stamp),
		Instance:  string(e.Instance),
		Kind:      string(e.Kind),
		RequestId: string(e.Request),
		Session:   string(e.Session),
		Account:   string(e.Account),
		Fields:    e.Fields,
	}
	if e.Version != (ident.VersionRef{}) {
		m.Version = e.Version.String()
	}
	return m
}

// FromWire converts a message to an event.
func FromWire(m *wire.Event) Event {
	e := Event{
		Stamp:    Stamp(m.GetClock()),
		Instance: ident.InstanceID(m.GetInstance()),
		Kind:     Kind(m.GetKind()),
		Request:  ident.RequestID(m.GetRequestId()),
		Session:  ident.SessionID(m.GetSession()),
		Account:  ident.AccountID(m.GetAccount()),
		Fields:   m.GetFields(),
	}
	if v, err := ident.ParseRef(m.GetVersion()); err == nil {
		e.Version = v
	}
	return e
}
