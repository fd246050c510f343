package calls

import (
	"context"
	"errors"
	"time"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
)

const (
	// duplicateWait is how long a call waits for a running call with the same key.
	duplicateWait = 2 * time.Second
	// pollEvery is the pause between reads of a claim that is dispatched.
	pollEvery = 150 * time.Millisecond
	// clockMargin allows for clocks that differ between an agent and an entry.
	clockMargin = time.Minute
)

// once runs a call that may run only once. An agent is tried with the revision
// that the claim has now. Another agent is tried only when the first said
// not-run, or when the claim moved past the revision that the first one needs.
func (d *Desk) once(ctx context.Context, j *job) (*Reply, error) {
	k := claim.Key{Account: j.Account, Service: j.Service, Idempotency: j.Key}
	expect, r, err := d.look(ctx, j, k)
	if r != nil || err != nil {
		return r, err
	}
	work, cancel := context.WithDeadline(ctx, d.workEnd(j))
	defer cancel()
	var tried []ident.UpstreamID
	var last *refuse.Error
	for range maxTries {
		l, ok := d.pick(j, tried)
		if !ok {
			break
		}
		res, err := d.send(work, j, l, expect)
		if err == nil {
			if !res.GetReplayed() {
				d.bill(j, l.Upstream(), j.attempts.Load())
			}
			return reply(res), nil
		}
		e, ok := refuse.As(err)
		if ok && d.caught(work, j, l, e) {
			last = e
			continue
		}
		s := d.after(ctx, j, k, expect, err)
		if s.reply != nil || s.final != nil {
			return s.reply, s.final.orNil()
		}
		expect = s.expect
		last = s.refusal
		if last.Code != refuse.ClaimFenced {
			// A fenced agent only lacked the claim's new revision.
			tried = append(tried, l.Upstream())
		}
		if work.Err() != nil || !d.again(ctx, last) {
			return nil, last
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refuse.New(refuse.NoUpstream, refuse.NotRun, "no upstream of service %q can take the call now", j.Service).After(retryLater)
}

// workEnd is when an attempt must have ended, so that its agent can still be fenced.
func (d *Desk) workEnd(j *job) time.Time {
	left := j.Deadline.Sub(d.o.Now())
	return j.Deadline.Add(-min(fenceLimit, left/3))
}

// again reports whether a call that did not run may be tried elsewhere.
func (d *Desk) again(ctx context.Context, e *refuse.Error) bool {
	switch e.Code {
	case refuse.Draining, refuse.ClaimFenced:
		return true
	case refuse.BadRequest, refuse.KeyReused, refuse.KeyRequired, refuse.ClaimsUnavailable,
		refuse.ServiceNotAllowed, refuse.ServiceUnknown, refuse.BodyTooLarge:
		return false
	}
	if !d.o.Budget.Retry(ctx) {
		return false
	}
	d.count.Retries.Add(1)
	return true
}

// finalError is an answer that ends a call; nil means none.
type finalError struct{ e *refuse.Error }

func (f *finalError) orNil() error {
	if f == nil {
		return nil
	}
	return f.e
}

// sequel says how a call goes on after an attempt without a result.
type sequel struct {
	reply *Reply
	final *finalError
	// refusal is true about the attempt, which did not run; expect is the revision for the next one.
	refusal *refuse.Error
	expect  ident.Revision
}

func end(e *refuse.Error) sequel { return sequel{final: &finalError{e: e}} }

// after decides what follows an attempt that gave no result.
func (d *Desk) after(ctx context.Context, j *job, k claim.Key, expect ident.Revision, err error) sequel {
	e, ok := refuse.As(err)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return end(refuse.New(refuse.Cancelled, refuse.Unknown, "the caller left"))
	case ok && e.Ran == refuse.DidRun:
		return end(e)
	case ok && e.Code == refuse.KeyInProgress:
		return d.duplicate(ctx, j, k, e)
	case ok && e.Ran == refuse.NotRun && e.Code == refuse.ClaimFenced:
		return d.lookAgain(ctx, j, k, e)
	case ok && e.Ran == refuse.NotRun:
		return sequel{refusal: e, expect: expect}
	default:
		return d.fence(ctx, j, k, expect)
	}
}

// duplicate answers a call whose agent has another attempt of the same key open.
// It is not tried elsewhere: the claim decides between the two attempts.
func (d *Desk) duplicate(ctx context.Context, j *job, k claim.Key, e *refuse.Error) sequel {
	_, r, err := d.look(ctx, j, k)
	if err != nil {
		return end(refuse.From(err, refuse.Unknown))
	}
	if r != nil {
		return sequel{reply: r}
	}
	return end(e.After(retryLater))
}

func (d *Desk) lookAgain(ctx context.Context, j *job, k claim.Key, e *refuse.Error) sequel {
	n, r, err := d.look(ctx, j, k)
	if err != nil {
		return end(refuse.From(err, refuse.Unknown))
	}
	return sequel{reply: r, refusal: e, expect: n}
}

// fence keeps a silent agent from dispatching: it writes not-run on the revision
// that the agent's own write needs. When another write won, the claim tells what happened.
func (d *Desk) fence(ctx context.Context, j *job, k claim.Key, expect ident.Revision) sequel {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceLimit)
	defer cancel()
	c, err := d.o.Claims.MarkNotRun(ctx, k, claim.NotRunMark{Expect: expect, Digest: digest(j), Request: j.ID})
	var t *claim.ConflictError
	if errors.As(err, &t) {
		return d.taken(ctx, j, k, t.Claim)
	}
	if err != nil {
		return end(refuse.New(refuse.ClaimUnknown, refuse.Unknown, "the agent gave no answer and the claim could not be settled").After(retryLater))
	}
	d.count.Fenced.Add(1)
	d.record(event.ClaimNotRun, j, nil)
	return notRun(c)
}

