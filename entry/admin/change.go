package admin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"unicode"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/wire"
)

const (
	// maxReasonBytes is the longest reason of a change in bytes.
	maxReasonBytes = 500
	// maxTokenBytes is the longest token of a promotion in bytes.
	maxTokenBytes = 64
	// maxHistory bounds the generations of one history reply.
	maxHistory = 1000
)

// change is a document that an operator asks to accept as the next generation.
type change struct {
	// verb is the operation in events and logs.
	verb string
	body []byte
	// seen is the latest generation that the operator saw. The change is refused
	// when it is no longer the latest.
	seen   ident.Generation
	reason string
	// token identifies repeats of the same change after a lost answer.
	token string
	// actions describes to the operator what the change did.
	actions []string
}

// promote accepts a tried document as the next generation.
func (a *API) promote(ctx context.Context, c *call) (any, error) {
	q, err := decode[opsapi.PromoteRequest](c)
	if err != nil {
		return nil, err
	}
	d, err := a.parse(q.Body)
	if err != nil {
		return nil, err
	}
	if d.Digest != q.Digest {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the document has the digest %s, not %s", d.Digest, q.Digest)
	}
	if err := a.checkTried(ctx, d.Digest); err != nil {
		return nil, err
	}
	return a.accept(ctx, c, change{verb: "promote", body: []byte(q.Body), seen: q.ExpectedLatest, reason: q.Reason, token: q.Token})
}

// checkTried returns a refusal when no trial of a document is recorded.
func (a *API) checkTried(ctx context.Context, d envdoc.Digest) error {
	ok, err := a.o.Store.HasTrial(ctx, d)
	if err != nil {
		return refuse.New(refuse.TableUnavailable, refuse.NotRun, "read the trial of %s: %v", d, err).WithRetryAfter(unavailableRetryAfter)
	}
	if !ok {
		return refuse.New(refuse.DigestNotTried, refuse.NotRun, "no trial of the digest %s is recorded", d)
	}
	return nil
}

// rollback accepts the document of an earlier generation as the next generation.
// The document needs no trial, since it was accepted before.
func (a *API) rollback(ctx context.Context, c *call) (any, error) {
	q, err := decode[opsapi.RollbackRequest](c)
	if err != nil {
		return nil, err
	}
	if q.Generation == 0 || q.Generation >= q.ExpectedLatest {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the generation to go back to must be from 1 to %d", max(q.ExpectedLatest, 1)-1)
	}
	g, err := a.o.Store.Get(ctx, q.Generation)
	if err != nil {
		return nil, err
	}
	return a.accept(ctx, c, change{
		verb: "rollback", body: g.Document.Raw, seen: q.ExpectedLatest, reason: q.Reason, token: q.Token,
		actions: []string{fmt.Sprintf("document of generation %d accepted again", q.Generation)},
	})
}

// withdraw accepts a document as the next generation in which a version of the
// generation that the operator saw is withdrawn. The edited document needs no
// trial, since a bad version must be stopped fast, but it is validated.
func (a *API) withdraw(ctx context.Context, c *call) (any, error) {
	q, err := decode[opsapi.WithdrawRequest](c)
	if err != nil {
		return nil, err
	}
	r, err := ident.ParseRef(q.Version)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
	}
	g, err := a.o.Store.Get(ctx, q.ExpectedLatest)
	if err != nil {
		return nil, err
	}
	if _, ok := g.Document.Versions[r]; !ok {
		return nil, refuse.New(refuse.NotFound, refuse.NotRun, "generation %d has no version %s", q.ExpectedLatest, r)
	}
	b, did, err := envdoc.Withdraw(g.Document, r)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
	}
	return a.accept(ctx, c, change{verb: "withdraw", body: b, seen: q.ExpectedLatest, reason: q.Reason, token: q.Token, actions: did})
}

// accept validates a change, writes it to the table as the next generation and
// puts it in force here at once.
func (a *API) accept(ctx context.Context, c *call, n change) (any, error) {
	if err := checkReason(n.reason); err != nil {
		return nil, err
	}
	if len(n.token) > maxTokenBytes {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the token exceeds %d bytes", maxTokenBytes)
	}
	d, err := a.parse(string(n.body))
	if err != nil {
		return nil, err
	}
	if err := checkCleared(d, n.seen); err != nil {
		return nil, err
	}
	p := accept.Promotion{Seen: n.seen, Body: n.body, Operator: c.operator, Reason: n.reason, At: a.o.Now()}
	if n.token != "" {
		// The operator and the digest make equal tokens of two operators, or for two
		// documents, different writes.
		p.Token = table.WriteToken(fmt.Sprintf("%s/%s/%s", c.operator, n.token, d.Digest))
	}
	before := a.o.State.View()
	g, err := a.o.Store.Promote(ctx, p)
	if err != nil {
		err = a.withLatest(ctx, err)
		a.record(c, n.verb, n.reason, d.Digest, n.seen+1, err)
		return nil, err
	}
	a.record(c, n.verb, n.reason, d.Digest, g.Generation, nil)
	a.offer(ctx, g)
	return opsapi.AcceptedReply{Generation: generation(g), Actions: n.actions, Warnings: warnings(before, d)}, nil
}

// withLatest adds the latest generation in the table to the error of a change that was
// refused because another change was accepted first. Other errors are returned unchanged.
func (a *API) withLatest(ctx context.Context, err error) error {
	e, ok := asConflict(err)
	if !ok {
		return err
	}
	c := &conflictError{seen: e.Seen, winner: e.Winner, latest: e.Winner.Generation}
	if n, err := a.o.Store.Latest(ctx, c.latest); err == nil && n != nil {
		c.latest = n.Generation
	}
	return c
}

