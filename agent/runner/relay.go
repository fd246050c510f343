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
	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

const (
	// maxResumes bounds the number of new connections to the engine for one attempt without a new part of its
	// stream.
	maxResumes = 4
	// resumeDelay is the delay before the first resume. It doubles with each further one.
	resumeDelay = 50 * time.Millisecond
)

// progress holds the times and token counts of an attempt that was sent to the engine.
type progress struct {
	queueTime    time.Duration
	startedAt    time.Time
	firstTokenAt time.Time
	tokens       uint32
	logprobSum   float64
	finish       string
	usage        *engine.Usage
	version      *envdoc.Version
}

// run waits for a slot, sends the attempt to the engine and relays its stream.
func (r *Runner) run(a *attempt, t *sched.Ticket) {
	if ref := t.Wait(a.ctx); ref != nil {
		r.refuse(a, ref)
		return
	}
	if ref := t.Check(); ref != nil {
		t.Done(nil)
		r.refuse(a, ref)
		return
	}
	p := r.begin(a)
	s, err := r.options.Engine.Start(a.ctx, a.request)
	if err != nil && engine.ProvenNotRun(err) {
		t.Done(nil)
		r.refuse(a, notRunRefusal(err))
		return
	}
	if engine.IsConflict(err) {
		s, err = r.options.Engine.Resume(a.ctx, engine.StreamID(a.key.Request, a.key.Attempt), 0)
	}
	o := r.relay(a, p, s, err)
	t.Done(p.sample(a, o, r.options.Now()))
	r.addReceipt(a, p, o)
}

// runAdopted resumes an adopted attempt from its beginning and relays its stream.
func (r *Runner) runAdopted(a *attempt) {
	p := r.begin(a)
	// The version may have been withdrawn before this process started; no change of the
	// view would report that.
	r.cancelWithdrawn()
	s, err := r.options.Engine.Resume(a.ctx, engine.StreamID(a.key.Request, a.key.Attempt), 0)
	if engine.IsNotFound(err) {
		r.refuse(a, refuse.New(refuse.UnknownAttempt, refuse.Unknown, "resume attempt: neither this agent nor the engine knows it"))
		return
	}
	r.record(a, event.StreamResumed, map[string]string{"at": "engine"})
	r.addReceipt(a, p, r.relay(a, p, s, err))
}

// begin records the start of an attempt and captures the version whose prices apply.
func (r *Runner) begin(a *attempt) *progress {
	now := r.options.Now()
	p := &progress{queueTime: now.Sub(a.arrivedAt), startedAt: now}
	if d := r.options.Views.View().Document(); d != nil {
		p.version = d.Versions[a.work.Version]
	}
	r.record(a, event.AttemptStarted, map[string]string{"attempt": strconv.Itoa(int(a.key.Attempt))})
	return p
}

// notRunRefusal converts an error that proves that the engine did not run the attempt.
func notRunRefusal(err error) *refuse.Error {
	var e *engine.StatusError
	if errors.As(err, &e) {
		code := refuse.UpstreamFailed
		if e.Status == 429 || e.Status == 503 {
			code = refuse.Overloaded
		}
		return refuse.New(code, refuse.NotRun, "%v", err).WithRetryAfter(e.RetryAfter)
	}
	return refuse.New(refuse.UpstreamFailed, refuse.NotRun, "%v", err)
}

// relay copies the engine's stream into the buffer, resumes it after a lost connection
// and ends the attempt. s and err are the results of Start or Resume. Only io.EOF from
// reading a stream completes the attempt: an error of Start or Resume may wrap io.EOF too,
// when the engine closes the connection without an answer.
func (r *Runner) relay(a *attempt, p *progress, s *engine.Stream, err error) ledger.Outcome {
	var position uint64
	for n := 0; ; n++ {
		if err == nil {
			before := position
			err = r.copyChunks(a, p, s)
			position = s.Position()
			s.Close()
			if position > before {
				n = 0
			}
			if errors.Is(err, io.EOF) {
				r.complete(a, p)
				return ledger.OutcomeComplete
			}
		}
		if n == maxResumes || !resumable(err) || !sleep(a.ctx, resumeDelay<<n) {
			return r.fail(a, p, err)
		}
		r.options.Log.Warn().Err(err).Str("request", string(a.key.Request)).Msg("resume stream at the engine")
		s, err = r.options.Engine.Resume(a.ctx, engine.StreamID(a.key.Request, a.key.Attempt), position)
		r.record(a, event.StreamResumed, map[string]string{"at": "engine", "position": strconv.FormatUint(position, 10)})
	}
}

// resumable reports whether a new connection may deliver the rest of a stream. It may not
// after a full buffer, an answer that exceeds a bound, an error that the engine reported, or
// an HTTP error status.
func resumable(err error) bool {
	var (
		o *overflowError
		l *inlet.TooLongError
		g *engine.ReportedError
		f *engine.StatusError
	)
	return !errors.As(err, &o) && !errors.As(err, &l) && !errors.As(err, &g) && !errors.As(err, &f)
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// overflowError marks the error of a full buffer, after which a resume is pointless.
type overflowError struct {
	error
}

func (o *overflowError) Unwrap() error {
	return o.error
}

// copyChunks appends the chunks of a stream to the buffer until an error, which is io.EOF
// at the end of a complete stream.
func (r *Runner) copyChunks(a *attempt, p *progress, s *engine.Stream) error {
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
		if p.firstTokenAt.IsZero() {
			p.firstTokenAt = r.options.Now()
			r.options.RecordPrompt(a.hashes, a.request.Messages)
		}
		p.tokens += c.Tokens
		p.logprobSum += c.Logprob
		if err := a.buffer.Append(&wire.Data{Text: c.Text, Tokens: c.Tokens, LogprobSum: c.Logprob}); err != nil {
			return &overflowError{err}
		}
	}
}

