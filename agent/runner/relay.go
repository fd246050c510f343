package runner

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

const (
	// maxResumes bounds how often one attempt changes its connection to the engine.
	maxResumes = 4
	// resumePause is the pause before the first resume; it doubles with each.
	resumePause = 50 * time.Millisecond
)

// progress is what is known of an attempt that the engine has.
type progress struct {
	queued  time.Duration
	started time.Time
	first   time.Time
	tokens  uint32
	logprob float64
	finish  string
	usage   *engine.Usage
	version *envdoc.Version
}

func (r *Runner) run(a *attempt, t *sched.Ticket) {
	if ref := t.Wait(a.ctx); ref != nil {
		r.end(a, ref)
		return
	}
	if ref := t.Check(); ref != nil {
		t.Done(nil)
		r.end(a, ref)
		return
	}
	p := r.begin(a)
	s, err := r.options.Engine.Start(a.ctx, a.request)
	if err != nil && engine.ProvenNotRun(err) {
		t.Done(nil)
		r.end(a, notStarted(err))
		return
	}
	if engine.Known(err) {
		s, err = r.options.Engine.Resume(a.ctx, engine.StreamID(a.key.Request, a.key.Attempt), 0)
	}
	o := r.relay(a, p, s, err)
	t.Done(p.served(a, o, r.options.Now()))
	r.settle(a, p, o)
}

func (r *Runner) adopt(a *attempt) {
	p := r.begin(a)
	// The withdrawal may have come while no process of this agent ran.
	r.cancelWithdrawn()
	s, err := r.options.Engine.Resume(a.ctx, engine.StreamID(a.key.Request, a.key.Attempt), 0)
	if engine.Missing(err) {
		r.end(a, refuse.New(refuse.UnknownAttempt, refuse.Unknown, "resume attempt: neither this agent nor the engine knows it"))
		return
	}
	r.record(a, event.StreamResumed, map[string]string{"at": "engine"})
	r.settle(a, p, r.relay(a, p, s, err))
}

func (r *Runner) begin(a *attempt) *progress {
	now := r.options.Now()
	p := &progress{queued: now.Sub(a.arrived), started: now}
	if d := r.options.Views.View().Document(); d != nil {
		p.version = d.Versions[a.work.Version]
	}
	r.record(a, event.AttemptStarted, map[string]string{"attempt": strconv.Itoa(int(a.key.Attempt))})
	return p
}

func notStarted(err error) *refuse.Error {
	var e *engine.RefusedError
	if errors.As(err, &e) {
		code := refuse.UpstreamFailed
		if e.Status == 429 || e.Status == 503 {
			code = refuse.Overloaded
		}
		return refuse.New(code, refuse.NotRun, "%v", err).WithRetryAfter(e.RetryAfter)
	}
	return refuse.New(refuse.UpstreamFailed, refuse.NotRun, "%v", err)
}

// relay copies the engine's stream into the buffer and ends the attempt. Only the
// end of a stream that was read completes it: an error of Start or Resume may wrap
// io.EOF too, when the engine closes the connection without an answer.
func (r *Runner) relay(a *attempt, p *progress, s *engine.Stream, err error) ledger.Outcome {
	var position uint64
	for n := 0; ; n++ {
		if err == nil {
			err = r.copy(a, p, s)
			position = s.Position()
			s.Close()
			if errors.Is(err, io.EOF) {
				r.complete(a, p)
				return ledger.OutcomeComplete
			}
		}
		if n == maxResumes || !resumable(err) || !pause(a.ctx, resumePause<<n) {
			return r.fail(a, p, err)
		}
		r.options.Log.Warn().Err(err).Str("request", string(a.key.Request)).Msg("resume stream at the engine")
		s, err = r.options.Engine.Resume(a.ctx, engine.StreamID(a.key.Request, a.key.Attempt), position)
		r.record(a, event.StreamResumed, map[string]string{"at": "engine", "position": strconv.FormatUint(position, 10)})
	}
}

