package boot

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"tarragonvalve.example/agent/calls"
	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/entry"
	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/agent/fence"
	"tarragonvalve.example/agent/health"
	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/agent/runner"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/agent/setup"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/certs"
	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/lease"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/wire"
)

// build constructs all components and returns the steps in the order of their start. They
// stop in reverse order: the listener drains while all others still run, and the remaining
// receipts are stored after the last attempt has ended.
func build(s *setup.Settings, out, logs io.Writer) ([]serve.Component, error) {
	c := dig.New()
	l := logger.New(logs, s.Agent.LogLevel, "agent")
	provide := []any{
		func() *setup.Settings { return s },
		func() zerolog.Logger { return l },
		newListeners,
		newLateness,
		newRing,
		newPanics,
		newExcess,
		newTable,
		newReplica,
		newLedger,
		newClaims,
		newScheduler,
		newStreams,
		newEngine,
		newRunner,
		newCaller,
		newStatus,
		newServer,
		newListener,
		newHealth,
	}
	for _, p := range provide {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var steps []serve.Component
	err := c.Invoke(func(p parts) error {
		steps = p.steps()
		return p.Listeners.writeAddresses(out, s.Agent.Instance)
	})
	if err != nil {
		return nil, dig.RootCause(err)
	}
	return steps, nil
}

// parts holds the components that run as steps.
type parts struct {
	dig.In

	Listeners *listeners
	Lateness  *late.Meter
	Node      *spread.Replica
	Ledger    *ledger.Buffer
	Claims    *claim.Store
	Log       zerolog.Logger
	Streams   *stream.Store
	Engine    *engineParts
	Sched     *sched.Scheduler
	Runner    *runner.Runner
	Caller    *calls.Executor
	Health    *health.Server
	Entries   *entry.Listener
}

// steps returns the steps in the order of their start. Engine and Runner are nil for a
// plain service, Caller is nil for a model engine.
func (p parts) steps() []serve.Component {
	out := []serve.Component{p.Lateness, p.Node, p.Ledger, &receiptFlush{buffer: p.Ledger, log: logger.Part(p.Log, "receipts")}, p.Streams}
	if p.Engine != nil {
		out = append(out, p.Engine.monitor, p.Engine.cache)
	}
	out = append(out, p.Sched)
	if p.Runner != nil {
		out = append(out, p.Runner)
	}
	if p.Caller != nil {
		out = append(out, p.Claims)
	}
	return append(out, p.Health, p.Entries)
}

// receiptFlush is the step that stores the remaining receipts when the agent stops.
type receiptFlush struct {
	buffer *ledger.Buffer
	log    zerolog.Logger
}

// flushTimeout bounds the last writes. An entry holds the same receipts.
const flushTimeout = 10 * time.Second

// Name implements serve.Step.
func (f *receiptFlush) Name() string {
	return "receipts"
}

// Run waits until ctx ends and then stores the remaining receipts. It implements serve.Step.
func (f *receiptFlush) Run(ctx context.Context) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if err := f.buffer.Flush(ctx); err != nil {
		f.log.Error().Err(err).Int("left", f.buffer.Pending()).Msg("store remaining receipts")
	}
	return nil
}

// listeners holds the listening sockets of the process.
type listeners struct {
	entries net.Listener
	admin   net.Listener
}

func newListeners(s *setup.Settings) (*listeners, error) {
	e, err := net.Listen("tcp", s.Agent.Listen)
	if err != nil {
		return nil, err
	}
	a, err := net.Listen("tcp", s.Agent.Admin)
	if err != nil {
		e.Close()
		return nil, err
	}
	return &listeners{entries: e, admin: a}, nil
}

// writeAddresses writes the instance and its addresses as one line of JSON.
func (l *listeners) writeAddresses(out io.Writer, i ident.InstanceID) error {
	return json.NewEncoder(out).Encode(map[string]string{
		"instance": string(i),
		"listen":   l.entries.Addr().String(),
		"admin":    l.admin.Addr().String(),
	})
}

func newLateness(l zerolog.Logger) *late.Meter {
	return late.New(late.Monotonic(), logger.Part(l, "lateness"))
}

