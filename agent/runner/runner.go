// Package runner runs the attempts of model requests: it queues them, sends them to the
// engine, buffers their output for the entries and adds a receipt for each.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// Receipts stores the receipts of attempts; ledger.Buffer implements it.
type Receipts interface {
	Add(r ledger.Receipt) error
}

// Options configures a Runner.
type Options struct {
	Engine   *engine.Client
	Sched    *sched.Scheduler
	Streams  *stream.Store
	Views    sched.Views
	Receipts Receipts
	Ring     *event.Ring
	Instance ident.InstanceID
	Upstream ident.UpstreamID
	Log      zerolog.Logger
	// Excess reports answers that exceed a bound; nil reports none.
	Excess *excess.Reporter
	// RecordPrompt is called with the prefix hashes and messages of a prompt when its first
	// token arrives, which proves that the engine has processed the prompt.
	RecordPrompt func(hashes []uint64, ms []engine.Message)
	// Status returns the agent status that the End frame of an attempt carries.
	Status func() *wire.Status
	Now    func() time.Time
}

// Runner runs attempts. It is safe for concurrent use.
type Runner struct {
	options Options
	base    context.Context
	stop    context.CancelFunc

	mu     sync.Mutex
	active map[stream.Key]*attempt
	group  sync.WaitGroup
}

// New returns a runner. Its attempts run until Run returns.
func New(o Options) *Runner {
	base, stop := context.WithCancel(context.Background())
	return &Runner{options: o, base: base, stop: stop, active: make(map[stream.Key]*attempt)}
}

// Name implements serve.Step.
func (r *Runner) Name() string {
	return "runner"
}

