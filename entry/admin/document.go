package admin

import (
	"context"
	"errors"
	"strconv"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
)

// document returns the document in force here, or that of ?generation=N.
func (a *API) document(ctx context.Context, c *call) (any, error) {
	t := c.URL.Query().Get("generation")
	if t == "" {
		v := a.o.State.View()
		if v.Accepted == nil {
			return nil, refuse.New(refuse.NoDocument, refuse.NotRun, "no document is in force")
		}
		return opsapi.DocumentReply{
			Generation:  generation(v.Accepted),
			ConfirmedBy: string(v.ConfirmedBy),
			Body:        string(v.Accepted.Document.Raw),
		}, nil
	}
	n, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "generation must be a number")
	}
	g, err := a.o.Store.Get(ctx, ident.Generation(n))
	if err != nil {
		return nil, err
	}
	return opsapi.DocumentReply{Generation: generation(g), Body: string(g.Document.Raw)}, nil
}

// validate checks a document and returns its problems without changing anything.
func (a *API) validate(_ context.Context, c *call) (any, error) {
	q, err := decode[opsapi.DocumentRequest](c)
	if err != nil {
		return nil, err
	}
	out := opsapi.ValidateReply{Digest: envdoc.DigestOf([]byte(q.Body)), Problems: []inidoc.Problem{}}
	d, err := a.parse(q.Body)
	var p *envdoc.ProblemsError
	switch {
	case errors.As(err, &p):
		out.Problems = p.Problems
	case err != nil:
		return nil, err
	default:
		out.Valid = true
		out.Name = d.Name
	}
	return out, nil
}

// parse parses and validates a document. It refuses the document of another
// environment, which would replace all accounts and models if it were accepted
// by mistake.
func (a *API) parse(body string) (*envdoc.Document, error) {
	d, err := envdoc.Parse([]byte(body))
	if err != nil {
		return nil, err
	}
	if err := documentProblems(d.CheckName(a.o.Environment)...); err != nil {
		return nil, err
	}
	return d, nil
}

// diff returns the differences between the latest accepted document and another one.
func (a *API) diff(ctx context.Context, c *call) (any, error) {
	q, err := decode[opsapi.DocumentRequest](c)
	if err != nil {
		return nil, err
	}
	d, err := a.parse(q.Body)
	if err != nil {
		return nil, err
	}
	before, g := a.latestDocument(ctx)
	return opsapi.DiffReply{Generation: g, Digest: d.Digest, Changes: changes(before, d)}, nil
}

// latestDocument returns the latest accepted document: that of the table, or the
// one in force here when the table can't be read.
func (a *API) latestDocument(ctx context.Context) (*envdoc.Document, ident.Generation) {
	v := a.o.State.View()
	n, err := a.o.Store.Latest(ctx, v.Generation())
	if err != nil || n == nil {
		return v.Document(), v.Generation()
	}
	return n.Document, n.Generation
}

// changes returns the differences of two documents, never nil, since the reply
// holds them as a JSON array.
func changes(before, after *envdoc.Document) []envdoc.Change {
	c := envdoc.Diff(before, after)
	if c == nil {
		return []envdoc.Change{}
	}
	return c
}

// trial validates a document, computes which recorded routing decisions would change
// under it, and records its digest as tried, so that it can be promoted.
func (a *API) trial(ctx context.Context, c *call) (any, error) {
	q, err := decode[opsapi.DocumentRequest](c)
	if err != nil {
		return nil, err
	}
	d, err := a.parse(q.Body)
	if err != nil {
		return nil, err
	}
	before, g := a.latestDocument(ctx)
	if err := checkCleared(d, g); err != nil {
		return nil, err
	}
	out := opsapi.TrialReply{Digest: d.Digest, Generation: g, Changes: changes(before, d)}
	a.compareDecisions(ctx, d, &out)
	err = trialError(a.o.Store.SaveTrial(ctx, accept.Trial{Digest: d.Digest, Operator: c.operator, At: a.o.Now()}))
	a.record(c, "trial", "", d.Digest, 0, err)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// trialError turns the error of recording a trial into a refusal OutcomeUnknown,
// unless it is certain that nothing was recorded.
func trialError(err error) error {
	if err == nil || table.NotApplied(err) {
		return err
	}
	return refuse.New(refuse.OutcomeUnknown, refuse.Unknown, "record the trial: %v", err)
}

// checkCleared refuses a document whose halts-cleared-at is above the latest generation.
func checkCleared(d *envdoc.Document, latest ident.Generation) error {
	return documentProblems(d.CheckCleared(latest)...)
}