// complete ends an attempt whose stream was read to its end.
func (r *Runner) complete(a *attempt, p *progress) {
	now := r.options.Now()
	in, cached, out := p.tokenCounts(a)
	e := &wire.End{
		FinishReason: p.finish,
		InputTokens:  in,
		CachedTokens: cached,
		OutputTokens: out,
		MeanLogprob:  p.meanLogprob(),
		QueueMs:      p.queueTime.Milliseconds(),
		FirstTokenMs: p.firstTokenTime(a, now).Milliseconds(),
		TotalMs:      now.Sub(a.arrivedAt).Milliseconds(),
		Status:       r.options.Status(),
	}
	r.record(a, event.AttemptEnded, map[string]string{"outcome": string(ledger.OutcomeComplete)})
	a.buffer.End(e)
	a.cancel(nil)
}

// fail ends an attempt that the engine may have run, and cancels it at the engine if it
// was cancelled here.
func (r *Runner) fail(a *attempt, p *progress, err error) ledger.Outcome {
	r.options.Excess.Report(a.key.Request, err)
	ref, o := failureOf(a, p, err)
	r.record(a, event.AttemptEnded, map[string]string{"outcome": string(o), "code": string(ref.Code)})
	ref.Generation = r.options.Views.View().Generation()
	a.buffer.Refuse(refuse.ToWire(ref))
	a.cancel(nil)
	if o == ledger.OutcomeCancelled {
		r.cancelAtEngine(a)
	}
	return o
}

// failureOf returns the refusal and the outcome for an error of relay. The cause of a
// cancelled context takes precedence over the error.
func failureOf(a *attempt, p *progress, err error) (*refuse.Error, ledger.Outcome) {
	if cause := context.Cause(a.ctx); cause != nil {
		if ref, ok := refuse.As(cause); ok {
			// Attempts that are cancelled together have the same cause.
			own := *ref
			return &own, ledger.OutcomeCancelled
		}
		if errors.Is(cause, context.DeadlineExceeded) {
			return refuse.New(refuse.DeadlineExceeded, refuse.DidRun, "run attempt: its deadline has passed"), ledger.OutcomeCancelled
		}
		return refuse.New(refuse.Cancelled, refuse.DidRun, "run attempt: this agent stops"), ledger.OutcomeCancelled
	}
	if p.firstTokenAt.IsZero() {
		return refuse.New(refuse.UpstreamFailed, refuse.Unknown, "run attempt: %v", err), ledger.OutcomeFailed
	}
	return refuse.New(refuse.StreamBroken, refuse.DidRun, "run attempt: %v", err), ledger.OutcomeBroken
}

// cancelAtEngine cancels an attempt at the engine, which saves the rest of its work. An
// error is harmless, since the engine cancels streams that have no reader.
func (r *Runner) cancelAtEngine(a *attempt) {
	ctx := context.WithoutCancel(a.ctx)
	if err := r.options.Engine.Cancel(ctx, engine.StreamID(a.key.Request, a.key.Attempt)); err != nil {
		r.options.Log.Debug().Err(err).Msg("cancel stream at the engine")
	}
}

// addReceipt adds the receipt of an attempt as soon as its buffer is settled, that is when
// it is final how much of the output was relayed, or when the runner stops. An answer that
// was not relayed in full is billed for its input and the tokens that were relayed; a
// failed attempt is billed for nothing.
func (r *Runner) addReceipt(a *attempt, p *progress, o ledger.Outcome) {
	select {
	case <-a.buffer.Settled():
	case <-r.base.Done():
	}
	in, _, out := p.tokenCounts(a)
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

// tokenCounts returns the engine's token counts, or those of the agent if the engine
// reported none: an estimate of the input, and the output that was read.
func (p *progress) tokenCounts(a *attempt) (in, cached, out uint32) {
	if p.usage != nil {
		return p.usage.Input, p.usage.Cached, p.usage.Output
	}
	return uint32(a.size.Input), 0, p.tokens
}

// meanLogprob returns the mean log-probability of the output tokens, 0 for no tokens.
func (p *progress) meanLogprob() float64 {
	if p.tokens == 0 {
		return 0
	}
	return p.logprobSum / float64(p.tokens)
}

// firstTokenTime returns the time from arrival to the first token, or to now if there was
// no token.
func (p *progress) firstTokenTime(a *attempt, now time.Time) time.Duration {
	if p.firstTokenAt.IsZero() {
		return now.Sub(a.arrivedAt)
	}
	return p.firstTokenAt.Sub(a.arrivedAt)
}

// sample returns the sample for the prediction of service times, nil if there is none:
// without a first token and for a broken stream. Cancelled work counts, since leaving it
// out would bias the prediction towards short answers.
func (p *progress) sample(a *attempt, o ledger.Outcome, now time.Time) *queue.Sample {
	if p.firstTokenAt.IsZero() || o == ledger.OutcomeBroken {
		return nil
	}
	in, cached, out := p.tokenCounts(a)
	return &queue.Sample{
		Input:      int(in - min(cached, in)),
		Output:     int(out),
		MaxOutput:  a.size.MaxOutput,
		FirstToken: p.firstTokenAt.Sub(p.startedAt),
		Total:      now.Sub(p.startedAt),
		Truncated:  o != ledger.OutcomeComplete,
	}
}