// Run cancels running attempts when the document withdraws their version with
// cancel-running. When ctx ends, it cancels the remaining attempts and waits until they
// have ended. It implements serve.Step.
func (r *Runner) Run(ctx context.Context) error {
	defer r.group.Wait()
	defer r.stop()
	for {
		changed := r.options.Views.Changed()
		r.cancelWithdrawn()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (r *Runner) cancelWithdrawn() {
	v := r.options.Views.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.active {
		if gate.CancelRunning(v, a.work.Version) {
			a.cancel(refuse.New(refuse.VersionWithdrawn, refuse.DidRun, "run attempt: %s was withdrawn", a.work.Version))
		}
	}
}

// attempt is an attempt that is queued or running. hashes are the prefix hashes of its
// prompt, longest first.
type attempt struct {
	key       stream.Key
	work      gate.Work
	session   ident.SessionID
	direct    bool
	request   engine.Request
	size      sched.Size
	hashes    []uint64
	buffer    *stream.Buffer
	ctx       context.Context
	cancel    context.CancelCauseFunc
	arrivedAt time.Time
}

// bytesPerToken is the assumed length of a token, used until the engine has counted the
// input.
const bytesPerToken = 4

// Start starts an attempt and returns its buffer. If the attempt has a buffer already, it
// is not run again: Start returns that buffer, and a nil Accepted. A refusal by the
// scheduler ends the buffer, also with a nil Accepted; a refusal is returned only if there
// is no buffer. ctx bounds the submission to the scheduler, not the attempt.
func (r *Runner) Start(ctx context.Context, q *wire.RunRequest) (*stream.Buffer, *wire.Accepted, *refuse.Error) {
	a := r.newAttempt(q)
	b, fresh, ref := r.open(a)
	if ref != nil || !fresh {
		return b, nil, ref
	}
	t, ref := r.options.Sched.Submit(ctx, a.work, a.size)
	if ref != nil {
		r.refuse(a, ref)
		return b, nil, nil
	}
	r.spawn(a, func() { r.run(a, t) })
	acc := &wire.Accepted{Generation: uint64(r.options.Views.View().Generation()), Queued: uint32(t.QueueLength)}
	return b, acc, nil
}

// Adopt continues an attempt that an earlier process of this agent may have started at
// the engine. It reads the stream from its beginning, so that entries can resume from any
// position. An adopted attempt takes no slot.
func (r *Runner) Adopt(q *wire.ResumeRequest) (*stream.Buffer, *refuse.Error) {
	a := &attempt{
		key: stream.Key{Request: ident.RequestID(q.GetRequestId()), Attempt: ident.Attempt(q.GetAttempt())},
		work: gate.Work{
			Account: ident.AccountID(q.GetAccount()),
			Version: ident.VersionRef{Model: ident.ModelID(q.GetModel()), Version: ident.VersionID(q.GetVersion())},
		},
	}
	r.setContext(a, q.GetTimeoutMs())
	b, fresh, ref := r.open(a)
	if ref != nil || !fresh {
		return b, ref
	}
	r.spawn(a, func() { r.runAdopted(a) })
	return b, nil
}

func (r *Runner) newAttempt(q *wire.RunRequest) *attempt {
	a := &attempt{
		key:     stream.Key{Request: ident.RequestID(q.GetRequestId()), Attempt: ident.Attempt(q.GetAttempt())},
		session: ident.SessionID(q.GetSession()),
		direct:  q.GetDirect(),
		hashes:  q.GetPrefixes(),
		work: gate.Work{
			Account:    ident.AccountID(q.GetAccount()),
			Version:    ident.VersionRef{Model: ident.ModelID(q.GetModel()), Version: ident.VersionID(q.GetVersion())},
			Generation: ident.Generation(q.GetGeneration()),
			Priority:   int(q.GetPriority()),
		},
	}
	n := 0
	for _, m := range q.GetMessages() {
		a.request.Messages = append(a.request.Messages, engine.Message{Role: m.GetRole(), Content: m.GetContent()})
		n += len(m.GetContent())
	}
	a.size = sched.Size{Input: n/bytesPerToken + 1, MaxOutput: int(q.GetMaxTokens())}
	a.request.Request = a.key.Request
	a.request.Attempt = a.key.Attempt
	a.request.Version = a.work.Version
	a.request.MaxTokens = q.GetMaxTokens()
	a.request.Temperature = q.GetTemperature()
	// vLLM runs lower values first; here higher priorities run first.
	a.request.Priority = -q.GetPriority()
	r.setContext(a, q.GetTimeoutMs())
	return a
}

// setContext sets the arrival time, the deadline and the context of an attempt. The
// context is not that of the call that started the attempt, since the attempt outlives it.
func (r *Runner) setContext(a *attempt, timeoutMs int64) {
	a.arrivedAt = r.options.Now()
	d := time.Duration(timeoutMs) * time.Millisecond
	a.work.Deadline = a.arrivedAt.Add(d)
	c, stop := context.WithTimeout(r.base, d)
	c, cancel := context.WithCancelCause(c)
	a.ctx = c
	a.cancel = func(err error) {
		cancel(err)
		stop()
	}
}

// open creates the buffer of an attempt and reports whether it is new. It refuses the
// attempt if the store has no room, or if the existing buffer is of another account.
func (r *Runner) open(a *attempt) (*stream.Buffer, bool, *refuse.Error) {
	b, fresh, err := r.options.Streams.Open(a.key, a.work.Account, func() {
		a.cancel(refuse.New(refuse.Cancelled, refuse.DidRun, "run attempt: cancelled"))
	})
	if err != nil {
		a.cancel(nil)
		return nil, false, refuse.New(refuse.Overloaded, refuse.NotRun, "%v", err).WithRetryAfter(time.Second)
	}
	if !fresh {
		a.cancel(nil)
		if b.Account() != "" && b.Account() != a.work.Account {
			return nil, false, refuse.New(refuse.UnknownAttempt, refuse.Unknown, "find attempt: it belongs to another account")
		}
		return b, false, nil
	}
	a.buffer = b
	return b, true, nil
}

// spawn runs f in a goroutine and keeps the attempt in active meanwhile.
func (r *Runner) spawn(a *attempt, f func()) {
	r.mu.Lock()
	r.active[a.key] = a
	r.mu.Unlock()
	r.group.Go(func() {
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.active, a.key)
		}()
		f()
	})
}

// refuse ends an attempt with a refusal. It adds no receipt.
func (r *Runner) refuse(a *attempt, ref *refuse.Error) {
	if ref.Generation == 0 {
		ref.Generation = r.options.Views.View().Generation()
	}
	r.record(a, event.WorkRefused, map[string]string{"code": string(ref.Code), "ran": string(ref.Ran)})
	a.buffer.Refuse(refuse.ToWire(ref))
	a.cancel(nil)
}

func (r *Runner) record(a *attempt, k event.Kind, fields map[string]string) {
	r.options.Ring.Record(event.Event{
		Kind:    k,
		Request: a.key.Request,
		Session: a.session,
		Account: a.work.Account,
		Version: a.work.Version,
		Fields:  fields,
	})
}

// CancelAll cancels all attempts; their buffers end with ref.
func (r *Runner) CancelAll(ref *refuse.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.active {
		a.cancel(ref)
	}
}
