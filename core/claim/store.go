package claim

import (
	"context"
	"errors"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
)

// Store reads and writes claims in the table. It is safe for concurrent use. Writes
// whose outcome a call could not determine are queued, and Run completes them.
type Store struct {
	client table.Client
	queued chan pendingWrite
	counts counters
}

// New returns a store of the claims in the table that c reads and writes.
func New(c table.Client) *Store {
	return &Store{client: c, queued: make(chan pendingWrite, maxQueuedWrites)}
}

// Read returns the claim of a key, or nil if the key has no claim. It returns a refusal
// ClaimsUnavailable when the table can't be read.
func (s *Store) Read(ctx context.Context, k Key) (*Claim, error) {
	r, err := s.client.Get(ctx, k.row())
	if table.IsMissing(err) {
		return nil, nil
	}
	if err != nil {
		return nil, claimsUnavailable(k, err)
	}
	return decode(k, r)
}

// Dispatch writes a dispatched claim for a call. Only a caller that gets the claim back
// may send the call, and none may send it after an error. It returns a *ConflictError
// when another write changed the claim first, and refusals: KeyReused when the key is
// claimed for another body, ClaimsUnavailable when nothing was written, ClaimFenced
// when the expected row does not exist, and ClaimUnknown when ctx ended before the
// outcome of the write was known. In the last case Run marks the claim not-run later.
func (s *Store) Dispatch(ctx context.Context, k Key, d Dispatch) (*Claim, error) {
	if err := s.check(ctx, k, d.Expect, d.Digest); err != nil {
		return nil, err
	}
	// The random suffix is unique to this call: with d.Token alone, a repeat of the
	// attempt would find its own token in the row and take this write for its own.
	token := d.Token + "/" + table.NewWriteToken()
	c, err := s.put(ctx, Claim{
		Key:      k,
		Revision: d.Expect,
		State:    StateDispatched,
		Digest:   d.Digest,
		Request:  d.Request,
		Upstream: d.Upstream,
		At:       d.At,
	}, token)
	if err == nil {
		return c, nil
	}
	if t, ok := table.AsConflict(err); ok {
		return nil, dispatchConflict(k, t, d.Digest)
	}
	if table.NotApplied(err) {
		return nil, claimsUnavailable(k, err)
	}
	s.queue(&dispatchUndo{key: k, dispatch: d, token: token})
	return nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "claim call of service %s: %v", k.Service, err)
}

// Finish records the result of a dispatched call. It returns a *ConflictError when
// another write changed the claim. When the table gives no answer, it returns that
// error and queues the write for Run.
func (s *Store) Finish(ctx context.Context, c *Claim, r Result) error {
	w := &resultWrite{claim: *c, result: dropLargeBody(r), token: table.NewWriteToken()}
	err := w.run(ctx, s)
	if table.IsUnavailable(err) {
		s.queue(w)
	}
	return err
}

// Abandon marks a claim not-run whose call was not sent. Only the process that got the
// claim from Dispatch may call it, and it must not send the call afterwards. When the
// table gives no answer, it returns that error and queues the write for Run.
func (s *Store) Abandon(ctx context.Context, c *Claim) error {
	w := &abandonWrite{claim: *c, token: table.NewWriteToken()}
	err := w.run(ctx, s)
	if table.IsUnavailable(err) {
		s.queue(w)
	}
	return err
}

// MarkNotRun proves, if it returns no error, that a call did not run. It writes a
// not-run claim on top of revision m.Expect, so that no dispatch that expects this
// revision can succeed any more. A later not-run claim of another process for the same
// digest is the same proof, since a claim is marked not-run only if its call was not
// sent. It returns a *ConflictError when another write changed the claim and gives no
// such proof, and refusals: KeyReused, ClaimFenced, and ClaimUnknown when the outcome
// is not known. After an error the call may have run.
func (s *Store) MarkNotRun(ctx context.Context, k Key, m NotRunMark) (*Claim, error) {
	c, err := s.tryMark(ctx, k, m)
	var t *ConflictError
	if errors.As(err, &t) && t.Claim.State == StateNotRun && t.Claim.Revision > m.Expect && t.Claim.Digest == m.Digest {
		return t.Claim, nil
	}
	if e, ok := refuse.As(err); ok && e.Code == refuse.ClaimsUnavailable {
		return nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "%s", e.Message)
	}
	if e, ok := refuse.As(err); ok {
		return nil, refuse.New(e.Code, refuse.Unknown, "%s", e.Message)
	}
	return c, err
}

// tryMark checks the current claim and writes the not-run claim. It returns the claim
// of another process as a *ConflictError, also when that claim is a proof.
func (s *Store) tryMark(ctx context.Context, k Key, m NotRunMark) (*Claim, error) {
	if err := s.check(ctx, k, m.Expect, m.Digest); err != nil {
		return nil, err
	}
	c, err := s.putNotRun(ctx, k, m)
	if t, ok := table.AsConflict(err); ok {
		return nil, claimConflict(k, t)
	}
	if err != nil {
		return nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "mark call of service %s not-run: %v", k.Service, err)
	}
	return c, nil
}

func (s *Store) putNotRun(ctx context.Context, k Key, m NotRunMark) (*Claim, error) {
	return s.put(ctx, Claim{Key: k, Revision: m.Expect, Digest: m.Digest, Request: m.Request, State: StateNotRun}, table.NewWriteToken())
}

// put writes a claim on top of its revision and returns it with the new revision.
func (s *Store) put(ctx context.Context, c Claim, t table.WriteToken) (*Claim, error) {
	body, err := encode(&c)
	if err != nil {
		return nil, err
	}
	if err := s.client.PutWithRetry(ctx, table.Write{Key: c.Key.row(), Expect: c.Revision, Token: t, Body: body}); err != nil {
		return nil, err
	}
	c.Revision++
	return &c, nil
}

// check reads the claim that a write replaces and returns an error if the write must
// not replace it. A write that expects revision 0 needs no read, since its condition
// fails when there is a row.
func (s *Store) check(ctx context.Context, k Key, expect ident.Revision, d CallDigest) error {
	if expect == 0 {
		return nil
	}
	c, err := s.Read(ctx, k)
	if err != nil {
		return err
	}
	return checkReplaceable(c, k, expect, d)
}

// dispatchConflict converts the conflict of a dispatch. It returns a refusal KeyReused
// when the claim in the table was made for another body.
func dispatchConflict(k Key, t *table.ConflictError, d CallDigest) error {
	err := claimConflict(k, t)
	var e *ConflictError
	if errors.As(err, &e) && e.Claim.Digest != d {
		return keyReused(k)
	}
	return err
}

// claimConflict converts a conflict to a *ConflictError with the claim in the table, or
// to a refusal ClaimFenced when there is no row.
func claimConflict(k Key, t *table.ConflictError) error {
	if t.Current == nil {
		return refuse.New(refuse.ClaimFenced, refuse.Unknown, "write claim of service %s: the claim is gone", k.Service)
	}
	c, err := decode(k, *t.Current)
	if err != nil {
		return err
	}
	return &ConflictError{Claim: c}
}

func claimsUnavailable(k Key, err error) error {
	return refuse.New(refuse.ClaimsUnavailable, refuse.NotRun, "claim call of service %s: %v", k.Service, err)
}