func newRing(s *setup.Settings) *event.Ring {
	return event.NewRing(event.NewClock(time.Now), s.Agent.Instance, s.Agent.EventRing)
}

func newPanics(l zerolog.Logger) *panics.Reporter {
	return panics.New(logger.Part(l, "panics"))
}

func newExcess(s *setup.Settings, l zerolog.Logger) *excess.Reporter {
	return excess.New(excess.Options{Upstream: s.Upstream.ID, Log: logger.Part(l, "excess"), Now: time.Now})
}

func newTable(s *setup.Settings) table.Client {
	return table.NewDynamo(s.Table)
}

func newReplica(s *setup.Settings, t table.Client, r *event.Ring) *spread.Replica {
	return spread.New(spread.Options{
		Instance:     s.Agent.Instance,
		Role:         "agent",
		Store:        accept.New(t, s.Control.Environment),
		Ring:         r,
		Environment:  s.Control.Environment,
		PollInterval: s.Control.PollInterval,
		Now:          time.Now,
	})
}

func newLedger(s *setup.Settings, t table.Client) *ledger.Buffer {
	return ledger.New(ledger.Options{
		Instance: s.Agent.Instance,
		Client:   t,
		Interval: s.Receipts.Interval,
		AckWait:  s.Receipts.AckWait,
		Capacity: s.Receipts.Capacity,
		MaxBatch: s.Receipts.MaxBatch,
		Now:      time.Now,
	})
}

func newClaims(t table.Client) *claim.Store {
	return claim.New(t)
}

func newScheduler(s *setup.Settings, n *spread.Replica, b *ledger.Buffer) *sched.Scheduler {
	return sched.New(sched.Options{
		Views:  n,
		Slots:  s.Upstream.Slots,
		Limits: s.Queue,
		LedgerFull: func(running int) bool {
			return b.Full() || b.Pending()+running >= s.Receipts.Capacity
		},
		Now: time.Now,
	})
}

func newStreams(s *setup.Settings) *stream.Store {
	return stream.NewStore(s.Stream)
}

// engineParts holds the components for a model engine. It is nil for a plain service.
type engineParts struct {
	client  *engine.Client
	monitor *engine.Monitor
	cache   *engine.PrefixTracker
	guard   *fence.Guard
}

func newEngine(s *setup.Settings, l zerolog.Logger, n *spread.Replica, t table.Client, r *event.Ring, x *excess.Reporter, w *late.Meter) *engineParts {
	u := s.Upstream
	if u.Engine.BaseURL == "" {
		return nil
	}
	l = logger.Part(l, "engine")
	o := u.Engine
	o.Excess = x
	o.Late = w.Lateness
	c := engine.New(o)
	e := &engineParts{
		client:  c,
		monitor: engine.NewMonitor(c, u.ReportInterval, l),
		cache:   engine.NewPrefixTracker(c, u.Prefixes, l),
	}
	e.guard = fence.New(fence.Options{
		Engine: c,
		Tokens: func(ctx context.Context, name string) (ident.FencingToken, error) {
			return lease.HighestToken(ctx, t, name)
		},
		ChecksFencing: func() bool {
			d := n.View().Document()
			if d == nil {
				return false
			}
			k, ok := d.Kinds[u.Kind]
			return ok && k.ChecksFencing
		},
		Ring:        r,
		ReadTimeout: s.Table.Timeout,
	})
	return e
}

func newRunner(s *setup.Settings, e *engineParts, h *sched.Scheduler, t *stream.Store, n *spread.Replica, b *ledger.Buffer, r *event.Ring, l zerolog.Logger, st *entry.Status, x *excess.Reporter) *runner.Runner {
	if e == nil {
		return nil
	}
	return runner.New(runner.Options{
		Engine:       e.client,
		Sched:        h,
		Streams:      t,
		Views:        n,
		Receipts:     b,
		Ring:         r,
		Instance:     s.Agent.Instance,
		Upstream:     s.Upstream.ID,
		Log:          logger.Part(l, "runner"),
		Excess:       x,
		RecordPrompt: e.cache.RecordPrompt,
		Status:       st.Now,
		Now:          time.Now,
	})
}