func notRun(c *claim.Claim) sequel {
	e := refuse.New(refuse.UpstreamFailed, refuse.NotRun, "the agent gave no answer; the call did not run").After(retryLater)
	return sequel{refusal: e, expect: c.Revision}
}

func (d *Desk) taken(ctx context.Context, j *job, k claim.Key, c *claim.Claim) sequel {
	if c != nil && c.State == claim.StateNotRun {
		return notRun(c)
	}
	c, err := d.wait(ctx, k, c)
	if err != nil || c == nil || c.State == claim.StateDispatched {
		return end(refuse.New(refuse.ClaimUnknown, refuse.Unknown, "the call was dispatched and its result is not known").After(retryLater))
	}
	if c.State == claim.StateNotRun {
		return notRun(c)
	}
	r, err := recorded(j, c)
	if err != nil {
		return end(refuse.From(err, refuse.Unknown))
	}
	return sequel{reply: r}
}

// look reads the claim before an attempt. It returns the revision that the
// dispatch needs, or the recorded result of an earlier call.
func (d *Desk) look(ctx context.Context, j *job, k claim.Key) (ident.Revision, *Reply, error) {
	c, err := d.o.Claims.Read(ctx, k)
	if err == nil && c != nil && c.State == claim.StateDispatched && c.Digest == digest(j) {
		w, cancel := context.WithTimeout(ctx, duplicateWait)
		c, err = d.wait(w, k, c)
		cancel()
	}
	if err != nil {
		return 0, nil, d.unreadable(ctx)
	}
	if c == nil {
		return 0, nil, nil
	}
	if c.Digest != digest(j) {
		return 0, nil, refuse.New(refuse.KeyReused, refuse.NotRun, "the Idempotency-Key was used for another call")
	}
	switch c.State {
	case claim.StateNotRun:
		return c.Revision, nil, nil
	case claim.StateDone:
		r, err := recorded(j, c)
		return 0, r, err
	default:
		if !c.At.IsZero() && d.o.Now().Sub(c.At) > d.o.MaxTimeout+clockMargin {
			// No call runs that long: its agent was lost, and only the service knows what happened.
			return 0, nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "an earlier call with this Idempotency-Key was sent and its result is lost")
		}
		return 0, nil, refuse.New(refuse.KeyInProgress, refuse.Unknown, "a call with this Idempotency-Key is running").After(retryLater)
	}
}

// unreadable refuses a call whose claim could not be read. An earlier call with the
// key may have run through any entry, so the answer can't be not-run.
func (d *Desk) unreadable(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return refuse.New(refuse.Cancelled, refuse.Unknown, "the caller left")
	}
	return refuse.New(refuse.ClaimUnknown, refuse.Unknown,
		"claims can't be read now: nothing was sent for this request, but an earlier one with this Idempotency-Key may have run; repeat it with the same key").After(retryLater)
}

// wait reads a claim until it is no longer dispatched or the context ends. It
// returns the claim as it was last seen.
func (d *Desk) wait(ctx context.Context, k claim.Key, c *claim.Claim) (*claim.Claim, error) {
	for c == nil || c.State == claim.StateDispatched {
		t := time.NewTimer(pollEvery)
		select {
		case <-ctx.Done():
			t.Stop()
			return c, nil
		case <-t.C:
		}
		n, err := d.o.Claims.Read(ctx, k)
		if err != nil && ctx.Err() != nil {
			return c, nil
		}
		if err != nil {
			return c, err
		}
		c = n
	}
	return c, nil
}

// recorded returns the result that a claim holds.
func recorded(j *job, c *claim.Claim) (*Reply, error) {
	if c.Digest != digest(j) {
		return nil, refuse.New(refuse.KeyReused, refuse.NotRun, "the Idempotency-Key was used for another call")
	}
	if c.Result == nil || c.Result.Truncated {
		return nil, refuse.New(refuse.UpstreamFailed, refuse.DidRun, "the call ran; its result was too large to be recorded")
	}
	return &Reply{
		StatusCode:  c.Result.StatusCode,
		ContentType: c.Result.ContentType,
		Body:        c.Result.Body,
		Replayed:    true,
	}, nil
}
