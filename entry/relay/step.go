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

// sequel says what may follow an attempt without an answer.
type sequel int

const (
	// giveUp ends the step.
	giveUp sequel = iota
	// goOn allows another upstream at no charge, since the attempt added no load.
	goOn
	// charged allows another upstream if the retry budget has a retry left.
	charged
)

// step runs one model of a plan on one upstream after another. A step whose
// output is held back leaves retries to the next step of the plan.
func (r *Relay) step(ctx context.Context, q *request, s Step, direct bool) (*taken, error) {
	var tried []ident.UpstreamID
	var last error
	next := goOn
	for range maxTries {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		l, ok := r.pick(q, s, tried)
		if !ok {
			break
		}
		if next == charged && !r.retry(ctx) {
			return nil, last
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
		next, last = r.failed(ctx, q, a, o)
		if next == giveUp || next == charged && !direct && q.ran != refuse.NotRun {
			return nil, last
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refuse.New(refuse.NoUpstream, q.ran, "no upstream can serve %s now", s.Version).After(retryLater)
}

func (r *Relay) retry(ctx context.Context) bool {
	if !r.o.Decider.Retry(ctx) {
		return false
	}
	r.count.Retries.Add(1)
	return true
}

func (r *Relay) pick(q *request, s Step, tried []ident.UpstreamID) (*agents.Link, bool) {
	return r.o.Fleet.Pick(PickInfo{
		Version:  s.Version,
		Input:    q.input,
		Output:   q.output,
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
func (r *Relay) failed(ctx context.Context, q *request, a *attempt, o outcome) (sequel, error) {
	switch o := o.(type) {
	case refused:
		return r.refused(ctx, q, a, o.err)
	case lost:
		q.ran = worse(q.ran, refuse.Unknown)
		r.o.Fleet.Ended(a.link.Upstream(), false)
		e := refuse.New(refuse.UpstreamFailed, q.ran, "upstream %s was lost: %s", a.link.Upstream(), o.why).After(retryLater)
		return r.elsewhere(q, e, charged)
	case stopped:
		q.ran = worse(q.ran, refuse.Unknown)
		return giveUp, refuse.New(refuse.Cancelled, q.ran, "the request was stopped")
	default:
		return giveUp, refuse.New(refuse.Internal, refuse.Unknown, "unexpected end of an attempt")
	}
}

func (r *Relay) refused(ctx context.Context, q *request, a *attempt, e *refuse.Error) (sequel, error) {
	q.ran = worse(q.ran, e.Ran)
	switch e.Code {
	case refuse.StaleGeneration, refuse.AgentBehind, refuse.VersionWithdrawn, refuse.VersionHalted:
		if e.Ran != refuse.NotRun || q.texts > 0 || a.link.CatchUp(ctx) != nil {
			break
		}
		return giveUp, &replan{refusal: e}
	case refuse.Draining:
		// The agent has done nothing, so going elsewhere adds no load.
		if e.Ran == refuse.NotRun {
			return r.elsewhere(q, e, goOn)
		}
	case refuse.UpstreamFailed, refuse.Internal:
		r.o.Fleet.Ended(a.link.Upstream(), false)
		r.observe(q, a, nil)
	}
	return r.elsewhere(q, e, charged)
}

// elsewhere allows another attempt when the caller has nothing of the answer yet.
func (r *Relay) elsewhere(q *request, e *refuse.Error, n sequel) (sequel, error) {
	if q.texts > 0 {
		r.count.Broken.Add(1)
		return giveUp, refuse.New(refuse.StreamBroken, refuse.DidRun, "the stream can't be continued: %s", e.Message)
	}
	if !repeatable(e) {
		return giveUp, e
	}
	return n, e
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
