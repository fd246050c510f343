package claim

import (
	"context"
	"errors"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
)

// Store reads and writes claims. It is safe for concurrent use. Run completes
// writes whose outcome stayed unknown.
type Store struct {
	client table.Client
	later  chan job
	counts counters
}

// New returns a book of the claims in a table.
func New(c table.Client) *Store {
	return &Store{client: c, later: make(chan job, maxLater)}
}

// Read returns the claim of a key, nil when there is none. It returns a refusal
// ClaimsUnavailable when the table can't be read.
func (s *Store) Read(ctx context.Context, k Key) (*Claim, error) {
	r, err := s.client.Get(ctx, k.row())
	if table.IsMissing(err) {
		return nil, nil
	}
	if err != nil {
		return nil, unavailable(k, err)
	}
	return decode(k, r)
}

// Dispatch claims a call for the caller, who alone may send it and only after
// Dispatch returned a claim. It returns a *TakenError when another write came first
// and refusals: KeyReused, ClaimsUnavailable when nothing was written, ClaimFenced,
// and ClaimUnknown when ctx ended before the outcome was known. The call must not
// be sent after any error.
func (s *Store) Dispatch(ctx context.Context, k Key, d Dispatch) (*Claim, error) {
	if err := s.check(ctx, k, d.Expect, d.Digest); err != nil {
		return nil, err
	}
	// The suffix keeps a repeat of the attempt from taking this write for its own.
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
		return nil, taken(k, t, d.Digest)
	}
	if table.NotApplied(err) {
		return nil, unavailable(k, err)
	}
	s.queue(&abandon{key: k, dispatch: d, token: token})
	return nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "claim call of service %s: %v", k.Service, err)
}

// Finish records the result of a dispatched call. When the table gives no answer,
// it returns the error and Run records the result later.
func (s *Store) Finish(ctx context.Context, c *Claim, r Result) error {
	j := &finish{claim: *c, result: bounded(r), token: table.NewWriteToken()}
	err := j.run(ctx, s)
	if table.IsUnavailable(err) {
		s.queue(j)
	}
	return err
}

// Abandon marks a claim not-run that Dispatch returned and whose call was not sent.
// Only its holder may do so, and it must not send the call afterwards. When the
// table gives no answer, it returns the error and Run marks the claim later.
func (s *Store) Abandon(ctx context.Context, c *Claim) error {
	j := &release{claim: *c, token: table.NewWriteToken()}
	err := j.run(ctx, s)
	if table.IsUnavailable(err) {
		s.queue(j)
	}
	return err
}

// MarkNotRun makes sure that no dispatch that expects m.Expect can follow, and so
// gives the proof that the call did not run. A claim that another process marked
// not-run is the same proof, since only a call that was not sent is marked. It
// returns a *TakenError when the claim is dispatched or done and refusals:
// KeyReused, ClaimFenced, and ClaimUnknown when the outcome is not known; none of
// the errors is a proof.
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

func (s *Store) tryMark(ctx context.Context, k Key, m NotRunMark) (*Claim, error) {
	if err := s.check(ctx, k, m.Expect, m.Digest); err != nil {
		return nil, err
	}
	c, err := s.mark(ctx, k, m)
	if t, ok := table.AsConflict(err); ok {
		return nil, current(k, t)
	}
	if err != nil {
		return nil, refuse.New(refuse.ClaimUnknown, refuse.Unknown, "mark call of service %s not-run: %v", k.Service, err)
	}
	return c, nil
}

func (s *Store) mark(ctx context.Context, k Key, m NotRunMark) (*Claim, error) {
	return s.put(ctx, Claim{Key: k, Revision: m.Expect, Digest: m.Digest, Request: m.Request, State: StateNotRun}, table.NewWriteToken())
}

// put writes a claim on top of its revision and returns it as it then stands.
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

// check reads the row that a write follows. A first claim follows no row and is
// made without a read.
func (s *Store) check(ctx context.Context, k Key, expect ident.Revision, d BodyDigest) error {
	if expect == 0 {
		return nil
	}
	c, err := s.Read(ctx, k)
	if err != nil {
		return err
	}
	return decide(c, k, expect, d)
}

// taken returns the error of a dispatch that lost against another write.
func taken(k Key, t *table.ConflictError, d BodyDigest) error {
	err := current(k, t)
	var e *ConflictError
	if errors.As(err, &e) && e.Claim.Digest != d {
		return reused(k)
	}
	return err
}

func current(k Key, t *table.ConflictError) error {
	if t.Current == nil {
		return refuse.New(refuse.ClaimFenced, refuse.Unknown, "write claim of service %s: the claim is gone", k.Service)
	}
	c, err := decode(k, *t.Current)
	if err != nil {
		return err
	}
	return &ConflictError{Claim: c}
}

func unavailable(k Key, err error) error {
	return refuse.New(refuse.ClaimsUnavailable, refuse.NotRun, "claim call of service %s: %v", k.Service, err)
}