// offer puts an accepted document in force here without waiting for the next read of
// the table. A failure is only logged, since that read makes up for it.
func (a *API) offer(ctx context.Context, g *spread.AcceptedDocument) {
	err := a.o.State.Adopt(ctx, &wire.Document{
		Generation:     uint64(g.Generation),
		Digest:         string(g.Document.Digest),
		Body:           g.Document.Raw,
		Operator:       string(g.Operator),
		Reason:         g.Reason,
		AcceptedUnixMs: g.At.UnixMilli(),
		Clock:          uint64(a.o.Ring.Clock().Next()),
	})
	if err != nil {
		a.o.Log.Warn().Err(err).Uint64("generation", uint64(g.Generation)).Msg("can't put the accepted document in force before the next read of the table")
	}
}

// warnings describes halts that an accepted document leaves in force, and withdrawn
// versions that it makes live again.
func warnings(before *spread.View, d *envdoc.Document) []string {
	var out []string
	old := before.Document()
	for _, r := range d.VersionRefs() {
		v := d.Versions[r]
		if h, ok := before.Halts[r]; ok && h.Generation > v.HaltsClearedAt && v.State == envdoc.StateLive {
			out = append(out, fmt.Sprintf("version %s stays halted; halts-cleared-at = %d would clear it", r, h.Generation))
		}
		if old != nil && old.Versions[r] != nil && old.Withdrawn(r) && v.State == envdoc.StateLive {
			out = append(out, fmt.Sprintf("version %s was withdrawn and takes new work again", r))
		}
	}
	return out
}

// checkReason refuses a reason that is empty, too long or has control characters.
func checkReason(s string) error {
	if s == "" || len(s) > maxReasonBytes || slices.ContainsFunc([]rune(s), unicode.IsControl) {
		return refuse.New(refuse.BadRequest, refuse.NotRun, "a change needs a reason of 1 to %d bytes on one line", maxReasonBytes)
	}
	return nil
}

// halt stops new work on a version at once. It does not need the table, since the
// instances exchange halts and merge them.
func (a *API) halt(ctx context.Context, c *call) (any, error) {
	q, err := decode[opsapi.HaltRequest](c)
	if err != nil {
		return nil, err
	}
	if err := checkReason(q.Reason); err != nil {
		return nil, err
	}
	r, err := ident.ParseRef(q.Version)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
	}
	v := a.o.State.View()
	if d := v.Document(); d != nil && d.Versions[r] == nil {
		return nil, refuse.New(refuse.NotFound, refuse.NotRun, "generation %d has no version %s", v.Generation(), r)
	}
	err = a.o.State.Halt(ctx, r, fmt.Sprintf("operator %s: %s", c.operator, q.Reason))
	a.recordVersion(c, "halt", q.Reason, r, v.Generation(), err)
	if err != nil {
		return nil, err
	}
	return opsapi.HaltReply{Version: r.String(), Generation: v.Generation()}, nil
}

// history returns the latest ?limit= generations, newest first.
func (a *API) history(ctx context.Context, c *call) (any, error) {
	n, err := intParam(c, "limit", 20, maxHistory)
	if err != nil {
		return nil, err
	}
	gs, err := a.o.Store.History(ctx, n)
	if err != nil {
		return nil, err
	}
	out := opsapi.HistoryReply{Generations: []opsapi.Generation{}}
	for i := range gs {
		out.Generations = append(out.Generations, generation(&gs[i]))
	}
	return out, nil
}

// intParam returns a query parameter from 1 to most, or fallback when it is missing.
// Other values are refused.
func intParam(c *call, key string, fallback, most int) (int, error) {
	t := c.URL.Query().Get(key)
	if t == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < 1 || n > most {
		return 0, refuse.New(refuse.BadRequest, refuse.NotRun, "%s must be from 1 to %d", key, most)
	}
	return n, nil
}

// record writes an operator's action on a document to the events and the log:
// who, why, the document's digest and the outcome. An action that fails while it is
// carried out is recorded too, a request that is refused before that is not.
func (a *API) record(c *call, verb, reason string, d envdoc.Digest, g ident.Generation, err error) {
	f := map[string]string{"verb": verb, "operator": string(c.operator), "digest": string(d), "outcome": outcome(err)}
	if reason != "" {
		f["reason"] = reason
	}
	if g > 0 {
		f["generation"] = strconv.FormatUint(uint64(g), 10)
	}
	a.o.Ring.Record(event.Event{Kind: event.OperatorAction, Request: ident.RequestID(c.id), Fields: f})
	a.log(f)
}

// recordVersion is record for an action on a version.
func (a *API) recordVersion(c *call, verb, reason string, r ident.VersionRef, g ident.Generation, err error) {
	f := map[string]string{
		"verb":       verb,
		"operator":   string(c.operator),
		"reason":     reason,
		"generation": strconv.FormatUint(uint64(g), 10),
		"outcome":    outcome(err),
	}
	a.o.Ring.Record(event.Event{Kind: event.OperatorAction, Request: ident.RequestID(c.id), Version: r, Fields: f})
	a.log(f)
}

func (a *API) log(f map[string]string) {
	a.o.Log.Info().Str("verb", f["verb"]).Str("operator", f["operator"]).Str("reason", f["reason"]).
		Str("digest", f["digest"]).Str("generation", f["generation"]).Str("outcome", f["outcome"]).Msg("operator action")
}

// outcome returns the outcome of an action as events have it: ok or a refusal code.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return string(toError(err).Code)
}
