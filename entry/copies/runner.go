package copies

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
)

const (
	// interval is the time between two checks of the copies.
	interval = 2 * time.Second
	// orderTimeout bounds the delivery of one order; the engine loads after it has
	// accepted the order.
	orderTimeout = 2 * time.Second
)

// Lease tells whether this instance may give orders. *lease.Lease implements it.
type Lease interface {
	Held() (ident.FencingToken, bool)
}

// Options are the dependencies of a Runner.
type Options struct {
	Lease Lease
	// LeaseName is the name of the lease's row in the table, from which agents read the
	// highest fencing token.
	LeaseName string
	View      func() *spread.View
	Links     func() []*agents.Link
	Log       zerolog.Logger
	Now       func() time.Time
}

// Runner gives orders to the model engines while this instance holds the lease.
type Runner struct {
	o     Options
	state State
}

// New returns a runner without orders.
func New(o Options) *Runner {
	return &Runner{o: o, state: NewState()}
}

// Name implements serve.Component.
func (r *Runner) Name() string {
	return "copies"
}

// Run checks the copies at each interval until the context ends. It returns nil.
func (r *Runner) Run(ctx context.Context) error {
	return serve.Every(ctx, interval, r.reconcile)
}

func (r *Runner) reconcile(ctx context.Context) {
	token, held := r.o.Lease.Held()
	if !held {
		r.state = NewState()
		return
	}
	links := map[ident.UpstreamID]*agents.Link{}
	var us []Upstream
	for _, l := range r.o.Links() {
		if u, ok := upstreamOf(l, r.o.Now()); ok {
			links[u.ID] = l
			us = append(us, u)
		}
	}
	s, orders := Next(r.state, r.o.View(), us, r.o.Now())
	r.state = s
	for _, o := range orders {
		switch o := o.(type) {
		case Load:
			r.send(ctx, links[o.Upstream], orderRequest(wire.OrderKind_ORDER_KIND_LOAD, o.Version), token)
		case Unload:
			r.send(ctx, links[o.Upstream], orderRequest(wire.OrderKind_ORDER_KIND_UNLOAD, o.Version), token)
		}
	}
}

func orderRequest(k wire.OrderKind, v ident.VersionRef) *wire.OrderRequest {
	return &wire.OrderRequest{Kind: k, Model: string(v.Model), Version: string(v.Version)}
}

// send delivers an order to an agent. A load whose delivery failed is ordered again
// after loadTimeout.
func (r *Runner) send(ctx context.Context, l *agents.Link, q *wire.OrderRequest, token ident.FencingToken) {
	q.Lease = r.o.LeaseName
	q.FencingToken = uint64(token)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	log := r.o.Log.With().Str("upstream", string(l.Upstream())).Str("version", q.GetModel()+"@"+q.GetVersion()).Logger()
	c, err := l.Conn()
	if err != nil {
		log.Warn().Err(err).Msg("can't send the load or unload order to the agent")
		return
	}
	p, err := c.Agent.Order(ctx, q)
	if err == nil && p.GetRefusal() != nil {
		err = refuse.FromWire(p.GetRefusal())
	}
	if err != nil {
		log.Warn().Err(err).Msg("the load or unload order was not accepted")
		return
	}
	log.Info().Stringer("kind", q.GetKind()).Msg("load or unload order accepted")
}

// upstreamOf returns the model engine behind a link. It returns false without a recent
// status, for a plain service, and for an engine that is draining.
func upstreamOf(l *agents.Link, now time.Time) (Upstream, bool) {
	s := l.LatestStatus()
	if s == nil || !l.Usable(now) || s.Status.GetService() != "" || s.Status.GetDraining() {
		return Upstream{}, false
	}
	u := Upstream{
		ID:      l.Upstream(),
		Domain:  l.Domain(),
		Slots:   int(s.Status.GetSlots()),
		Running: int(s.Status.GetRunning()),
		Queued:  int(s.Status.GetQueued()),
	}
	for _, v := range s.Status.GetLoaded() {
		u.Loaded = append(u.Loaded, ident.VersionRef{Model: ident.ModelID(v.GetModel()), Version: ident.VersionID(v.GetVersion())})
	}
	return u, true
}
