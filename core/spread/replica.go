package spread

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// DefaultPollInterval is the pause between reads of the table when Options.PollInterval
// is not set.
const DefaultPollInterval = 2 * time.Second

// Store is the part of accept.Store that a replica uses.
type Store interface {
	// Latest returns the newest document above a generation, or nil when there is none.
	Latest(ctx context.Context, after ident.Generation) (*AcceptedDocument, error)
	// Halts returns the stored halts, one for each halted version.
	Halts(ctx context.Context) ([]Halt, error)
	// SaveHalt stores a halt unless one of the same or a higher generation is stored.
	SaveHalt(ctx context.Context, h Halt) error
	// Steps returns the step that each roll-out of a generation has reached.
	Steps(ctx context.Context, g ident.Generation) (map[ident.RolloutID]int, error)
}

// Options configures a Replica.
type Options struct {
	Instance ident.InstanceID
	// Role is "entry" or "agent".
	Role  string
	Store Store
	Ring  *event.Ring
	// Environment is the name of the environment whose documents and states are
	// accepted from peers; empty accepts any.
	Environment string
	// PollInterval is the pause between reads of the table.
	PollInterval time.Duration
	Now          func() time.Time
}

// Replica is an instance's copy of the monotone state. The control goroutine, started
// by Run, applies every update and publishes views that are read without a lock.
type Replica struct {
	o       Options
	updates chan update
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
	// haltMade makes the polling goroutine store a halt that was made here.
	haltMade    chan struct{}
	current     atomic.Pointer[snapshot]
	lastContact atomic.Pointer[time.Time]
	polls       atomic.Uint64
	failedPolls atomic.Uint64
}

// snapshot is a published state with its view. changed is closed when the next change
// is published.
type snapshot struct {
	state   state
	view    *View
	changed chan struct{}
}

// update is a group of inputs that are published together. done is closed once they
// are.
type update struct {
	inputs []input
	done   chan struct{}
}

// Stats holds the counters of a replica.
type Stats struct {
	// Polls counts the polls of the table, FailedPolls the failures of reads and writes
	// in them.
	Polls, FailedPolls uint64
	// Rejected counts halts and steps that were dropped because the state already held
	// the most it may.
	Rejected uint64
}

// New returns a replica without a document.
func New(o Options) *Replica {
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	r := &Replica{o: o, updates: make(chan update), stopped: make(chan struct{}), haltMade: make(chan struct{}, 1)}
	s := state{confirmed: ConfirmedNone}
	r.current.Store(&snapshot{state: s, view: s.view(), changed: make(chan struct{})})
	return r
}

// Name implements serve.Component.
func (r *Replica) Name() string {
	return "spread"
}

// ErrStopped is returned for an update after the control goroutine has ended.
var ErrStopped = errors.New("update state: the control goroutine has ended")

// Run applies updates and reads the table until ctx ends. It must be called only once.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	ctx, cancel := context.WithCancel(ctx)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		r.pollTable(ctx)
	}()
	defer func() {
		cancel()
		<-polled
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-r.updates:
			r.applyInputs(u.inputs)
			close(u.done)
		}
	}
}

// View returns the current snapshot without taking a lock. A caller that also waits for
// changes must call Changed before View, so that it misses no change.
func (r *Replica) View() *View {
	return r.current.Load().view
}

// Changed returns a channel that is closed at the next change of the generation, of
// ConfirmedBy, of halts or of steps.
func (r *Replica) Changed() <-chan struct{} {
	return r.current.Load().changed
}

