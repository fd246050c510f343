package sched

import (
	"context"
	"time"

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// control is the state of the control goroutine.
type control struct {
	options  Options
	queue    *queue.Queue
	pace     queue.Pace
	waiting  map[uint64]*entry
	running  map[uint64]*entry
	lastID   uint64
	draining bool
	refused  uint64
	input    int
}

type entry struct {
	ticket  *Ticket
	item    queue.Item
	size    Size
	started time.Time
}

// Run is the control goroutine. Work that still waits when the context ends is refused.
func (s *Scheduler) Run(ctx context.Context) error {
	defer close(s.stopped)
	c := &control{
		options: s.options,
		queue:   queue.New(s.options.Limits),
		waiting: make(map[uint64]*entry),
		running: make(map[uint64]*entry),
	}
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		changed := s.options.Views.Changed()
		c.fill()
		s.publish(c)
		// An idle agent need not wake up for deadlines.
		var expiry <-chan time.Time
		if c.queue.Len() > 0 {
			expiry = t.C
		}
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.inbox:
			c.handle(s, m)
		case <-changed:
			c.sweep()
		case <-expiry:
			c.expire()
		}
	}
}

func (c *control) handle(s *Scheduler, m any) {
	switch m := m.(type) {
	case submit:
		m.reply <- c.submit(s, m)
	case leave:
		c.leave(m)
	case drain:
		c.draining = true
	}
}

func (c *control) state() gate.State {
	return gate.State{
		View:       c.options.Views.View(),
		Draining:   c.draining,
		LedgerFull: c.options.LedgerFull(len(c.running)),
		Now:        c.options.Now(),
	}
}

func (c *control) submit(s *Scheduler, m submit) submitted {
	st := c.state()
	if r := gate.Arrival(st, m.work); r != nil {
		c.refused++
		return submitted{refusal: r}
	}
	c.lastID++
	it := queue.Item{
		ID:       c.lastID,
		Account:  m.work.Account,
		Service:  c.pace.Predict(m.size.Input, m.size.MaxOutput),
		Deadline: m.work.Deadline,
	}
	if a, ok := st.View.Document().Accounts[m.work.Account]; ok {
		it.Weight = a.Weight
		it.Priority = m.work.Priority
	}
	switch v := c.queue.Push(it, c.load(st.Now), st.Now).(type) {
	case queue.Queued:
		t := &Ticket{Behind: v.Behind, sched: s, id: it.ID, work: m.work, grant: make(chan *refuse.Error, 1)}
		c.waiting[it.ID] = &entry{ticket: t, item: it, size: m.size}
		c.input += m.size.Input
		return submitted{ticket: t}
	case queue.Late:
		c.refused++
		return submitted{refusal: late(st.View, v)}
	case queue.Full:
		c.refused++
		return submitted{refusal: full(st.View, v)}
	}
	return submitted{refusal: refuse.New(refuse.Internal, refuse.NotRun, "queue work: no verdict")}
}

func late(v *spread.View, l queue.Late) *refuse.Error {
	e := refuse.New(refuse.Overloaded, refuse.NotRun,
		"queue work: the predicted wait of %v makes its deadline impossible to meet", l.Wait.Round(time.Millisecond))
	e.Generation = v.Generation()
	return e.WithRetryAfter(l.RetryAfter)
}

func full(v *spread.View, f queue.Full) *refuse.Error {
	e := refuse.New(refuse.Overloaded, refuse.NotRun, "queue work: the queue is full")
	e.Generation = v.Generation()
	return e.WithRetryAfter(f.RetryAfter)
}

func (c *control) load(now time.Time) queue.Load {
	l := queue.Load{Slots: c.options.Slots, Running: len(c.running)}
	for _, e := range c.running {
		l.Remaining += max(e.item.Service-now.Sub(e.started), 0)
	}
	return l
}

func (c *control) leave(m leave) {
	if e, ok := c.waiting[m.id]; ok {
		c.queue.Remove(m.id)
		c.forget(e)
		return
	}
	e, ok := c.running[m.id]
	if !ok {
		return
	}
	delete(c.running, m.id)
	took := c.options.Now().Sub(e.started)
	c.queue.Correct(e.item.Account, e.item.Weight, took-e.item.Service)
	if m.served != nil {
		c.pace.Observe(*m.served)
	}
}

func (c *control) forget(e *entry) {
	delete(c.waiting, e.item.ID)
	c.input -= e.size.Input
}

// sweep refuses waiting work that the document in force no longer permits.
func (c *control) sweep() {
	st := c.state()
	reasons := make(map[uint64]*refuse.Error)
	c.queue.Sweep(func(id uint64) bool {
		r := gate.Queued(st, c.waiting[id].ticket.work)
		if r != nil {
			reasons[id] = r
		}
		return r != nil
	})
	for id, r := range reasons {
		c.reject(c.waiting[id], r)
	}
}

func (c *control) reject(e *entry, r *refuse.Error) {
	c.forget(e)
	c.refused++
	e.ticket.grant <- r
}

// expire refuses waiting work whose deadline can no longer be met.
func (c *control) expire() {
	st := c.state()
	for _, it := range c.queue.Expire(st.Now) {
		r := refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "wait for a slot: the deadline can no longer be met")
		r.Generation = st.View.Generation()
		c.reject(c.waiting[it.ID], r)
	}
}

// fill gives the free slots to waiting work that still passes the last check.
func (c *control) fill() {
	for len(c.running) < c.options.Slots {
		it, ok := c.queue.Pop()
		if !ok {
			return
		}
		e := c.waiting[it.ID]
		st := c.state()
		if r := gate.Dispatch(st, e.ticket.work); r != nil {
			c.reject(e, r)
			continue
		}
		c.forget(e)
		e.started = st.Now
		c.running[it.ID] = e
		e.ticket.grant <- nil
	}
}

// publish stores a new snapshot if it differs from the last.
func (s *Scheduler) publish(c *control) {
	in, out := c.pace.Rates()
	n := Load{
		Queued:       len(c.waiting),
		Running:      len(c.running),
		Slots:        c.options.Slots,
		Draining:     c.draining,
		PendingInput: c.input,
		InputRate:    in,
		OutputRate:   out,
		Refused:      c.refused,
	}
	if n == *s.load.Load() {
		return
	}
	s.load.Store(&n)
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
}
