package calls

import (
	"context"
	"errors"
	"time"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/abort"
)

const (
	// duplicateWait bounds the wait of a duplicate for the result of the running
	// call with the same key.
	duplicateWait = 2 * time.Second
	// pollInterval is the interval between reads of a dispatched claim.
	pollInterval = 150 * time.Millisecond
	// clockMargin allows for the difference between the clocks of an agent and an entry.
	clockMargin = time.Minute
)

// callOnce runs a call that may run only once. The agent gets the current revision
// of the claim and may send the call only by a write that expects this revision.
// Another agent is tried only after the first one refused with not-run, or when
// the claim has a newer revision, so that the write of the first one must fail.
func (x *Executor) callOnce(ctx context.Context, j *job) (*Reply, error) {
	k := claim.Key{Account: j.Account, Service: j.Service, Idempotency: j.Key}
	expect, r, err := x.readClaim(ctx, j, k)
	if r != nil || err != nil {
		return r, err
	}
	work, cancel := context.WithDeadline(ctx, x.attemptDeadline(j))
	defer cancel()
	var tried []ident.UpstreamID
	var last *refuse.Error
	for range maxAttempts {
		l, ok := x.pick(j, tried)
		if !ok {
			break
		}
		res, err := x.send(work, j, l, expect)
		if err == nil {
			if !res.GetReplayed() {
				x.addReceipt(j, l.Upstream(), j.attempts.Load())
			}
			return replyOf(res), nil
		}
		e, ok := refuse.As(err)
		if ok && x.catchUp(work, j, l, e) {
			last = e
			continue
		}
		s := x.resolve(ctx, j, k, expect, err)
		if s.reply != nil || s.final != nil {
			return s.reply, s.final.asError()
		}
		expect = s.expect
		last = s.refusal
		if last.Code != refuse.ClaimFenced {
			// A fenced agent only lacked the claim's new revision.
			tried = append(tried, l.Upstream())
		}
		if work.Err() != nil || !x.mayRetry(ctx, last) {
			return nil, last
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refuse.New(refuse.NoUpstream, refuse.NotRun, "no upstream of service %q can take the call now", j.Service).WithRetryAfter(retryAfter)
}

// attemptDeadline returns the deadline of attempts. It leaves time for fencing
// before the deadline of the call: fenceTimeout, but at most a third of what is left.
func (x *Executor) attemptDeadline(j *job) time.Time {
	left := j.Deadline.Sub(x.o.Now())
	return j.Deadline.Add(-min(fenceTimeout, left/3))
}

// mayRetry reports whether the call may be tried at another agent after an attempt
// was refused. It takes a retry from the budget, except after Draining and
// ClaimFenced, where the agent did no work.
func (x *Executor) mayRetry(ctx context.Context, e *refuse.Error) bool {
	switch e.Code {
	case refuse.Draining, refuse.ClaimFenced:
		return true
	case refuse.BadRequest, refuse.KeyReused, refuse.KeyRequired, refuse.ClaimsUnavailable,
		refuse.ServiceNotAllowed, refuse.ServiceUnknown, refuse.BodyTooLarge:
		return false
	}
	if !x.o.Budget.Retry(ctx) {
		return false
	}
	x.count.Retries.Add(1)
	return true
}

// finalError is a refusal that ends a call; nil means that the call goes on.
type finalError struct{ e *refuse.Error }

// asError returns the refusal, or a nil error for nil: a nil *finalError in an error
// value would not compare as nil.
func (f *finalError) asError() error {
	if f == nil {
		return nil
	}
	return f.e
}

// resolution is the consequence of an attempt without a result. Either reply or final
// ends the call, or the call did not run and may be tried again.
type resolution struct {
	reply *Reply
	final *finalError
	// refusal is returned to the caller when no other attempt follows.
	refusal *refuse.Error
	// expect is the claim revision for the next attempt.
	expect ident.Revision
}

func endCall(e *refuse.Error) resolution { return resolution{final: &finalError{e: e}} }

// resolve decides what follows an attempt that failed with err. When it is unknown
// whether the call ran, the claim is fenced or read to find out, also at the drain limit:
// the caller still waits.
func (x *Executor) resolve(ctx context.Context, j *job, k claim.Key, expect ident.Revision, err error) resolution {
	e, ok := refuse.As(err)
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !abort.Drained(ctx):
		return endCall(refuse.New(refuse.Cancelled, refuse.Unknown, "the caller left"))
	case ok && e.Ran == refuse.DidRun:
		return endCall(e)
	case ok && e.Code == refuse.KeyInProgress:
		return x.duplicate(ctx, j, k, e)
	case ok && e.Ran == refuse.NotRun && e.Code == refuse.ClaimFenced:
		return x.rereadClaim(ctx, j, k, e)
	case ok && e.Ran == refuse.NotRun:
		return resolution{refusal: e, expect: expect}
	default:
		return x.fence(ctx, j, k, expect)
	}
}

// duplicate answers a call whose agent already runs an attempt with the same key.
// No other agent is tried, since the claim decides which of the two attempts runs.
func (x *Executor) duplicate(ctx context.Context, j *job, k claim.Key, e *refuse.Error) resolution {
	_, r, err := x.readClaim(ctx, j, k)
	if err != nil {
		return endCall(refuse.FromError(err, refuse.Unknown))
	}
	if r != nil {
		return resolution{reply: r}
	}
	return endCall(e.WithRetryAfter(retryAfter))
}

// rereadClaim gets the newer revision of a claim after an agent was refused the
// revision that it was given.
func (x *Executor) rereadClaim(ctx context.Context, j *job, k claim.Key, e *refuse.Error) resolution {
	n, r, err := x.readClaim(ctx, j, k)
	if err != nil {
		return endCall(refuse.FromError(err, refuse.Unknown))
	}
	return resolution{reply: r, refusal: e, expect: n}
}

// fence prevents an agent that gave no answer from sending the call later. It marks
// the claim not-run at the revision that the agent's own write expects, so that
// write fails. When another write came first, its claim shows what happened. The
// call's cancellation and deadline don't apply; fenceTimeout bounds the whole.
func (x *Executor) fence(ctx context.Context, j *job, k claim.Key, expect ident.Revision) resolution {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	c, err := x.o.Claims.MarkNotRun(ctx, k, claim.NotRunMark{Expect: expect, Digest: digest(j), Request: j.ID})
	var t *claim.ConflictError
	if errors.As(err, &t) {
		return x.resolveConflict(ctx, j, k, t.Claim)
	}
	if err != nil {
		return endCall(refuse.New(refuse.ClaimUnknown, refuse.Unknown, "the agent gave no answer and the claim could not be settled").WithRetryAfter(retryAfter))
	}
	x.count.Fenced.Add(1)
	x.record(event.ClaimNotRun, j, nil)
	return retryNotRun(c)
}

// retryNotRun permits another attempt on top of a claim that proves that the call did not run.
func retryNotRun(c *claim.Claim) resolution {
	e := refuse.New(refuse.UpstreamFailed, refuse.NotRun, "the agent gave no answer; the call did not run").WithRetryAfter(retryAfter)
	return resolution{refusal: e, expect: c.Revision}
}

// resolveConflict decides what follows a fence that failed since another write had
// changed the claim to c. If the call was dispatched, it waits for the result until ctx
// ends.
func (x *Executor) resolveConflict(ctx context.Context, j *job, k claim.Key, c *claim.Claim) resolution {
	if c != nil && c.State == claim.StateNotRun {
		return retryNotRun(c)
	}
	c, err := x.awaitClaim(ctx, k, c)
	if err != nil || c == nil || c.State == claim.StateDispatched {
		return endCall(refuse.New(refuse.ClaimUnknown, refuse.Unknown, "the call was dispatched and its result is not known").WithRetryAfter(retryAfter))
	}
	if c.State == claim.StateNotRun {
		return retryNotRun(c)
	}
	r, err := recordedReply(j, c)
	if err != nil {
		return endCall(refuse.FromError(err, refuse.Unknown))
	}
	return resolution{reply: r}
}

// readClaim reads the claim of a key. It returns the revision that the agent's
// write must expect, 0 when there is no claim, or the recorded result of an
// earlier call with the same content. It waits up to duplicateWait for the result
// of a running one, and refuses a key that was used for another content.
func (x *Executor) readClaim(ctx context.Context, j *job, k claim.Key) (ident.Revision, *Reply, error) {
	c, err := x.o.Claims.Read(ctx, k)
	if err == nil && c != nil && c.State == claim.StateDispatched && c.Digest == digest(j) {
		w, cancel := context.WithTimeout(ctx, duplicateWait)
		c, err = x.awaitClaim(w, k, c)
		cancel()
	}
	if err != nil {
		return 0, nil, x.claimUnreadable(ctx)
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
		r, err := recordedReply(j, c)
		return 0, r, err
	default:
		if !c.At.IsZero() && x.o.Now().Sub(c.At) > x.o.MaxTimeout+clockMargin {
			// No call runs longer than MaxTimeout, so the agent was lost. Only the
			// service can tell whether the call ran.
			return 0, nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "an earlier call with this Idempotency-Key was sent and its result is lost")
		}
		return 0, nil, refuse.New(refuse.KeyInProgress, refuse.Unknown, "a call with this Idempotency-Key is running").WithRetryAfter(retryAfter)
	}
}

// claimUnreadable refuses a call whose claim could not be read. An earlier call with
// the key may have run through any entry, so the refusal can't say not-run.
func (x *Executor) claimUnreadable(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return abort.Refusal(ctx, refuse.Unknown)
	}
	return refuse.New(refuse.ClaimUnknown, refuse.Unknown,
		"claims can't be read now: nothing was sent for this request, but an earlier one with this Idempotency-Key may have run; repeat it with the same key").WithRetryAfter(retryAfter)
}

// awaitClaim reads a claim until it is no longer dispatched or ctx ends. It returns
// the claim as it was last read, and an error only for a read that failed before
// ctx ended.
func (x *Executor) awaitClaim(ctx context.Context, k claim.Key, c *claim.Claim) (*claim.Claim, error) {
	for c == nil || c.State == claim.StateDispatched {
		t := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return c, nil
		case <-t.C:
		}
		n, err := x.o.Claims.Read(ctx, k)
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

// recordedReply returns the result that a claim holds. It refuses a key that was
// used for another call, and a result that was too large to be recorded.
func recordedReply(j *job, c *claim.Claim) (*Reply, error) {
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