func newCaller(s *setup.Settings, h *sched.Scheduler, n *spread.Replica, k *claim.Store, b *ledger.Buffer, r *event.Ring, l zerolog.Logger, x *excess.Reporter) *calls.Executor {
	if s.Upstream.Service == "" {
		return nil
	}
	return calls.New(calls.Options{
		Service:       s.Upstream.Service,
		Upstream:      s.Upstream.ID,
		Instance:      s.Agent.Instance,
		Plain:         plain.New(s.Upstream.Plain),
		Sched:         h,
		Views:         n,
		Claims:        k,
		Receipts:      b,
		Ring:          r,
		Log:           logger.Part(l, "calls"),
		Excess:        x,
		Now:           time.Now,
		NewToken:      table.NewWriteToken,
		ClaimTimeout:  s.Claims.WriteTimeout,
		RecordTimeout: s.Claims.RecordTimeout,
	})
}

func newStatus(s *setup.Settings, h *sched.Scheduler, n *spread.Replica, e *engineParts) *entry.Status {
	o := entry.StatusOptions{
		Upstream: s.Upstream.ID,
		Domain:   s.Upstream.Domain,
		Service:  s.Upstream.Service,
		Sched:    h,
		Replica:  n,
	}
	if e != nil {
		o.Reports = e.monitor
		o.Prefixes = e.cache
	}
	return entry.NewStatus(o)
}

func newServer(st *entry.Status, u *runner.Runner, c *calls.Executor, e *engineParts, t *stream.Store, n *spread.Replica, b *ledger.Buffer, r *event.Ring, w *late.Meter) *entry.Server {
	o := entry.Options{Status: st, Runner: u, Streams: t, Replica: n, Receipts: b, Ring: r, Late: w.Lateness}
	// An interface that holds a nil pointer is not nil.
	if c != nil {
		o.Caller = c
	}
	if e != nil {
		o.Orderer = e.guard
	}
	return entry.NewServer(o)
}

func newListener(s *setup.Settings, p *listeners, v *entry.Server, st *entry.Status, n *spread.Replica, h *sched.Scheduler, c *calls.Executor, k *claim.Store, r *event.Ring, m *panics.Reporter, w *late.Meter, l zerolog.Logger) (*entry.Listener, error) {
	o := entry.ListenerOptions{
		Listener:     p.entries,
		Server:       v,
		Peer:         spread.NewServer(n, r, st.Draining),
		Sched:        h,
		DrainTimeout: s.Agent.DrainTimeout,
		MinDrainTime: s.Agent.MinDrainTime,
		Ring:         r,
		Panics:       m,
		Log:          logger.Part(l, "entries"),
		Now:          time.Now,
		Unseen:       w.Unseen,
	}
	if c != nil {
		o.PendingClaims = func() int { return k.Stats().Queued }
	}
	if s.TLS.Cert != "" {
		f, err := certs.New(certs.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.ClientCA}, logger.WarnFunc(logger.Part(l, "certs"), "certificate files can't be used, the old ones stay in force"))
		if err != nil {
			return nil, err
		}
		o.TLS = f.InternalServerConfig()
	}
	return entry.NewListener(o), nil
}

func newHealth(p *listeners, st *entry.Status, n *spread.Replica, h *sched.Scheduler, t *stream.Store, b *ledger.Buffer, e *engineParts, m *panics.Reporter, x *excess.Reporter, w *late.Meter, l zerolog.Logger) *health.Server {
	r := prometheus.NewRegistry()
	registerMetrics(r, h, t, b, e, m, x, w)
	return health.New(health.Options{
		Listener: p.admin,
		Registry: r,
		Panics:   m,
		Log:      logger.Part(l, "health"),
		Ready: func() []string {
			var reasons []string
			if n.View().Document() == nil {
				reasons = append(reasons, "no-document")
			}
			if st.Draining() {
				reasons = append(reasons, "draining")
			}
			if e != nil && !e.monitor.Report().Reachable {
				reasons = append(reasons, "engine-unreachable")
			}
			return reasons
		},
	})
}

var _ wire.AgentServer = (*entry.Server)(nil)