// LastContact returns when a peer or the table last answered, or the zero time if none
// ever has.
func (r *Replica) LastContact() time.Time {
	if t := r.lastContact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Stats returns the replica's counters.
func (r *Replica) Stats() Stats {
	return Stats{
		Polls:       r.polls.Load(),
		FailedPolls: r.failedPolls.Load(),
		Rejected:    r.current.Load().state.rejected,
	}
}

// State returns the state to send to a peer. The caller adds the demand of client
// accounts (the field Use) and whether the instance is draining.
func (r *Replica) State() *wire.State {
	m := r.current.Load().state.toWire(r.o.Now())
	m.Instance = string(r.o.Instance)
	m.Role = r.o.Role
	m.Environment = r.o.Environment
	m.Clock = r.nextStamp()
	return m
}

// Merge adds a peer's halts, steps and confirmation to the state. It does not transfer
// the document; CatchUp does. It returns an *EnvironmentError for the state of another
// environment: an address in the lagging instance list may by now belong to a process
// of another environment, and halts are never removed.
func (r *Replica) Merge(ctx context.Context, s *wire.State) error {
	if e := r.o.Environment; e != "" && s.GetEnvironment() != "" && s.GetEnvironment() != e {
		return &EnvironmentError{Want: e, Got: s.GetEnvironment()}
	}
	r.observeStamp(s.GetClock())
	r.recordContact()
	return r.update(ctx, inputsFromWire(s, r.o.Now())...)
}

// Adopt brings a document from a peer into force if its generation is above the one in
// force. It returns a *DocumentError for a document that is damaged, invalid or of
// another environment: an address in the lagging instance list may by now belong to a
// process of another environment, and generations never go back.
func (r *Replica) Adopt(ctx context.Context, d *wire.Document) error {
	r.observeStamp(d.GetClock())
	if ident.Generation(d.GetGeneration()) <= r.View().Generation() {
		return nil
	}
	a, err := acceptedFromWire(d)
	if err != nil {
		return err
	}
	if e := r.o.Environment; e != "" && a.Document.Name != e {
		return &DocumentError{Generation: a.Generation, Err: &EnvironmentError{Want: e, Got: a.Document.Name}}
	}
	r.recordContact()
	return r.update(ctx, offered{accepted: a})
}

// Document returns the document in force as a message for a peer, or nil if there is
// none.
func (r *Replica) Document() *wire.Document {
	a := r.View().Accepted
	if a == nil {
		return nil
	}
	m := acceptedToWire(a)
	m.Clock = r.nextStamp()
	return m
}

// Halt stops new work on a version at this instance at once. The halt reaches the other
// instances through peers and the table; it takes effect here even if the table is
// unreachable.
func (r *Replica) Halt(ctx context.Context, v ident.VersionRef, reason string) error {
	h := Halt{
		Version:    v,
		Generation: r.View().Generation(),
		Reason:     reason,
		Instance:   r.o.Instance,
		At:         r.o.Now().Truncate(time.Millisecond),
	}
	if err := r.update(ctx, halted{halts: []Halt{h}}); err != nil {
		return err
	}
	select {
	case r.haltMade <- struct{}{}:
	default:
	}
	return nil
}

// RecordStep records a roll-out step that was written to the table, so that peers
// receive it before their next read of the table.
func (r *Replica) RecordStep(ctx context.Context, g ident.Generation, id ident.RolloutID, step int) error {
	return r.update(ctx, stepped{steps: map[stepKey]int{{generation: g, rollout: id}: step}})
}

// CatchUp merges a peer's state and then transfers the newer document to the side
// whose generation is lower.
func (r *Replica) CatchUp(ctx context.Context, p wire.PeerClient, theirs *wire.State) error {
	if err := r.Merge(ctx, theirs); err != nil {
		return err
	}
	mine := r.View().Generation()
	switch g := ident.Generation(theirs.GetGeneration()); {
	case g > mine:
		d, err := p.FetchDocument(ctx, &wire.FetchDocumentRequest{Clock: r.nextStamp()})
		if err != nil {
			return oops.In("spread").Wrapf(err, "fetch generation %d from %s", g, theirs.GetInstance())
		}
		if err := r.Adopt(ctx, d); err != nil {
			return err
		}
		return r.Merge(ctx, theirs)
	case g < mine:
		s, err := p.OfferDocument(ctx, r.Document())
		if err != nil {
			return oops.In("spread").Wrapf(err, "offer generation %d to %s", mine, theirs.GetInstance())
		}
		return r.Merge(ctx, s)
	}
	return nil
}

// update passes inputs to the control goroutine and waits until they are published.
func (r *Replica) update(ctx context.Context, es ...input) error {
	if len(es) == 0 {
		return nil
	}
	u := update{inputs: es, done: make(chan struct{})}
	select {
	case r.updates <- u:
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return oops.In("spread").Wrapf(ctx.Err(), "update state")
	}
	select {
	case <-u.done:
		return nil
	case <-ctx.Done():
		return oops.In("spread").Wrapf(ctx.Err(), "update state")
	}
}

// applyInputs applies inputs, publishes the new state and records the events that
// follow. Only the control goroutine calls it.
func (r *Replica) applyInputs(es []input) {
	old := r.current.Load()
	s := old.state
	var as []action
	for _, e := range es {
		next, more := apply(s, e)
		s = next
		as = append(as, more...)
	}
	next := &snapshot{state: s, view: s.view(), changed: old.changed}
	notify := len(as) > 0 || s.confirmed != old.state.confirmed
	if notify {
		next.changed = make(chan struct{})
	}
	r.current.Store(next)
	if notify {
		close(old.changed)
	}
	for _, a := range as {
		r.record(a)
	}
}

func (r *Replica) record(a action) {
	if r.o.Ring == nil {
		return
	}
	switch a := a.(type) {
	case generationChanged:
		r.o.Ring.Record(generationEvent(a.accepted))
	case versionHalted:
		r.o.Ring.Record(haltEvent(a.halt))
	case rolloutAdvanced:
		r.o.Ring.Record(stepEvent(a))
	case digestMismatch:
		r.o.Ring.Record(mismatchEvent(a))
	}
}

// nextStamp returns a stamp of the ring's clock to send to a peer, 0 without a ring.
func (r *Replica) nextStamp() uint64 {
	if r.o.Ring == nil {
		return 0
	}
	return uint64(r.o.Ring.Clock().Next())
}

// observeStamp moves the ring's clock past a stamp from a peer.
func (r *Replica) observeStamp(c uint64) {
	if r.o.Ring != nil {
		r.o.Ring.Clock().Observe(event.Stamp(c))
	}
}

// recordContact sets the time of the last contact to now.
func (r *Replica) recordContact() {
	t := r.o.Now()
	r.lastContact.Store(&t)
}
