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

// DefaultPollInterval is how often an entry reads the table.
const DefaultPollInterval = 2 * time.Second

// Store is the part of the accepted documents' store that a node needs.
type Store interface {
	// Latest returns the newest document above a generation, nil when there is none.
	Latest(ctx context.Context, after ident.Generation) (*AcceptedDocument, error)
	Halts(ctx context.Context) ([]Halt, error)
	SaveHalt(ctx context.Context, h Halt) error
	Steps(ctx context.Context, g ident.Generation) (map[ident.RolloutID]int, error)
}

// Options configures a Node.
type Options struct {
	Instance ident.InstanceID
	// Role is "entry" or "agent".
	Role  string
	Store Store
	Ring  *event.Ring
	// Environment is the name that documents of peers must have; empty takes any.
	Environment string
	// PollInterval is the pause between reads of the table.
	PollInterval time.Duration
	Now          func() time.Time
}

// Replica holds the monotone state of an instance. Its one control goroutine, started
// by Run, applies every update and publishes views that are read without a lock.
type Replica struct {
	o       Options
	updates chan update
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
	// unsaved wakes the table loop when a halt was made here.
	unsaved chan struct{}
	current atomic.Pointer[snapshot]
	contact atomic.Pointer[time.Time]
	polls   atomic.Uint64
	failed  atomic.Uint64
}

type snapshot struct {
	state   state
	view    *View
	changed chan struct{}
}

type update struct {
	inputs []input
	done   chan struct{}
}

// Stats counts what a node did.
type Stats struct {
	// Polls and FailedPolls count reads of the table.
	Polls, FailedPolls uint64
	// Rejected counts halts and steps that exceeded a bound.
	Rejected uint64
}

// New returns a node without a document.
func New(o Options) *Replica {
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	n := &Replica{o: o, updates: make(chan update), stopped: make(chan struct{}), unsaved: make(chan struct{}, 1)}
	s := state{confirmed: ConfirmedNone}
	n.current.Store(&snapshot{state: s, view: s.view(), changed: make(chan struct{})})
	return n
}

// Name implements serve.Step.
func (n *Replica) Name() string {
	return "spread"
}

// ErrStopped reports an update after the control goroutine has ended.
var ErrStopped = errors.New("update state: the control goroutine has ended")

// Run applies updates and reads the table until ctx ends. It runs once.
func (n *Replica) Run(ctx context.Context) error {
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		n.follow(ctx)
	}()
	defer func() {
		cancel()
		<-polled
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-n.updates:
			n.step(u.inputs)
			close(u.done)
		}
	}
}

// View returns the current snapshot without a lock. Callers that also wait for
// changes take the channel of Changed first.
func (n *Replica) View() *View {
	return n.current.Load().view
}

// Changed returns a channel that is closed at the next change of the generation,
// of its confirmation, of halts or of steps.
func (n *Replica) Changed() <-chan struct{} {
	return n.current.Load().changed
}

