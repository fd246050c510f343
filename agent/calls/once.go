package calls

import (
	"context"
	"errors"

	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// once sends a call that may run only once. The connection comes first, so that
// a service that refuses connections costs no claim. The claim is written
// immediately before sending, and the call is sent only if that write is known
// to have taken effect.
func (c *Caller) once(ctx context.Context, j *job) (*wire.CallResult, *refuse.Error) {
	q := j.request
	n, err := c.options.Plain.Connect(ctx)
	if err != nil {
		return nil, c.failure(ctx, j, err)
	}
	defer n.Close()
	k := claim.Key{Account: j.work.Account, Service: j.work.Service, Idempotency: q.GetIdempotencyKey()}
	d := claim.Dispatch{
		Expect:   ident.Revision(q.GetClaimRevision()),
		Digest:   claim.DigestOf(q.GetMethod(), q.GetPath(), q.GetBody()),
		Request:  ident.RequestID(q.GetRequestId()),
		Upstream: c.options.Upstream,
		At:       c.options.Now(),
		Token:    c.options.NewToken(),
	}
	m, err := c.claim(ctx, k, d)
	if err != nil {
		return notDispatched(err, d.Digest)
	}
	c.record(j, event.ClaimDispatched, nil)
	// The write may have taken long, and the document or the deadline may rule
	// the call out by now. Nothing was sent, so the claim is given back.
	if ref := j.ticket.Check(); ref != nil {
		c.abandon(ctx, j, m)
		return nil, ref
	}
	return c.sendOnce(ctx, j, n, m)
}

// abandon marks a claim not-run whose call was not sent; the claim book repeats
// the write in the background until it is stored.
func (c *Caller) abandon(ctx context.Context, j *job, m *claim.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.RecordWait)
	defer cancel()
	if err := c.options.Claims.Abandon(ctx, m); err != nil {
		c.options.Log.Warn().Err(err).Str("request", j.request.GetRequestId()).Msg("give the claim back later")
		return
	}
	c.record(j, event.ClaimNotRun, nil)
}

// claim bounds the write of the claim, so that a table that is down does not
// hold the answer until the caller's deadline.
func (c *Caller) claim(ctx context.Context, k claim.Key, d claim.Dispatch) (*claim.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ClaimLimit)
	defer cancel()
	return c.options.Claims.Dispatch(ctx, k, d)
}

// notDispatched answers a call whose dispatch was not written, or may not have
// been. The claim book settles a write of unknown outcome in the background.
func notDispatched(err error, d claim.CallDigest) (*wire.CallResult, *refuse.Error) {
	var t *claim.ConflictError
	if !errors.As(err, &t) {
		return nil, refuse.FromError(err, refuse.Unknown)
	}
	switch {
	case t.Claim.Digest != d:
		return nil, refuse.New(refuse.KeyReused, refuse.NotRun, "claim call: the key was used for another call")
	case t.Claim.State == claim.StateDone:
		return replay(t.Claim.Result)
	case t.Claim.State == claim.StateNotRun:
		return nil, refuse.New(refuse.ClaimFenced, refuse.NotRun, "claim call: this attempt was ruled out before it was sent")
	}
	return nil, refuse.New(refuse.KeyInProgress, refuse.Unknown, "claim call: a call with this key was sent and has no recorded result")
}

func replay(r *claim.Result) (*wire.CallResult, *refuse.Error) {
	if r == nil || r.Truncated {
		return nil, refuse.New(refuse.UpstreamFailed, refuse.DidRun, "claim call: the call ran, but its result was too large to be recorded")
	}
	return &wire.CallResult{
		StatusCode:  uint32(r.StatusCode),
		ContentType: r.ContentType,
		Body:        r.Body,
		Replayed:    true,
	}, nil
}

func (c *Caller) sendOnce(ctx context.Context, j *job, n *plain.Conn, m *claim.Claim) (*wire.CallResult, *refuse.Error) {
	r, err := n.Do(ctx, c.call(j))
	if err == nil {
		c.receipt(j, ledger.OutcomeComplete)
		c.finish(ctx, j, m, claim.Result{StatusCode: r.StatusCode, ContentType: r.ContentType, Body: r.Body})
		return result(r), nil
	}
	// After a failure without an answer the claim stays dispatched for good: no
	// one may send this call again.
	ref := c.failure(ctx, j, err)
	var l *plain.TooLargeError
	if errors.As(err, &l) {
		c.finish(ctx, j, m, claim.Result{StatusCode: l.Status, Truncated: true})
	}
	return nil, ref
}

// finish records a result. The answer waits for it only briefly; the claim book
// repeats the write in the background until it is stored.
func (c *Caller) finish(ctx context.Context, j *job, m *claim.Claim, r claim.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.RecordWait)
	defer cancel()
	if err := c.options.Claims.Finish(ctx, m, r); err != nil {
		c.options.Log.Warn().Err(err).Str("request", j.request.GetRequestId()).Msg("record result later")
		return
	}
	c.record(j, event.ClaimDone, nil)
}
