// Package sched assigns the upstream's slots to queued work. Its control goroutine owns
// the queue and checks work on arrival, on every change of the document and before it
// gets a slot.
package sched

import (
	"context"
	"sync/atomic"
	"time"

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// Views provides the document in force and the halts; spread.Replica implements it.
// Changed returns a channel that is closed at the next change of the view.
type Views interface {
	View() *spread.View
	Changed() <-chan struct{}
}

// Options configures a Scheduler.
type Options struct {
	Views Views
	// Slots is the number of attempts or calls that may run at the upstream at the same time.
	Slots  int
	Limits queue.Limits
	// LedgerFull reports whether the receipt buffer lacks room for the receipts of the
	// running work and of one more attempt or call. running is the number of those that run.
	LedgerFull func(running int) bool
	Now        func() time.Time
}

// expiryInterval is the time between two checks of the deadlines of waiting work.
const expiryInterval = 25 * time.Millisecond

// Size is the predicted size of work in tokens. MaxOutput is the limit on the output, 0
// for none.
type Size struct {
	Input     int
	MaxOutput int
}

// Load is a snapshot of the queue and the slots.
type Load struct {
	Queued   int
	Running  int
	Slots    int
	Draining bool
	// PendingInput is the predicted number of input tokens of the queued work.
	PendingInput int
	// InputRate and OutputRate are the tokens per second of one slot, 0 if unknown.
	InputRate  float64
	OutputRate float64
	// Refused counts the work that the checks or the queue refused.
	Refused uint64
}

// Scheduler queues work and assigns slots to it. It is safe for concurrent use.
type Scheduler struct {
	options Options
	inbox   chan any
	stopped chan struct{}
	load    atomic.Pointer[Load]
	changed atomic.Pointer[chan struct{}]
}

// New returns a scheduler, which takes work only while Run runs.
func New(o Options) *Scheduler {
	s := &Scheduler{options: o, inbox: make(chan any), stopped: make(chan struct{})}
	c := make(chan struct{})
	s.changed.Store(&c)
	s.load.Store(&Load{Slots: o.Slots})
	return s
}

// Name implements serve.Step.
func (s *Scheduler) Name() string {
	return "sched"
}

// Load returns the latest snapshot.
func (s *Scheduler) Load() Load {
	return *s.load.Load()
}

// Changed returns a channel that is closed at the next change of the load snapshot.
func (s *Scheduler) Changed() <-chan struct{} {
	return *s.changed.Load()
}

// Ticket represents accepted work, from its queueing until its slot is released.
type Ticket struct {
	// QueueLength is the number of items that were queued before this work.
	QueueLength int

	sched *Scheduler
	id    uint64
	work  gate.Work
	grant chan *refuse.Error
}

// Messages to the control goroutine.
type (
	submit struct {
		work  gate.Work
		size  Size
		reply chan submitReply
	}
	submitReply struct {
		ticket  *Ticket
		refusal *refuse.Error
	}
	release struct {
		id     uint64
		sample *queue.Sample
	}
	drain         struct{}
	refuseWaiting struct{ refusal refuse.Error }
)

// Submit checks work and queues it. It returns either a ticket or a refusal. ctx bounds
// only the time until the control goroutine takes the work.
func (s *Scheduler) Submit(ctx context.Context, w gate.Work, z Size) (*Ticket, *refuse.Error) {
	m := submit{work: w, size: z, reply: make(chan submitReply, 1)}
	if !s.send(ctx, m) {
		if ctx.Err() != nil {
			return nil, refuse.New(refuse.Cancelled, refuse.NotRun, "accept work: the caller is gone")
		}
		return nil, refuse.New(refuse.Draining, refuse.NotRun, "accept work: this agent has stopped")
	}
	r := <-m.reply
	return r.ticket, r.refusal
}

// Drain makes the scheduler refuse new work. Work that was accepted before still runs.
func (s *Scheduler) Drain(ctx context.Context) {
	s.send(ctx, drain{})
}

// RefuseWaiting refuses all work that waits for a slot, with NotRun. Work that holds one goes on.
func (s *Scheduler) RefuseWaiting(ctx context.Context, r *refuse.Error) {
	m := refuseWaiting{refusal: *r}
	m.refusal.Ran = refuse.NotRun
	s.send(ctx, m)
}

// send passes a message to the control goroutine. It reports false if ctx ended or the
// scheduler stopped first.
func (s *Scheduler) send(ctx context.Context, m any) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// Wait waits until the work gets a slot and returns nil then. The caller must call Done to
// release the slot. After a refusal the work is neither queued nor running, and Done need
// not be called.
func (t *Ticket) Wait(ctx context.Context) *refuse.Error {
	select {
	case r := <-t.grant:
		return r
	case <-ctx.Done():
		t.Done(nil)
		return notStarted(context.Cause(ctx))
	case <-t.sched.stopped:
		return refuse.New(refuse.Draining, refuse.NotRun, "wait for a slot: this agent has stopped")
	}
}

// notStarted returns the refusal of work whose context ended before it got a slot. A cause that is a
// refusal keeps its code, which tells entries whether another agent may take the work.
func notStarted(cause error) *refuse.Error {
	e, ok := refuse.As(cause)
	if !ok {
		return refuse.New(refuse.Cancelled, refuse.NotRun, "wait for a slot: %v", cause)
	}
	n := *e
	n.Ran = refuse.NotRun
	return &n
}

// Check repeats gate.CheckDispatch with the present view, except for the check of the
// receipt buffer. Call it immediately before the work is sent.
func (t *Ticket) Check() *refuse.Error {
	s := t.sched
	return gate.CheckDispatch(gate.Snapshot{View: s.options.Views.View(), Now: s.options.Now()}, t.work)
}

// Done releases the slot, or removes the work from the queue if it has none yet. The
// sample updates the prediction of service times; it is nil if the work gave none.
func (t *Ticket) Done(o *queue.Sample) {
	t.sched.send(context.Background(), release{id: t.id, sample: o})
}