// resumable reports whether a new connection may get the rest of a stream.
func resumable(err error) bool {
	var (
		o *overflow
		g *engine.ReportedError
		f *engine.RefusedError
	)
	return !errors.As(err, &o) && !errors.As(err, &g) && !errors.As(err, &f)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// overflow wraps the error of a full buffer, after which reading on is pointless.
type overflow struct {
	error
}

func (o *overflow) Unwrap() error {
	return o.error
}

func (r *Runner) copy(a *attempt, p *progress, s *engine.Stream) error {
	for {
		c, err := s.Next()
		if err != nil {
			return err
		}
		if c.Usage != nil {
			p.usage = c.Usage
		}
		if c.Finish != "" {
			p.finish = c.Finish
		}
		if c.Text == "" && c.Tokens == 0 {
			continue
		}
		if p.first.IsZero() {
			p.first = r.options.Now()
			r.options.Learn(a.hashes, a.request.Messages)
		}
		p.tokens += c.Tokens
		p.logprob += c.Logprob
		if err := a.buffer.Append(&wire.Data{Text: c.Text, Tokens: c.Tokens, LogprobSum: c.Logprob}); err != nil {
			return &overflow{err}
		}
	}
}

func (r *Runner) complete(a *attempt, p *progress) {
	now := r.options.Now()
	in, cached, out := p.counts(a)
	e := &wire.End{
		FinishReason: p.finish,
		InputTokens:  in,
		CachedTokens: cached,
		OutputTokens: out,
		MeanLogprob:  p.mean(),
		QueueMs:      p.queued.Milliseconds(),
		FirstTokenMs: p.firstAfter(a, now).Milliseconds(),
		TotalMs:      now.Sub(a.arrived).Milliseconds(),
		Status:       r.options.Status(),
	}
	r.record(a, event.AttemptEnded, map[string]string{"outcome": string(ledger.OutcomeComplete)})
	a.buffer.End(e)
	a.cancel(nil)
}

// fail ends an attempt that the engine may have worked on.
func (r *Runner) fail(a *attempt, p *progress, err error) ledger.Outcome {
	ref, o := failure(a, p, err)
	r.record(a, event.AttemptEnded, map[string]string{"outcome": string(o), "code": string(ref.Code)})
	ref.Generation = r.options.Views.View().Generation()
	a.buffer.Refuse(refuse.ToWire(ref))
	a.cancel(nil)
	if o == ledger.OutcomeCancelled {
		r.cancelAtEngine(a)
	}
	return o
}

func failure(a *attempt, p *progress, err error) (*refuse.Error, ledger.Outcome) {
	if cause := context.Cause(a.ctx); cause != nil {
		if ref, ok := refuse.As(cause); ok {
			return ref, ledger.OutcomeCancelled
		}
		if errors.Is(cause, context.DeadlineExceeded) {
			return refuse.New(refuse.DeadlineExceeded, refuse.DidRun, "run attempt: its deadline has passed"), ledger.OutcomeCancelled
		}
		return refuse.New(refuse.Cancelled, refuse.DidRun, "run attempt: this agent stops"), ledger.OutcomeCancelled
	}
	if p.first.IsZero() {
		return refuse.New(refuse.UpstreamFailed, refuse.Unknown, "run attempt: %v", err), ledger.OutcomeFailed
	}
	return refuse.New(refuse.StreamBroken, refuse.DidRun, "run attempt: %v", err), ledger.OutcomeBroken
}

// cancelAtEngine spares the engine the rest of an attempt; failure is harmless,
// since the engine cancels streams that nobody reads.
func (r *Runner) cancelAtEngine(a *attempt) {
	ctx := context.WithoutCancel(a.ctx)
	if err := r.options.Engine.Cancel(ctx, engine.StreamID(a.key.Request, a.key.Attempt)); err != nil {
		r.options.Log.Debug().Err(err).Msg("cancel stream at the engine")
	}
}

// settle notes the use of an attempt once it is known how much of it was
// relayed. An answer that was not relayed whole is billed for the part that was.
func (r *Runner) settle(a *attempt, p *progress, o ledger.Outcome) {
	select {
	case <-a.buffer.Settled():
	case <-r.base.Done():
	}
	in, _, out := p.counts(a)
	relayed, whole := a.buffer.Relayed()
	if o == ledger.OutcomeComplete && !whole {
		o = ledger.OutcomeBroken
	}
	if o != ledger.OutcomeComplete {
		out = relayed
	}
	if o == ledger.OutcomeFailed {
		in = 0
	}
	c := ledger.Receipt{
		Request:  a.key.Request,
		Role:     ledger.RoleAttempt,
		Attempt:  a.key.Attempt,
		Account:  a.work.Account,
		Session:  a.session,
		Version:  a.work.Version,
		Input:    ident.Tokens(in),
		Output:   ident.Tokens(out),
		Direct:   a.direct,
		Outcome:  o,
		Instance: r.options.Instance,
		Upstream: r.options.Upstream,
		At:       r.options.Now(),
	}
	if p.version != nil {
		c.Price = ident.MicroCents(in)*p.version.InputPrice + ident.MicroCents(out)*p.version.OutputPrice
	}
	if err := r.options.Receipts.Add(c); err != nil {
		r.options.Log.Error().Err(err).Str("request", string(a.key.Request)).Msg("keep receipt")
	}
}

// counts prefers the engine's own figures over those counted here.
func (p *progress) counts(a *attempt) (in, cached, out uint32) {
	if p.usage != nil {
		return p.usage.Input, p.usage.Cached, p.usage.Output
	}
	return uint32(a.size.Input), 0, p.tokens
}

func (p *progress) mean() float64 {
	if p.tokens == 0 {
		return 0
	}
	return p.logprob / float64(p.tokens)
}

func (p *progress) firstAfter(a *attempt, now time.Time) time.Duration {
	if p.first.IsZero() {
		return now.Sub(a.arrived)
	}
	return p.first.Sub(a.arrived)
}

// served is the observation for the prediction of service times. Cancelled work
// counts too: leaving it out would favour short answers.
func (p *progress) served(a *attempt, o ledger.Outcome, now time.Time) *queue.Sample {
	if p.first.IsZero() || o == ledger.OutcomeBroken {
		return nil
	}
	in, cached, out := p.counts(a)
	return &queue.Sample{
		Input:      int(in - min(cached, in)),
		Output:     int(out),
		MaxOutput:  a.size.MaxOutput,
		FirstToken: p.first.Sub(p.started),
		Total:      now.Sub(p.started),
		Truncated:  o != ledger.OutcomeComplete,
	}
}
