// Package event records typed events in a bounded ring. Each event has a stamp of a
// hybrid logical clock, so that the events of several processes can be merged into one
// timeline.
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
	PlanChosen        Kind = "plan-chosen" // an entry chose the model versions to try
	UpstreamChosen    Kind = "upstream-chosen"
	AttemptStarted    Kind = "attempt-started"
	AttemptEnded      Kind = "attempt-ended"
	StreamResumed     Kind = "stream-resumed" // an entry or agent asked for the rest of a stream over a new connection
	Escalated         Kind = "escalated"      // an answer failed or was weak, so the next version of the plan is tried
	RequestRefused    Kind = "request-refused"
	RequestEnded      Kind = "request-ended"
	WorkRefused       Kind = "work-refused"     // an agent refused an attempt, or a peer has another document for the generation in force
	ClaimDispatched   Kind = "claim-dispatched" // a claim was written before its call was sent
	ClaimDone         Kind = "claim-done"       // the result of a call was recorded in its claim
	ClaimNotRun       Kind = "claim-not-run"    // a claim was marked not-run
	BatchStored       Kind = "batch-stored"
	GenerationInForce Kind = "generation-in-force" // a document came into force
	VersionHalted     Kind = "version-halted"
	RolloutAdvanced   Kind = "rollout-advanced"
	LeaseAcquired     Kind = "lease-acquired"
	LeaseLost         Kind = "lease-lost"
	DrainStarted      Kind = "drain-started"
	DrainEnded        Kind = "drain-ended"
	LinkReplaced      Kind = "link-replaced"   // an entry replaced its connection to an agent that was silent
	FrameDropped      Kind = "frame-dropped"   // an entry dropped a frame that was late or of other work
	OrderPassed       Kind = "order-passed"    // an agent passed an order to its engine
	OperatorAction    Kind = "operator-action" // an operator made or tried a change
)

// Event is one item of a timeline. Ring.Record sets Stamp and Instance. Fields holds
// short values, never a key or a caller's text.
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

// counterBits is the width of the counter in the low bits of a stamp.
const counterBits = 16

// Time returns the wall-clock part of a stamp, in milliseconds.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock is a hybrid logical clock: its stamps follow the wall clock but never go back.
// It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads the wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp above every stamp that it returned or Observe accepted before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := Stamp(c.now().UnixMilli()) << counterBits
	c.last = max(c.last+1, w)
	return c.last
}

// maxDrift bounds how far a received stamp may be ahead of the wall clock. Without it,
// one process with a wrong clock would move the clocks of all others ahead permanently.
const maxDrift = time.Minute

// Observe moves the clock past a stamp received from another process and reports
// whether it accepted the stamp. It ignores a stamp more than maxDrift ahead of the
// wall clock.
func (c *Clock) Observe(s Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Time().After(c.now().Add(maxDrift)) {
		return false
	}
	c.last = max(c.last, s)
	return true
}

// Ring holds the latest events of a process. It is safe for concurrent use.
type Ring struct {
	clock    *Clock
	instance ident.InstanceID

	mu          sync.Mutex
	events      []Event
	next        int  // index of the next event to write
	full        bool // true once every element was written
	overwritten uint64
}

// NewRing returns a ring that holds the latest size events of an instance. The size
// must be above 0.
func NewRing(c *Clock, i ident.InstanceID, size int) *Ring {
	return &Ring{clock: c, instance: i, events: make([]Event, size)}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock {
	return r.clock
}

// Record adds an event with the next stamp and the ring's instance. It overwrites the
// oldest event when the ring is full.
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

// Snapshot returns the events in the order in which they were added, and how many were
// overwritten so far.
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

// Filter selects events. A zero field matches every event.
type Filter struct {
	Request ident.RequestID
	Session ident.SessionID
	Account ident.AccountID
	// Version is compared with an event's version in the form MODEL@VERSION.
	Version string
	// Since is the earliest wall-clock time of a selected event.
	Since time.Time
	// Limit is applied by Select and not by Match.
	Limit int
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

// ToWire converts an event to the message that peers receive.
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

// FromWire converts a peer's message to an event. A version that is not in the form
// MODEL@VERSION is left out.
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
