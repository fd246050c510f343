// Package runner runs the attempts of model requests: it queues them, sends
// them to the engine, keeps their output for the entries and makes a receipt.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// Receipts takes the receipts of attempts; ledger.Buffer implements it.
type Receipts interface {
	Add(r ledger.Receipt) error
}

// Options are the parts of a Runner.
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
	// Learn notes the prefixes of a prompt that the engine has processed; engine.Cache does.
	Learn func(hashes []uint64, ms []engine.Message)
	// Status is put into the last frame of an attempt.
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

// New returns a runner.
func New(o Options) *Runner {
	base, stop := context.WithCancel(context.Background())
	return &Runner{options: o, base: base, stop: stop, active: make(map[stream.Key]*attempt)}
}

// Name is the step's name.
func (r *Runner) Name() string {
	return "runner"
}

// Run cancels streams of versions that the document withdraws with
// cancel-running. When the context ends it cancels what is left and waits.
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

// attempt is one attempt that is queued or running.
type attempt struct {
	key     stream.Key
	work    gate.Work
	session ident.SessionID
	direct  bool
	request engine.Request
	size    sched.Size
	hashes  []uint64
	buffer  *stream.Buffer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	arrived time.Time
}

// bytesPerToken estimates input tokens before the engine has counted them.
const bytesPerToken = 4

// Start runs an attempt and returns its buffer. An attempt that is known
// already is not run again: the caller follows the one that is there, and the
// Accepted is nil. The context bounds the admission only.
func (r *Runner) Start(ctx context.Context, q *wire.RunRequest) (*stream.Buffer, *wire.Accepted, *refuse.Error) {
	a := r.attemptOf(q)
	b, fresh, ref := r.open(a)
	if ref != nil || !fresh {
		return b, nil, ref
	}
	t, ref := r.options.Sched.Submit(ctx, a.work, a.size)
	if ref != nil {
		r.end(a, ref)
		return b, nil, nil
	}
	r.spawn(a, func() { r.run(a, t) })
	acc := &wire.Accepted{Generation: uint64(r.options.Views.View().Generation()), Queued: uint32(t.QueueLength)}
	return b, acc, nil
}

// Adopt continues an attempt that this process does not know but the engine
// may: one that an earlier process of this agent has started. It reads the
// stream from its beginning, so that any position can be served.
func (r *Runner) Adopt(q *wire.ResumeRequest) (*stream.Buffer, *refuse.Error) {
	a := &attempt{
		key: stream.Key{Request: ident.RequestID(q.GetRequestId()), Attempt: ident.Attempt(q.GetAttempt())},
		work: gate.Work{
			Account: ident.AccountID(q.GetAccount()),
			Version: ident.VersionRef{Model: ident.ModelID(q.GetModel()), Version: ident.VersionID(q.GetVersion())},
		},
	}
	r.bind(a, q.GetTimeoutMs())
	b, fresh, ref := r.open(a)
	if ref != nil || !fresh {
		return b, ref
	}
	r.spawn(a, func() { r.adopt(a) })
	return b, nil
}

func (r *Runner) attemptOf(q *wire.RunRequest) *attempt {
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
	// vLLM runs lower values earlier; in the document a higher priority goes first.
	a.request.Priority = -q.GetPriority()
	r.bind(a, q.GetTimeoutMs())
	return a
}

// bind gives the attempt its own context: it outlives the call that started it.
func (r *Runner) bind(a *attempt, timeoutMs int64) {
	a.arrived = r.options.Now()
	d := time.Duration(timeoutMs) * time.Millisecond
	a.work.Deadline = a.arrived.Add(d)
	c, stop := context.WithTimeout(r.base, d)
	c, cancel := context.WithCancelCause(c)
	a.ctx = c
	a.cancel = func(err error) {
		cancel(err)
		stop()
	}
}

// open makes the attempt's buffer. Nothing runs for a request that gets no buffer.
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

// end finishes an attempt with a refusal.
func (r *Runner) end(a *attempt, ref *refuse.Error) {
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

// CancelAll ends all attempts with a refusal.
func (r *Runner) CancelAll(ref *refuse.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.active {
		a.cancel(ref)
	}
}
