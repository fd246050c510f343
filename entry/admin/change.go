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
	maxReason = 500
	maxToken  = 64
	maxList   = 1000
)

// change is a document on its way to become a generation.
type change struct {
	verb   string
	body   []byte
	seen   ident.Generation
	reason string
	token  string
	did    []string
}

// promote makes a tried document the next generation.
func (a *API) promote(ctx context.Context, c *call) (any, error) {
	q, err := read[opsapi.PromoteRequest](c)
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
	return a.accept(ctx, c, change{verb: "promote", body: []byte(q.Body), seen: q.Seen, reason: q.Reason, token: q.Token})
}

func (a *API) checkTried(ctx context.Context, d envdoc.Digest) error {
	ok, err := a.o.Store.HasTrial(ctx, d)
	if err != nil {
		return refuse.New(refuse.TableUnavailable, refuse.NotRun, "read the trial of %s: %v", d, err).After(unavailableRetry)
	}
	if !ok {
		return refuse.New(refuse.DigestNotTried, refuse.NotRun, "no trial of the digest %s is recorded", d)
	}
	return nil
}

// rollback makes the document of an earlier generation the next generation. The
// document needs no trial, since it was in force before.
func (a *API) rollback(ctx context.Context, c *call) (any, error) {
	q, err := read[opsapi.RollbackRequest](c)
	if err != nil {
		return nil, err
	}
	if q.Generation == 0 || q.Generation >= q.Seen {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the generation to go back to must be from 1 to %d", max(q.Seen, 1)-1)
	}
	g, err := a.o.Store.Get(ctx, q.Generation)
	if err != nil {
		return nil, err
	}
	return a.accept(ctx, c, change{
		verb: "rollback", body: g.Document.Raw, seen: q.Seen, reason: q.Reason, token: q.Token,
		did: []string{fmt.Sprintf("document of generation %d accepted again", q.Generation)},
	})
}

// withdraw edits the document of the latest generation. It needs no trial, since
// a bad version must be stopped fast, but the result is validated.
func (a *API) withdraw(ctx context.Context, c *call) (any, error) {
	q, err := read[opsapi.WithdrawRequest](c)
	if err != nil {
		return nil, err
	}
	r, err := ident.ParseRef(q.Version)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
	}
	g, err := a.o.Store.Get(ctx, q.Seen)
	if err != nil {
		return nil, err
	}
	if _, ok := g.Document.Versions[r]; !ok {
		return nil, refuse.New(refuse.NotFound, refuse.NotRun, "generation %d has no version %s", q.Seen, r)
	}
	b, did, err := envdoc.Withdraw(g.Document, r)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
	}
	return a.accept(ctx, c, change{verb: "withdraw", body: b, seen: q.Seen, reason: q.Reason, token: q.Token, did: did})
}

// accept promotes a change and puts it in force here at once.
func (a *API) accept(ctx context.Context, c *call, n change) (any, error) {
	if err := checkReason(n.reason); err != nil {
		return nil, err
	}
	if len(n.token) > maxToken {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the token exceeds %d bytes", maxToken)
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
		// The operator and the digest keep tokens of two operators, or of two documents, apart.
		p.Token = table.WriteToken(fmt.Sprintf("%s/%s/%s", c.operator, n.token, d.Digest))
	}
	before := a.o.State.View()
	g, err := a.o.Store.Promote(ctx, p)
	if err != nil {
		err = a.lost(ctx, err)
		a.record(c, n.verb, n.reason, d.Digest, n.seen+1, err)
		return nil, err
	}
	a.record(c, n.verb, n.reason, d.Digest, g.Generation, nil)
	a.offer(ctx, g)
	return opsapi.AcceptedReply{Generation: generation(g), Did: n.did, Warnings: warnings(before, d)}, nil
}

// lost adds the latest generation to a lost race.
func (a *API) lost(ctx context.Context, err error) error {
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

// offer puts a generation in force here without waiting for the next read of the table.
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
		a.o.Log.Warn().Err(err).Uint64("generation", uint64(g.Generation)).Msg("accepted document waits for the next read of the table")
	}
}

// warnings name halts that stay in force and versions that take new work again.
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

func checkReason(s string) error {
	if s == "" || len(s) > maxReason || slices.ContainsFunc([]rune(s), unicode.IsControl) {
		return refuse.New(refuse.BadRequest, refuse.NotRun, "a change needs a reason of 1 to %d bytes on one line", maxReason)
	}
	return nil
}

// halt stops new work on a version at once. It needs no table: halts merge.
func (a *API) halt(ctx context.Context, c *call) (any, error) {
	q, err := read[opsapi.HaltRequest](c)
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

func (a *API) history(ctx context.Context, c *call) (any, error) {
	n, err := number(c, "limit", 20, maxList)
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

func number(c *call, key string, fallback, most int) (int, error) {
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

// record notes what an operator did or tried: who, why, with which digest, and how it ended.
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

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return string(toError(err).Code)
}