// LastContact returns when a peer or the table last answered, the zero time for never.
func (n *Replica) LastContact() time.Time {
	if t := n.contact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Stats returns the node's counters.
func (n *Replica) Stats() Stats {
	return Stats{
		Polls:       n.polls.Load(),
		FailedPolls: n.failed.Load(),
		Rejected:    n.current.Load().state.rejected,
	}
}

// State returns the state to send to a peer. The caller adds use and draining.
func (n *Replica) State() *wire.State {
	m := n.current.Load().state.toWire(n.o.Now())
	m.Instance = string(n.o.Instance)
	m.Role = n.o.Role
	m.Environment = n.o.Environment
	m.Clock = n.clock()
	return m
}

// Merge adds a peer's halts, steps and confirmation to the state. It does not
// transfer the document; CatchUp does. It returns an *EnvironmentError for the
// state of another environment: an address in the lagging instance list may belong
// to a process of another environment by now, and halts are never taken back.
func (n *Replica) Merge(ctx context.Context, s *wire.State) error {
	if e := n.o.Environment; e != "" && s.GetEnvironment() != "" && s.GetEnvironment() != e {
		return &EnvironmentError{Want: e, Got: s.GetEnvironment()}
	}
	n.observe(s.GetClock())
	n.touch()
	return n.update(ctx, inputsFromWire(s, n.o.Now())...)
}

// Adopt adopts a document from a peer unless the one in force is as new. It
// returns a *DocumentError for bytes that are damaged or not valid, and for the
// document of another environment: an address in the lagging instance list may
// belong to a process of another environment by now, and generations never revert.
func (n *Replica) Adopt(ctx context.Context, d *wire.Document) error {
	n.observe(d.GetClock())
	if ident.Generation(d.GetGeneration()) <= n.View().Generation() {
		return nil
	}
	a, err := acceptedFromWire(d)
	if err != nil {
		return err
	}
	if e := n.o.Environment; e != "" && a.Document.Name != e {
		return &DocumentError{Generation: a.Generation, Err: &EnvironmentError{Want: e, Got: a.Document.Name}}
	}
	n.touch()
	return n.update(ctx, offered{accepted: a})
}

// Document returns the document in force for a peer, nil for none.
func (n *Replica) Document() *wire.Document {
	a := n.View().Accepted
	if a == nil {
		return nil
	}
	m := acceptedToWire(a)
	m.Clock = n.clock()
	return m
}

// Halt stops new work on a version here at once. The halt reaches the other
// instances through peers and the table; the table need not be reachable.
func (n *Replica) Halt(ctx context.Context, r ident.VersionRef, reason string) error {
	h := Halt{
		Version:    r,
		Generation: n.View().Generation(),
		Reason:     reason,
		Instance:   n.o.Instance,
		At:         n.o.Now().Truncate(time.Millisecond),
	}
	if err := n.update(ctx, halted{halts: []Halt{h}}); err != nil {
		return err
	}
	select {
	case n.unsaved <- struct{}{}:
	default:
	}
	return nil
}

// RecordStep records a roll-out step that was written to the table, so that peers
// learn of it before their next read.
func (n *Replica) RecordStep(ctx context.Context, g ident.Generation, r ident.RolloutID, step int) error {
	return n.update(ctx, stepped{steps: map[stepKey]int{{generation: g, rollout: r}: step}})
}

// CatchUp merges a peer's state and then moves the document to the side that is behind.
func (n *Replica) CatchUp(ctx context.Context, p wire.PeerClient, theirs *wire.State) error {
	if err := n.Merge(ctx, theirs); err != nil {
		return err
	}
	mine := n.View().Generation()
	switch g := ident.Generation(theirs.GetGeneration()); {
	case g > mine:
		d, err := p.FetchDocument(ctx, &wire.FetchDocumentRequest{Clock: n.clock()})
		if err != nil {
			return oops.In("spread").Wrapf(err, "fetch generation %d from %s", g, theirs.GetInstance())
		}
		if err := n.Adopt(ctx, d); err != nil {
			return err
		}
		return n.Merge(ctx, theirs)
	case g < mine:
		s, err := p.OfferDocument(ctx, n.Document())
		if err != nil {
			return oops.In("spread").Wrapf(err, "offer generation %d to %s", mine, theirs.GetInstance())
		}
		return n.Merge(ctx, s)
	}
	return nil
}

// update hands inputs to the control goroutine and waits until they are published.
func (n *Replica) update(ctx context.Context, es ...input) error {
	if len(es) == 0 {
		return nil
	}
	u := update{inputs: es, done: make(chan struct{})}
	select {
	case n.updates <- u:
	case <-n.stopped:
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

func (n *Replica) step(es []input) {
	old := n.current.Load()
	s := old.state
	var as []action
	for _, e := range es {
		next, more := apply(s, e)
		s = next
		as = append(as, more...)
	}
	next := &snapshot{state: s, view: s.view(), changed: old.changed}
	wake := len(as) > 0 || s.confirmed != old.state.confirmed
	if wake {
		next.changed = make(chan struct{})
	}
	n.current.Store(next)
	if wake {
		close(old.changed)
	}
	for _, a := range as {
		n.record(a)
	}
}

func (n *Replica) record(a action) {
	if n.o.Ring == nil {
		return
	}
	switch a := a.(type) {
	case generationChanged:
		n.o.Ring.Record(generationEvent(a.accepted))
	case versionHalted:
		n.o.Ring.Record(haltEvent(a.halt))
	case rolloutAdvanced:
		n.o.Ring.Record(stepEvent(a))
	case digestMismatch:
		n.o.Ring.Record(mismatchEvent(a))
	}
}

func (n *Replica) clock() uint64 {
	if n.o.Ring == nil {
		return 0
	}
	return uint64(n.o.Ring.Clock().Next())
}

func (n *Replica) observe(c uint64) {
	if n.o.Ring != nil {
		n.o.Ring.Clock().Observe(event.Stamp(c))
	}
}

func (n *Replica) touch() {
	t := n.o.Now()
	n.contact.Store(&t)
}
