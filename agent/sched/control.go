package sched

import (
	"context"
	"time"

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// control holds the data that only the control goroutine uses.
type control struct {
	options      Options
	queue        *queue.Queue
	predictor    queue.Predictor
	waiting      map[uint64]*job
	running      map[uint64]*job
	lastID       uint64
	draining     bool
	refused      uint64
	pendingInput int
}

// job is accepted work that waits for a slot or holds one.
type job struct {
	ticket    *Ticket
	item      queue.Item
	size      Size
	startedAt time.Time
}

// Run is the control goroutine. It implements serve.Step. Work that still waits when ctx
// ends is refused.
func (s *Scheduler) Run(ctx context.Context) error {
	defer close(s.stopped)
	c := &control{
		options: s.options,
		queue:   queue.New(s.options.Limits),
		waiting: make(map[uint64]*job),
		running: make(map[uint64]*job),
	}
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	changed := s.options.Views.Changed()
	for {
		// The view may also have changed while a message was handled.
		if latest := s.options.Views.Changed(); latest != changed {
			changed = latest
			c.recheck()
		}
		c.dispatch()
		s.publish(c)
		// Without waiting work there are no deadlines to wake up for.
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
		case <-expiry:
			c.expire()
		}
	}
}

func (c *control) handle(s *Scheduler, m any) {
	switch m := m.(type) {
	case submit:
		m.reply <- c.submit(s, m)
	case release:
		c.release(m)
	case drain:
		c.draining = true
	case refuseWaiting:
		c.refuseWaiting(m.refusal)
	}
}

func (c *control) snapshot() gate.Snapshot {
	return gate.Snapshot{
		View:       c.options.Views.View(),
		Draining:   c.draining,
		LedgerFull: c.options.LedgerFull(len(c.running)),
		Now:        c.options.Now(),
	}
}

func (c *control) submit(s *Scheduler, m submit) submitReply {
	st := c.snapshot()
	if r := gate.CheckArrival(st, m.work); r != nil {
		c.refused++
		return submitReply{refusal: r}
	}
	c.lastID++
	it := queue.Item{
		ID:          c.lastID,
		Account:     m.work.Account,
		ServiceTime: c.predictor.Predict(m.size.Input, m.size.MaxOutput),
		Deadline:    m.work.Deadline,
	}
	if a, ok := st.View.Document().Accounts[m.work.Account]; ok {
		it.Weight = a.Weight
		it.Priority = m.work.Priority
	}
	switch v := c.queue.Push(it, c.load(st.Now), st.Now).(type) {
	case queue.Queued:
		t := &Ticket{QueueLength: v.QueueLength, sched: s, id: it.ID, work: m.work, grant: make(chan *refuse.Error, 1)}
		c.waiting[it.ID] = &job{ticket: t, item: it, size: m.size}
		c.pendingInput += m.size.Input
		return submitReply{ticket: t}
	case queue.Late:
		c.refused++
		return submitReply{refusal: lateRefusal(st.View, v)}
	case queue.Full:
		c.refused++
		return submitReply{refusal: fullRefusal(st.View, v)}
	}
	return submitReply{refusal: refuse.New(refuse.Internal, refuse.NotRun, "queue work: no verdict")}
}

func lateRefusal(v *spread.View, l queue.Late) *refuse.Error {
	e := refuse.New(refuse.Overloaded, refuse.NotRun,
		"queue work: the predicted wait of %v makes its deadline impossible to meet", l.Wait.Round(time.Millisecond))
	e.Generation = v.Generation()
	return e.WithRetryAfter(l.RetryAfter)
}

func fullRefusal(v *spread.View, f queue.Full) *refuse.Error {
	e := refuse.New(refuse.Overloaded, refuse.NotRun, "queue work: the queue is full")
	e.Generation = v.Generation()
	return e.WithRetryAfter(f.RetryAfter)
}

// load returns the use of the slots, with the predicted remaining time of the running work.
func (c *control) load(now time.Time) queue.Load {
	l := queue.Load{Slots: c.options.Slots, Running: len(c.running)}
	for _, j := range c.running {
		l.Remaining += max(j.item.ServiceTime-now.Sub(j.startedAt), 0)
	}
	return l
}

// release removes waiting work from the queue, or frees the slot of running work and
// corrects the queue and the predictor by the actual service time.
func (c *control) release(m release) {
	if j, ok := c.waiting[m.id]; ok {
		c.queue.Remove(m.id)
		c.removeWaiting(j)
		return
	}
	j, ok := c.running[m.id]
	if !ok {
		return
	}
	delete(c.running, m.id)
	took := c.options.Now().Sub(j.startedAt)
	c.queue.Correct(j.item.Account, j.item.Weight, took-j.item.ServiceTime)
	if m.sample != nil {
		c.predictor.Observe(*m.sample)
	}
}

func (c *control) removeWaiting(j *job) {
	delete(c.waiting, j.item.ID)
	c.pendingInput -= j.size.Input
}

// recheck refuses waiting work that the document in force no longer permits.
func (c *control) recheck() {
	st := c.snapshot()
	refusals := make(map[uint64]*refuse.Error)
	c.queue.RemoveFunc(func(id uint64) bool {
		r := gate.CheckQueued(st, c.waiting[id].ticket.work)
		if r != nil {
			refusals[id] = r
		}
		return r != nil
	})
	for id, r := range refusals {
		c.reject(c.waiting[id], r)
	}
}

// refuseWaiting refuses all waiting work.
func (c *control) refuseWaiting(r refuse.Error) {
	c.queue.RemoveFunc(func(uint64) bool { return true })
	for _, j := range c.waiting {
		own := r
		c.reject(j, &own)
	}
}

func (c *control) reject(j *job, r *refuse.Error) {
	c.removeWaiting(j)
	c.refused++
	j.ticket.grant <- r
}

// expire refuses waiting work whose deadline can no longer be met.
func (c *control) expire() {
	st := c.snapshot()
	for _, it := range c.queue.Expire(st.Now) {
		r := refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "wait for a slot: the deadline can no longer be met")
		r.Generation = st.View.Generation()
		c.reject(c.waiting[it.ID], r)
	}
}

// dispatch assigns the free slots to the next queued work and refuses work that fails the
// check before dispatch.
func (c *control) dispatch() {
	for len(c.running) < c.options.Slots {
		it, ok := c.queue.Pop()
		if !ok {
			return
		}
		j := c.waiting[it.ID]
		st := c.snapshot()
		if r := gate.CheckDispatch(st, j.ticket.work); r != nil {
			c.reject(j, r)
			continue
		}
		c.removeWaiting(j)
		j.startedAt = st.Now
		c.running[it.ID] = j
		j.ticket.grant <- nil
	}
}

// publish stores a new load snapshot and closes the channel of Changed if it differs from
// the last one.
func (s *Scheduler) publish(c *control) {
	in, out := c.predictor.Rates()
	n := Load{
		Queued:       len(c.waiting),
		Running:      len(c.running),
		Slots:        c.options.Slots,
		Draining:     c.draining,
		PendingInput: c.pendingInput,
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
