package relay

import (
	"context"
	"hash/fnv"
	"strconv"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
)

// taken is an attempt that ended with a complete answer.
type taken struct {
	attempt *attempt
	end     *wire.End
	// held is the output of an attempt that did not go straight to the caller.
	held []*wire.Data
}

// step runs one model of a plan on one upstream after another.
func (r *Relay) step(ctx context.Context, q *request, s Step, direct bool) (*taken, error) {
	var tried []ident.UpstreamID
	var last *refuse.Error
	for range maxTries {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		l, ok := r.pick(q, s, tried)
		if !ok {
			break
		}
		tried = append(tried, l.Upstream())
		t := &taken{}
		a := r.attempt(q, s, l, direct, t)
		o := a.run(ctx)
		if f, ok := o.(finished); ok {
			q.ran = refuse.DidRun
			r.o.Fleet.Ended(l.Upstream(), true)
			t.end = f.end
			return t, nil
		}
		again, err := r.failed(ctx, q, a, o)
		if !again {
			return nil, err
		}
		last, _ = refuse.As(err)
	}
	if last != nil {
		return nil, last
	}
	return nil, refuse.New(refuse.NoUpstream, q.ran, "no upstream can serve %s now", s.Version).After(retryLater)
}

func (r *Relay) pick(q *request, s Step, tried []ident.UpstreamID) (*agents.Link, bool) {
	return r.o.Fleet.Pick(Place{
		Version:  s.Version,
		Input:    q.input,
		Output:   ident.Tokens(q.MaxTokens),
		Prefixes: q.hashes,
		Seed:     seed(q.ID, q.attempts),
		Account:  q.account,
		Exclude:  tried,
	})
}

func seed(id ident.RequestID, n ident.Attempt) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{byte(n)})
	return h.Sum64()
}

func (r *Relay) attempt(q *request, s Step, l *agents.Link, direct bool, t *taken) *attempt {
	q.attempts++
	a := &attempt{r: r, q: q, n: q.attempts, step: s, link: l, direct: direct}
	a.out = func(d *wire.Data) error { return r.pass(q, a, d) }
	if !direct {
		a.out = func(d *wire.Data) error {
			t.held = append(t.held, d)
			return nil
		}
	}
	t.attempt = a
	r.record(event.AttemptStarted, q, map[string]string{
		"attempt":  strconv.Itoa(int(a.n)),
		"upstream": string(l.Upstream()),
		"version":  s.Version.String(),
	})
	return a
}

// failed decides what follows an attempt without an answer: another upstream,
// a new plan, or the error as it is.
func (r *Relay) failed(ctx context.Context, q *request, a *attempt, o outcome) (bool, error) {
	switch o := o.(type) {
	case refused:
		return r.refused(ctx, q, a, o.err)
	case lost:
		q.ran = worse(q.ran, refuse.Unknown)
		r.o.Fleet.Ended(a.link.Upstream(), false)
		e := refuse.New(refuse.UpstreamFailed, q.ran, "upstream %s was lost: %s", a.link.Upstream(), o.why).After(retryLater)
		return r.retry(ctx, q, e)
	case stopped:
		q.ran = worse(q.ran, refuse.Unknown)
		return false, refuse.New(refuse.Cancelled, q.ran, "the request was stopped")
	default:
		return false, refuse.New(refuse.Internal, refuse.Unknown, "unexpected end of an attempt")
	}
}

func (r *Relay) refused(ctx context.Context, q *request, a *attempt, e *refuse.Error) (bool, error) {
	q.ran = worse(q.ran, e.Ran)
	switch e.Code {
	case refuse.StaleGeneration, refuse.AgentBehind, refuse.VersionWithdrawn, refuse.VersionHalted:
		if e.Ran != refuse.NotRun || q.texts > 0 {
			break
		}
		if err := a.link.CatchUp(ctx); err != nil {
			return r.retry(ctx, q, e)
		}
		return false, &replan{refusal: e}
	case refuse.Draining:
		// The agent has done nothing yet, so going elsewhere adds no load and is not charged to the budget.
		if e.Ran == refuse.NotRun && q.texts == 0 {
			return true, e
		}
	case refuse.UpstreamFailed, refuse.Internal:
		r.o.Fleet.Ended(a.link.Upstream(), false)
		r.observe(q, a, nil)
	}
	return r.retry(ctx, q, e)
}

// retry allows another attempt when the caller has nothing of the answer yet
// and the budget has a retry left.
func (r *Relay) retry(ctx context.Context, q *request, e *refuse.Error) (bool, error) {
	if q.texts > 0 {
		r.count.Broken.Add(1)
		return false, refuse.New(refuse.StreamBroken, refuse.DidRun, "the stream can't be continued: %s", e.Message)
	}
	if !repeatable(e) || !r.o.Decider.Retry(ctx) {
		return false, e
	}
	r.count.Retries.Add(1)
	return true, e
}

// repeatable reports whether another upstream may answer what this one refused.
func repeatable(e *refuse.Error) bool {
	switch e.Code {
	case refuse.BadRequest, refuse.ModelNotAllowed, refuse.ModelUnknown, refuse.DeadlineExceeded, refuse.Cancelled, refuse.BodyTooLarge:
		return false
	default:
		return true
	}
}

// worse joins what is known of two attempts: ran outweighs unknown, unknown outweighs not-run.
func worse(a, b refuse.Ran) refuse.Ran {
	if a == refuse.DidRun || b == refuse.DidRun {
		return refuse.DidRun
	}
	if a == refuse.Unknown || b == refuse.Unknown {
		return refuse.Unknown
	}
	return refuse.NotRun
}
