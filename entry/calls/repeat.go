package calls

import (
	"context"
	"errors"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/retry"
)

// answer is what one attempt of a repeatable call gave.
type answer struct {
	result *wire.CallResult
	err    error
	link   *agents.Link
	// attempt numbers the attempt for its receipt.
	attempt uint32
	latency time.Duration
}

// repeatable runs a call that may run more than once.
func (d *Desk) repeatable(ctx context.Context, j *job) (*Reply, error) {
	var tried []ident.UpstreamID
	var last *refuse.Error
	ran := refuse.NotRun
	for range maxTries {
		l, ok := d.pick(j, tried)
		if !ok {
			break
		}
		tried = append(tried, l.Upstream())
		a := d.hedged(ctx, j, l, &tried)
		if a.err == nil {
			d.learn(j, a.latency)
			d.bill(j, a.link.Upstream(), a.attempt)
			return reply(a.result), nil
		}
		e, ok := refuse.As(a.err)
		if ok && d.caught(ctx, j, a.link, e) {
			tried = tried[:len(tried)-1]
			last = e
			continue
		}
		last = d.explain(ctx, a)
		ran = worse(ran, last.Ran)
		if ctx.Err() != nil || !d.again(ctx, last) {
			break
		}
	}
	if last == nil {
		return nil, refuse.New(refuse.NoUpstream, refuse.NotRun, "no upstream of service %q can take the call now", j.Service).After(retryLater)
	}
	e := *last
	e.Ran = worse(ran, last.Ran)
	return nil, &e
}

func (d *Desk) explain(ctx context.Context, a answer) *refuse.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse.New(refuse.DeadlineExceeded, refuse.Unknown, "the call's time is over")
	case ctx.Err() != nil:
		return refuse.New(refuse.Cancelled, refuse.Unknown, "the caller left")
	}
	if e, ok := refuse.As(a.err); ok {
		return e
	}
	return refuse.New(refuse.UpstreamFailed, refuse.Unknown, "upstream %s gave no answer", a.link.Upstream()).After(retryLater)
}

// hedged makes an attempt, and a second one elsewhere when the first is late and
// the rule allows it. The first result counts and stops the other attempt.
func (d *Desk) hedged(ctx context.Context, j *job, l *agents.Link, tried *[]ident.UpstreamID) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan answer, 2)
	d.launch(ctx, j, l, out)
	if !j.rule.Hedge {
		return <-out
	}
	t := time.NewTimer(d.delay(j))
	defer t.Stop()
	select {
	case a := <-out:
		return a
	case <-t.C:
	}
	m, ok := d.pick(j, *tried)
	if !ok || !d.o.Budget.Retry(ctx) {
		return <-out
	}
	*tried = append(*tried, m.Upstream())
	d.count.Hedges.Add(1)
	d.launch(ctx, j, m, out)
	a := <-out
	if a.err == nil {
		return a
	}
	b := <-out
	if b.err == nil || refusedNotRun(a.err) {
		return b
	}
	return a
}

func refusedNotRun(err error) bool {
	e, ok := refuse.As(err)
	return ok && e.Ran == refuse.NotRun
}

func (d *Desk) launch(ctx context.Context, j *job, l *agents.Link, out chan<- answer) {
	go func() {
		t := d.o.Now()
		r, err := d.send(ctx, j, l, 0)
		out <- answer{result: r, err: err, link: l, attempt: j.attempts.Load(), latency: d.o.Now().Sub(t)}
	}()
}

func (d *Desk) delay(j *job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delays[hedgeKey{service: j.Service, rule: j.index}].Delay()
}

func (d *Desk) learn(j *job, l time.Duration) {
	if !j.rule.Hedge {
		return
	}
	k := hedgeKey{service: j.Service, rule: j.index}
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.delays[k]
	if !ok && len(d.delays) >= maxHedgeDelays {
		d.delays = map[hedgeKey]retry.HedgeDelay{}
	}
	d.delays[k] = h.Observe(l)
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
