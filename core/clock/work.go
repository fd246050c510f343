package clock

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// tolerance is how late a step may come and still count as on time.
	tolerance = 50 * time.Millisecond
	// minStep is the least time between two steps of a Timer, maxSteps the number of steps of one that is on time.
	minStep  = 50 * time.Millisecond
	maxSteps = 5
)

// Work is a clock that advances in steps, and only while the process runs on time: time in which the process was stopped
// or had no processor doesn't count. Judgements of others by elapsed time are made by it, as what others sent meanwhile
// hasn't been read. Use NewWork. It is not safe for concurrent use.
type Work struct {
	// elapsed is the time that counts up to the latest step, at.
	elapsed time.Duration
	at      time.Time
	// late is true if the latest step was.
	late bool
}

// NewWork returns a clock that starts at now.
func NewWork(now time.Time) Work { return Work{at: now} }

// Step records that the process runs at now, where it meant to run at latest interval after the step before. After a late
// step nothing counts, so that one more step passes before a judgement; if the process stays late, each step counts as
// interval, so that judgements take longer but are made. It returns the time since the step before that doesn't count.
func (c *Work) Step(now time.Time, interval time.Duration) time.Duration {
	gap := max(now.Sub(c.at), 0)
	before := c.elapsed
	late := gap > interval+tolerance
	switch {
	case !late:
		c.elapsed += gap
	case c.late:
		c.elapsed += interval
	}
	c.at, c.late = now, late
	return gap - (c.elapsed - before)
}

// At returns the reading for an event that is noticed at now, when the next step is due interval after the latest one.
func (c *Work) At(now time.Time, interval time.Duration) time.Duration {
	return c.elapsed + min(max(now.Sub(c.at), 0), interval)
}

// Elapsed returns the reading at the latest step.
func (c *Work) Elapsed() time.Duration { return c.elapsed }

// TimeoutError reports that a time-out expired. It implements the interface of time-outs of package net.
type TimeoutError struct {
	// After is the time in which the process ran.
	After time.Duration
}

func (e *TimeoutError) Error() string { return "no result within " + e.After.String() }

// Timeout implements net.Error.
func (e *TimeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *TimeoutError) Temporary() bool { return true }

// WithTimeout is context.WithTimeoutCause with a time-out that counts by a Work of its own. Its cause is a *TimeoutError, its
// error context.Canceled.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	t := AfterFunc(d, func() { cancel(&TimeoutError{After: d}) })
	return c, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// WithoutDeadline returns a context that ends with ctx and by its cause, or by cancel, and has no deadline. Callees that know
// a deadline may report it before ctx has ended.
func WithoutDeadline(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	c, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return c, func(cause error) {
		stop()
		cancel(cause)
	}
}

// TimeoutOr returns the *TimeoutError that ended a context of WithTimeout, or else err. Callees return context.Canceled for
// it.
func TimeoutOr(ctx context.Context, err error) error {
	var t *TimeoutError
	if errors.As(context.Cause(ctx), &t) {
		return t
	}
	return err
}

// Timer calls a function once a time has passed by a Work.
type Timer struct {
	limit time.Duration
	f     func()

	mu    sync.Mutex
	timer *time.Timer
	work  Work
	// armed is the time from the latest step until the next is due.
	armed   time.Duration
	stopped bool
}

// AfterFunc is time.AfterFunc by a Work of its own: f is called once the process has run on time for d.
func AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{limit: d, f: f, work: NewWork(time.Now())}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = t.next(d)
	t.timer = time.AfterFunc(t.armed, t.step)
	return t
}

// next returns the time until the next step if left is left.
func (t *Timer) next(left time.Duration) time.Duration {
	return min(left, max(minStep, t.limit/maxSteps))
}

// Stop prevents the call of the function unless it has begun.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// step is called when the timer fires.
func (t *Timer) step() {
	if t.expired(time.Now()) {
		t.f()
	}
}

// expired steps the clock and reports whether the time is over. Otherwise it arms the timer.
func (t *Timer) expired(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.work.Step(now, t.armed)
	left := t.limit - t.work.Elapsed()
	if left <= 0 {
		t.stopped = true
		return true
	}
	t.armed = t.next(left)
	t.timer.Reset(t.armed)
	return false
}
