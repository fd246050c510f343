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

// runOnce sends a call that may run only once. It connects first, so that a service that
// refuses connections uses up no claim. It writes the claim immediately before it sends
// the call, and sends the call only if that write is known to have succeeded.
func (x *Executor) runOnce(ctx context.Context, j *execution) (*wire.CallResult, *refuse.Error) {
	q := j.request
	n, err := x.options.Plain.Connect(ctx)
	if err != nil {
		return nil, x.failureOf(ctx, j, err)
	}
	defer n.Close()
	k := claim.Key{Account: j.work.Account, Service: j.work.Service, Idempotency: q.GetIdempotencyKey()}
	d := claim.Dispatch{
		Expect:   ident.Revision(q.GetClaimRevision()),
		Digest:   claim.DigestOf(q.GetMethod(), q.GetPath(), q.GetBody()),
		Request:  ident.RequestID(q.GetRequestId()),
		Upstream: x.options.Upstream,
		At:       x.options.Now(),
		Token:    x.options.NewToken(),
	}
	m, err := x.claim(ctx, k, d)
	if err != nil {
		return claimError(err, d.Digest)
	}
	x.record(j, event.ClaimDispatched, nil)
	// The write may have taken long, and the document or the deadline may not permit the
	// call any more. Nothing was sent, so the claim can be marked not-run.
	if ref := j.ticket.Check(); ref != nil {
		x.abandon(ctx, j, m)
		return nil, ref
	}
	return x.sendOnce(ctx, j, n, m)
}

// abandon marks the claim of a call that was not sent as not-run. If the table gives no
// answer, the claim store repeats the write in the background.
func (x *Executor) abandon(ctx context.Context, j *execution, m *claim.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.options.RecordTimeout)
	defer cancel()
	if err := x.options.Claims.Abandon(ctx, m); err != nil {
		x.options.Log.Warn().Err(err).Str("request", j.request.GetRequestId()).Msg("abandon claim")
		return
	}
	x.record(j, event.ClaimNotRun, nil)
}

// claim writes the claim. Its timeout keeps an unavailable table from delaying the answer
// until the deadline of the call.
func (x *Executor) claim(ctx context.Context, k claim.Key, d claim.Dispatch) (*claim.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, x.options.ClaimTimeout)
	defer cancel()
	return x.options.Claims.Dispatch(ctx, k, d)
}

// claimError answers a call whose claim was not written, or may not have been: with the
// recorded result of an earlier call with the key, or with a refusal. The claim store
// resolves a write of unknown outcome in the background.
func claimError(err error, d claim.CallDigest) (*wire.CallResult, *refuse.Error) {
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

// replay returns the recorded result of a call, or a refusal if it was not kept.
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

// sendOnce sends a claimed call on its connection and records the result in the claim.
func (x *Executor) sendOnce(ctx context.Context, j *execution, n *plain.Conn, m *claim.Claim) (*wire.CallResult, *refuse.Error) {
	r, err := n.Do(ctx, x.beginCall(j))
	if err == nil {
		x.addReceipt(j, ledger.OutcomeComplete)
		x.recordResult(ctx, j, m, claim.Result{StatusCode: r.StatusCode, ContentType: r.ContentType, Body: r.Body})
		return toWire(r), nil
	}
	// After a failure without an answer the claim stays dispatched permanently: the call may
	// have run and must not be sent again.
	ref := x.failureOf(ctx, j, err)
	var l *plain.TooLargeError
	if errors.As(err, &l) {
		x.recordResult(ctx, j, m, claim.Result{StatusCode: l.Status, Truncated: true})
	}
	return nil, ref
}

// recordResult records a result in the claim. The answer waits for the write for at most
// RecordTimeout; if the table gives no answer, the claim store repeats it in the background.
func (x *Executor) recordResult(ctx context.Context, j *execution, m *claim.Claim, r claim.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.options.RecordTimeout)
	defer cancel()
	if err := x.options.Claims.Finish(ctx, m, r); err != nil {
		x.options.Log.Warn().Err(err).Str("request", j.request.GetRequestId()).Msg("record result of call")
		return
	}
	x.record(j, event.ClaimDone, nil)
}
