// Package sched owns the agent's queue and slots. Its control goroutine checks
// work at arrival, on every change of the document and at dequeue, and is the
// only one that changes the queue.
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

// Views is the part of spread.Replica that the agent's checks need.
type Views interface {
	View() *spread.View
	Changed() <-chan struct{}
}

// Options are the parts and bounds of a Scheduler.
type Options struct {
	Views Views
	// Slots is the number of attempts that run at the upstream at once.
	Slots  int
	Limits queue.Limits
	// LedgerFull reports whether receipts of running work and one more would not fit; running is their number.
	LedgerFull func(running int) bool
	Now        func() time.Time
}

// expiryInterval is how often waiting work is compared with its deadline.
const expiryInterval = 25 * time.Millisecond

// Size is the predicted size of work.
type Size struct {
	Input     int
	MaxOutput int
}

// Load is a snapshot of the scheduler.
type Load struct {
	Queued   int
	Running  int
	Slots    int
	Draining bool
	// PendingInput is the number of input tokens in the queue.
	PendingInput int
	// InputRate and OutputRate are tokens per second of one attempt, 0 if unknown.
	InputRate  float64
	OutputRate float64
	// Refused counts work refused here.
	Refused uint64
}

// Scheduler hands out slots. It is safe for concurrent use.
type Scheduler struct {
	options Options
	inbox   chan any
	stopped chan struct{}
	load    atomic.Pointer[Load]
	changed atomic.Pointer[chan struct{}]
}

// New returns a scheduler; Run drives it.
func New(o Options) *Scheduler {
	s := &Scheduler{options: o, inbox: make(chan any), stopped: make(chan struct{})}
	c := make(chan struct{})
	s.changed.Store(&c)
	s.load.Store(&Load{Slots: o.Slots})
	return s
}

// Name is the step's name.
func (s *Scheduler) Name() string {
	return "sched"
}

// Load returns the latest snapshot.
func (s *Scheduler) Load() Load {
	return *s.load.Load()
}

// Changed returns a channel that is closed at the next change of the load.
func (s *Scheduler) Changed() <-chan struct{} {
	return *s.changed.Load()
}

// Ticket is work that was accepted and waits for its slot.
type Ticket struct {
	Behind int

	sched *Scheduler
	id    uint64
	work  gate.Work
	grant chan *refuse.Error
}

type (
	submit struct {
		work  gate.Work
		size  Size
		reply chan submitted
	}
	submitted struct {
		ticket  *Ticket
		refusal *refuse.Error
	}
	leave struct {
		id     uint64
		served *queue.Served
	}
	drain struct{}
)

// Submit checks work and queues it. The refusal is nil when a ticket is returned.
func (s *Scheduler) Submit(ctx context.Context, w gate.Work, z Size) (*Ticket, *refuse.Error) {
	m := submit{work: w, size: z, reply: make(chan submitted, 1)}
	if !s.post(ctx, m) {
		if ctx.Err() != nil {
			return nil, refuse.New(refuse.Cancelled, refuse.NotRun, "accept work: the caller is gone")
		}
		return nil, refuse.New(refuse.Draining, refuse.NotRun, "accept work: this agent has stopped")
	}
	r := <-m.reply
	return r.ticket, r.refusal
}

// Drain makes the scheduler refuse new work; accepted work goes on.
func (s *Scheduler) Drain(ctx context.Context) {
	s.post(ctx, drain{})
}

func (s *Scheduler) post(ctx context.Context, m any) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// Wait returns nil when the work may be dispatched now. The caller then calls
// Done. With a refusal the ticket is void.
func (t *Ticket) Wait(ctx context.Context) *refuse.Error {
	select {
	case r := <-t.grant:
		return r
	case <-ctx.Done():
		t.Done(nil)
		return refuse.New(refuse.Cancelled, refuse.NotRun, "wait for a slot: %v", context.Cause(ctx))
	case <-t.sched.stopped:
		return refuse.New(refuse.Draining, refuse.NotRun, "wait for a slot: this agent has stopped")
	}
}

// Check repeats the last check with the view in force, for use immediately
// before the work is sent.
func (t *Ticket) Check() *refuse.Error {
	s := t.sched
	return gate.Dispatch(gate.State{View: s.options.Views.View(), Now: s.options.Now()}, t.work)
}

// Done gives the slot back. The observation is nil when the work did not finish.
func (t *Ticket) Done(o *queue.Served) {
	t.sched.post(context.Background(), leave{id: t.id, served: o})
}
