// Package admin serves the administration API: the environment document and its
// changes, the status of all instances, events, explanations of single requests
// and the bill. It also serves health, readiness, build information and metrics.
//
// Every change has an operator and a reason and is recorded as an event. The API
// has no state of its own, so operators may use any entry.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
)

// Store holds accepted documents and trials in the table; accept.Store implements it.
type Store interface {
	// Latest returns the latest accepted document if it is newer than after, or nil.
	Latest(ctx context.Context, after ident.Generation) (*spread.AcceptedDocument, error)
	// Get returns the document that was accepted as a generation.
	Get(ctx context.Context, g ident.Generation) (*spread.AcceptedDocument, error)
	// Promote accepts a document as the next generation.
	Promote(ctx context.Context, p accept.Promotion) (*spread.AcceptedDocument, error)
	// History returns the latest accepted documents, newest first.
	History(ctx context.Context, limit int) ([]spread.AcceptedDocument, error)
	// SaveTrial records that a document was tried.
	SaveTrial(ctx context.Context, t accept.Trial) error
	// HasTrial reports whether a trial of a document is recorded.
	HasTrial(ctx context.Context, d envdoc.Digest) (bool, error)
}

// State is the state that this instance shares with its peers: the document in
// force and the halts.
type State interface {
	View() *spread.View
	// Adopt puts a document in force here if it is newer than the one in force.
	Adopt(ctx context.Context, d *wire.Document) error
	// Halt stops new work on a version, here at once and then at all instances.
	Halt(ctx context.Context, r ident.VersionRef, reason string) error
}

// Fleet queries all live processes, including this one; fanout.Fanout implements
// it. Both methods return one entry per process and end with their context. The
// entry of a process that can't be reached has Problem set.
type Fleet interface {
	Instances(ctx context.Context) []opsapi.Instance
	Events(ctx context.Context, f event.Filter) []ProcessEvents
}

// ProcessEvents are the events of one process, oldest first.
type ProcessEvents struct {
	Instance ident.InstanceID
	Role     string
	Domain   ident.DomainID
	Events   []event.Event
	// Overwritten counts events lost because the ring overflowed.
	Overwritten uint64
	// Problem is why the process was not reached; it is empty when it was.
	Problem string
}

// Bills loads the stored receipts of all requests that are billed in the time span
// [from, to), as ledger.Load does. Adjacent spans have no request in common.
type Bills interface {
	Receipts(ctx context.Context, from, to time.Time) ([]ledger.Receipt, error)
}

// Key is an operator's key with its role. Only the digest of the key is stored.
type Key struct {
	Operator ident.OperatorID
	Digest   envdoc.KeyDigest
	Role     opsapi.Role
}

// Options are the settings and dependencies of an API. All but Now, Ready and
// Metrics are required.
type Options struct {
	// Environment is the name that documents must have.
	Environment string
	Instance    ident.InstanceID
	Program     string
	Keys        []Key
	Store       Store
	State       State
	Fleet       Fleet
	Bills       Bills
	Ring        *event.Ring
	Log         zerolog.Logger
	Now         func() time.Time
	// Ready returns nil when the process is ready, otherwise the reason why not.
	Ready func() error
	// Metrics is served under /metrics.
	Metrics prometheus.Gatherer
}

const (
	// defaultTimeout is the time of a request that sets no Tarragonvalve-Timeout-Ms.
	defaultTimeout = 10 * time.Second
	// maxTimeout is the longest time that a request may set.
	maxTimeout = 60 * time.Second
	// maxFanOuts bounds the concurrent requests that query all processes: each may
	// hold the events of the whole fleet in memory.
	maxFanOuts = 8
	// maxWaits bounds the concurrent requests to /wait. They have a limit of their
	// own, since each lasts up to maxTimeout and would keep a slot of maxFanOuts.
	maxWaits = 32
	// maxBills bounds the concurrent bills, so that the receipts of only one are in memory.
	maxBills = 1
	// maxBodyBytes in bytes fits the largest document with every byte escaped in JSON.
	maxBodyBytes = 6*envdoc.MaxBytes + 4096
)

// API is the administration API. It is safe for concurrent use.
type API struct {
	o    Options
	keys map[envdoc.KeyDigest]Key
	// fanOuts, waits and bills are semaphores for maxFanOuts, maxWaits and maxBills.
	fanOuts chan struct{}
	waits   chan struct{}
	bills   chan struct{}
}

// New returns an API. Optional fields of o that are missing get defaults.
func New(o Options) *API {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	if o.Metrics == nil {
		o.Metrics = prometheus.NewRegistry()
	}
	a := &API{o: o, keys: map[envdoc.KeyDigest]Key{}, fanOuts: make(chan struct{}, maxFanOuts), waits: make(chan struct{}, maxWaits), bills: make(chan struct{}, maxBills)}
	for _, k := range o.Keys {
		a.keys[k.Digest] = k
	}
	return a
}

// Handler returns the handler of all routes. The routes under opsapi.BasePath need
// the key of an operator, and those that change something the role operate.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", a.healthz)
	r.Get("/readyz", a.readyz)
	r.Get("/buildz", a.buildz)
	r.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(a.o.Metrics, promhttp.HandlerOpts{}))
	r.Route(opsapi.BasePath, func(r chi.Router) {
		r.Group(func(r chi.Router) {
			r.Use(a.authenticate(opsapi.RoleView))
			r.Get("/document", a.handle(a.document))
			r.Post("/document/validate", a.handle(a.validate))
			r.Post("/document/diff", a.handle(a.diff))
			r.Get("/history", a.handle(a.history))
			r.Get("/status", a.handle(bounded(a.fanOuts, a.status)))
			r.Get("/wait", a.handle(bounded(a.waits, a.wait)))
			r.Get("/events", a.handle(bounded(a.fanOuts, a.events)))
			r.Get("/explain/{request}", a.handle(bounded(a.fanOuts, a.explain)))
			r.Get("/bill", a.handle(bounded(a.bills, a.bill)))
		})
		r.Group(func(r chi.Router) {
			r.Use(a.authenticate(opsapi.RoleOperate))
			r.Post("/document/trial", a.handle(bounded(a.fanOuts, a.trial)))
			r.Post("/document/promote", a.handle(a.promote))
			r.Post("/rollback", a.handle(a.rollback))
			r.Post("/withdraw", a.handle(a.withdraw))
			r.Post("/halt", a.handle(a.halt))
		})
	})
	r.NotFound(a.handle(notFound))
	r.MethodNotAllowed(a.handle(notFound))
	return r
}
