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

// completed is an attempt with its complete answer.
type completed struct {
	attempt *attempt
	end     *wire.End
	// buffered is the buffered output; it is empty if the output went directly to the caller.
	buffered []*wire.Data
}

// retryMode is what may follow an attempt without an answer.
type retryMode int

const (
	// noRetry ends the step.
	noRetry retryMode = iota
	// freeRetry permits another upstream without taking a retry from the budget, since
	// the attempt caused no load.
	freeRetry
	// budgetRetry permits another upstream if the budget has a retry left.
	budgetRetry
)

// runStep runs one version of a plan at one upstream after another until an attempt
// has a complete answer. With direct, output goes to the caller as it arrives.
// Without it, no other upstream is tried after an attempt that may have run; the
// next step of the plan, if there is one, can still answer.
func (r *Relay) runStep(ctx context.Context, q *request, s Step, direct bool) (*completed, error) {
	var tried []ident.UpstreamID
	var last error
	next := freeRetry
	for range maxUpstreams {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		l, ok := r.pick(q, s, tried)
		if !ok {
			break
		}
		if next == budgetRetry && !r.retry(ctx) {
			return nil, last
		}
		tried = append(tried, l.Upstream())
		t := &completed{}
		a := r.attempt(q, s, l, direct, t)
		o := a.run(ctx)
		if f, ok := o.(finished); ok {
			q.ran = refuse.DidRun
			r.o.Fleet.Ended(l.Upstream(), true)
			t.end = f.end
			return t, nil
		}
		next, last = r.afterFailure(ctx, q, a, o)
		if next == noRetry || next == budgetRetry && !direct && q.ran != refuse.NotRun {
			return nil, last
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refuse.New(refuse.NoUpstream, q.ran, "no upstream can serve %s now", s.Version).WithRetryAfter(retryAfter)
}

// retry takes a retry from the budget and counts it.
func (r *Relay) retry(ctx context.Context) bool {
	if !r.o.Decider.Retry(ctx) {
		return false
	}
	r.count.Retries.Add(1)
	return true
}

// pick chooses an upstream for the next attempt of a step.
func (r *Relay) pick(q *request, s Step, tried []ident.UpstreamID) (*agents.Link, bool) {
	return r.o.Fleet.Pick(PickInfo{
		Version:  s.Version,
		Input:    q.input,
		Output:   q.output,
		Prefixes: q.prefixes,
		Seed:     seed(q.ID, q.attempts),
		Account:  q.account,
		Exclude:  tried,
	})
}

// seed returns a number that is the same at every entry for an attempt of a request.
func seed(id ident.RequestID, n ident.Attempt) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{byte(n)})
	return h.Sum64()
}

// attempt prepares the next attempt of a request. Its output goes to the sink, or
// to t without direct.
func (r *Relay) attempt(q *request, s Step, l *agents.Link, direct bool, t *completed) *attempt {
	q.attempts++
	a := &attempt{r: r, q: q, n: q.attempts, step: s, link: l, direct: direct}
	a.out = func(d *wire.Data) error { return r.relayText(q, a, d) }
	if !direct {
		a.out = func(d *wire.Data) error {
			t.buffered = append(t.buffered, d)
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

// afterFailure decides what follows an attempt without an answer, and returns the error
// that the caller gets if nothing else succeeds. A *replanError requires a new plan.
func (r *Relay) afterFailure(ctx context.Context, q *request, a *attempt, o outcome) (retryMode, error) {
	switch o := o.(type) {
	case refused:
		return r.afterRefusal(ctx, q, a, o.err)
	case lost:
		q.ran = mergeRan(q.ran, refuse.Unknown)
		r.o.Fleet.Ended(a.link.Upstream(), false)
		e := refuse.New(refuse.UpstreamFailed, q.ran, "upstream %s was lost: %s", a.link.Upstream(), o.why).WithRetryAfter(retryAfter)
		return r.retryElsewhere(q, e, budgetRetry)
	case stopped:
		q.ran = mergeRan(q.ran, refuse.Unknown)
		return noRetry, refuse.New(refuse.Cancelled, q.ran, "the request was stopped")
	default:
		return noRetry, refuse.New(refuse.Internal, refuse.Unknown, "unexpected end of an attempt")
	}
}

// afterRefusal is afterFailure for an attempt that the agent refused.
func (r *Relay) afterRefusal(ctx context.Context, q *request, a *attempt, e *refuse.Error) (retryMode, error) {
	q.ran = mergeRan(q.ran, e.Ran)
	switch e.Code {
	case refuse.StaleGeneration, refuse.AgentBehind, refuse.VersionWithdrawn, refuse.VersionHalted:
		if e.Ran != refuse.NotRun || q.textCount > 0 || a.link.CatchUp(ctx) != nil {
			break
		}
		return noRetry, &replanError{refusal: e}
	case refuse.Draining:
		// The agent did no work, so another attempt does not add load.
		if e.Ran == refuse.NotRun {
			return r.retryElsewhere(q, e, freeRetry)
		}
	case refuse.UpstreamFailed, refuse.Internal:
		r.o.Fleet.Ended(a.link.Upstream(), false)
		r.observe(q, a, nil)
	}
	return r.retryElsewhere(q, e, budgetRetry)
}

// retryElsewhere returns n if another upstream may be tried. That is not so if the caller
// already has a part of the answer, or if every upstream would refuse the request.
func (r *Relay) retryElsewhere(q *request, e *refuse.Error, n retryMode) (retryMode, error) {
	if q.textCount > 0 {
		r.count.Broken.Add(1)
		return noRetry, refuse.New(refuse.StreamBroken, refuse.DidRun, "the stream can't be continued: %s", e.Message)
	}
	if !repeatable(e) {
		return noRetry, e
	}
	return n, e
}

// repeatable reports whether another upstream may accept a request that was refused
// with e.
func repeatable(e *refuse.Error) bool {
	switch e.Code {
	case refuse.BadRequest, refuse.ModelNotAllowed, refuse.ModelUnknown, refuse.DeadlineExceeded, refuse.Cancelled, refuse.BodyTooLarge:
		return false
	default:
		return true
	}
}

// mergeRan combines what is known of two attempts: ran outweighs unknown, and
// unknown outweighs not-run.
func mergeRan(a, b refuse.Ran) refuse.Ran {
	if a == refuse.DidRun || b == refuse.DidRun {
		return refuse.DidRun
	}
	if a == refuse.Unknown || b == refuse.Unknown {
		return refuse.Unknown
	}
	return refuse.NotRun
}
