package calls

import (
	"context"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/retry"
)

// attemptResult is the outcome of one attempt of a repeatable call.
type attemptResult struct {
	result *wire.CallResult
	err    error
	link   *agents.Link
	// attempt is the number of the attempt in its receipt.
	attempt uint32
	latency time.Duration
}

// callRepeatable runs a call that may run more than once. A refusal combines what
// is known of all attempts: it says not-run only when none of them may have run.
func (x *Executor) callRepeatable(ctx context.Context, j *job) (*Reply, error) {
	var tried []ident.UpstreamID
	var last *refuse.Error
	ran := refuse.NotRun
	for range maxAttempts {
		l, ok := x.pick(j, tried)
		if !ok {
			break
		}
		tried = append(tried, l.Upstream())
		a := x.hedged(ctx, j, l, &tried)
		if a.err == nil {
			x.observeLatency(j, a.latency)
			x.addReceipt(j, a.link.Upstream(), a.attempt)
			return replyOf(a.result), nil
		}
		e, ok := refuse.As(a.err)
		if ok && x.catchUp(ctx, j, a.link, e) {
			tried = tried[:len(tried)-1]
			last = e
			continue
		}
		last = x.refusalOf(ctx, a)
		ran = mergeRan(ran, last.Ran)
		if ctx.Err() != nil || !x.mayRetry(ctx, last) {
			break
		}
	}
	if last == nil {
		return nil, refuse.New(refuse.NoUpstream, refuse.NotRun, "no upstream of service %q can take the call now", j.Service).WithRetryAfter(retryAfter)
	}
	e := *last
	e.Ran = mergeRan(ran, last.Ran)
	return nil, &e
}

// refusalOf turns the error of an attempt into a refusal. The deadline, a caller that
// disconnected and the drain limit take precedence over the error.
func (x *Executor) refusalOf(ctx context.Context, a attemptResult) *refuse.Error {
	if ctx.Err() != nil {
		return abort.Refusal(ctx, refuse.Unknown)
	}
	if e, ok := refuse.As(a.err); ok {
		return e
	}
	return refuse.New(refuse.UpstreamFailed, refuse.Unknown, "upstream %s gave no answer", a.link.Upstream()).WithRetryAfter(retryAfter)
}

// hedged makes an attempt. If the call's rule allows hedging and there is no answer
// within the hedge delay, it makes a second attempt at another upstream. The first
// result is returned and cancels the other attempt. If both fail, it prefers the
// error after which the call may have run.
func (x *Executor) hedged(ctx context.Context, j *job, l *agents.Link, tried *[]ident.UpstreamID) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan attemptResult, 2)
	x.startAttempt(ctx, j, l, out)
	if !j.rule.Hedge {
		return <-out
	}
	t := time.NewTimer(x.hedgeDelay(j))
	defer t.Stop()
	select {
	case a := <-out:
		return a
	case <-t.C:
	}
	m, ok := x.pick(j, *tried)
	if !ok || !x.o.Budget.Retry(ctx) {
		return <-out
	}
	*tried = append(*tried, m.Upstream())
	x.count.Hedges.Add(1)
	x.startAttempt(ctx, j, m, out)
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

// refusedNotRun reports whether err proves that the call did not run.
func refusedNotRun(err error) bool {
	e, ok := refuse.As(err)
	return ok && e.Ran == refuse.NotRun
}

// startAttempt makes an attempt in a goroutine and sends its outcome to out, which
// must have room for it.
func (x *Executor) startAttempt(ctx context.Context, j *job, l *agents.Link, out chan<- attemptResult) {
	go func() {
		t := x.o.Now()
		r, err := x.send(ctx, j, l, 0)
		out <- attemptResult{result: r, err: err, link: l, attempt: j.attempts.Load(), latency: x.o.Now().Sub(t)}
	}()
}

// hedgeDelay returns how long the first attempt may take before a hedge is sent.
func (x *Executor) hedgeDelay(j *job) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.delays[hedgeKey{service: j.Service, rule: j.index}].Delay()
}

// observeLatency updates the hedge delay of the call's rule. It does nothing when
// the rule allows no hedge.
func (x *Executor) observeLatency(j *job, l time.Duration) {
	if !j.rule.Hedge {
		return
	}
	k := hedgeKey{service: j.Service, rule: j.index}
	x.mu.Lock()
	defer x.mu.Unlock()
	h, ok := x.delays[k]
	if !ok && len(x.delays) >= maxHedgeDelays {
		x.delays = map[hedgeKey]retry.HedgeDelay{}
	}
	x.delays[k] = h.Observe(l)
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
