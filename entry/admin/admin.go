// Package admin serves the administration API: the document and its changes,
// the state of all instances, events, explanations and the bill, along with
// health, readiness, build information and metrics.
//
// Every change names its operator and a reason and is recorded as an event. The
// API keeps no state of its own, so operators may use any entry.
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

// Store is the part of accept.Store that the API uses.
type Store interface {
	Latest(ctx context.Context, after ident.Generation) (*spread.AcceptedDocument, error)
	Get(ctx context.Context, g ident.Generation) (*spread.AcceptedDocument, error)
	Promote(ctx context.Context, p accept.Promotion) (*spread.AcceptedDocument, error)
	History(ctx context.Context, limit int) ([]spread.AcceptedDocument, error)
	SaveTrial(ctx context.Context, t accept.Trial) error
	HasTrial(ctx context.Context, d envdoc.Digest) (bool, error)
}

// State is the part of spread.Replica that the API uses.
type State interface {
	View() *spread.View
	Adopt(ctx context.Context, d *wire.Document) error
	Halt(ctx context.Context, r ident.VersionRef, reason string) error
}

// Fleet reaches the other processes. Both calls return an entry for every live
// process, this one included, and end with their context; a process that can't
// be reached has its Problem set.
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
	// Problem says that and why the process was not reached; empty when it was.
	Problem string
}

// Bills loads the stored receipts of the requests that are billed in a time span
// [from, to), as ledger.Load does: adjoining spans share no request.
type Bills interface {
	Receipts(ctx context.Context, from, to time.Time) ([]ledger.Receipt, error)
}

// Key is an operator's key, known by its digest.
type Key struct {
	Operator ident.OperatorID
	Digest   envdoc.KeyDigest
	Role     opsapi.Role
}

// Options configures an API. All fields but Ready and Metrics are required.
type Options struct {
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
	// Ready returns why the process is not ready, or nil.
	Ready func() error
	// Metrics is served under /metrics.
	Metrics prometheus.Gatherer
}

const (
	// defaultTimeout bounds a request that sets no Tarragonvalve-Timeout-Ms.
	defaultTimeout = 10 * time.Second
	maxTimeout     = 60 * time.Second
	// maxFanOuts bounds the requests that ask all processes at the same time: each
	// may hold the events of the whole fleet in memory.
	maxFanOuts = 8
	// maxWaits is apart from maxFanOuts, since a wait lasts up to maxTimeout.
	maxWaits = 32
	// maxBills keeps the receipts of one bill in memory at a time.
	maxBills = 1
	// maxBody fits the largest document with every byte escaped in JSON.
	maxBody = 6*envdoc.MaxBytes + 4096
)

// API is the administration API.
type API struct {
	o       Options
	keys    map[envdoc.KeyDigest]Key
	fanOuts chan struct{}
	waits   chan struct{}
	bills   chan struct{}
}

// New returns an API.
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

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", a.healthz)
	r.Get("/readyz", a.readyz)
	r.Get("/buildz", a.buildz)
	r.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(a.o.Metrics, promhttp.HandlerOpts{}))
	r.Route(opsapi.Base, func(r chi.Router) {
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
