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
	// interval is how often the holder of the lease looks at the copies.
	interval = 2 * time.Second
	// orderLimit bounds one order; the engine loads after it has accepted it.
	orderLimit = 2 * time.Second
)

// Lease says whether this instance may give orders; lease.Lease implements it.
type Lease interface {
	Held() (ident.FencingToken, bool)
}

// Options are the parts that a Runner works with.
type Options struct {
	Lease Lease
	// LeaseName is the name of the lease's row, from which agents learn the highest token.
	LeaseName string
	View      func() *spread.View
	Links     func() []*agents.Link
	Log       zerolog.Logger
	Now       func() time.Time
}

// Runner gives orders to the engines while it holds the lease.
type Runner struct {
	o     Options
	state State
}

// New returns a runner.
func New(o Options) *Runner {
	return &Runner{o: o, state: NewState()}
}

// Name returns the name of the step in the program's start order.
func (r *Runner) Name() string {
	return "copies"
}

// Run looks at the copies until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	return serve.Every(ctx, interval, r.round)
}

func (r *Runner) round(ctx context.Context) {
	token, held := r.o.Lease.Held()
	if !held {
		r.state = NewState()
		return
	}
	links := map[ident.UpstreamID]*agents.Link{}
	var us []Upstream
	for _, l := range r.o.Links() {
		if u, ok := engine(l, r.o.Now()); ok {
			links[u.ID] = l
			us = append(us, u)
		}
	}
	s, orders := Next(r.state, r.o.View(), us, r.o.Now())
	r.state = s
	for _, o := range orders {
		switch o := o.(type) {
		case Load:
			r.send(ctx, links[o.Upstream], message(wire.OrderKind_ORDER_KIND_LOAD, o.Version), token)
		case Unload:
			r.send(ctx, links[o.Upstream], message(wire.OrderKind_ORDER_KIND_UNLOAD, o.Version), token)
		}
	}
}

func message(k wire.OrderKind, v ident.VersionRef) *wire.OrderRequest {
	return &wire.OrderRequest{Kind: k, Model: string(v.Model), Version: string(v.Version)}
}

// send passes one order to an agent. A load that failed is ordered again after loadLimit.
func (r *Runner) send(ctx context.Context, l *agents.Link, q *wire.OrderRequest, token ident.FencingToken) {
	q.Lease = r.o.LeaseName
	q.FencingToken = uint64(token)
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	log := r.o.Log.With().Str("upstream", string(l.Upstream())).Str("version", q.GetModel()+"@"+q.GetVersion()).Logger()
	c, err := l.Conn()
	if err != nil {
		log.Warn().Err(err).Msg("order not sent")
		return
	}
	p, err := c.Agent.Order(ctx, q)
	if err == nil && p.GetRefusal() != nil {
		err = refuse.FromWire(p.GetRefusal())
	}
	if err != nil {
		log.Warn().Err(err).Msg("order not accepted")
		return
	}
	log.Info().Stringer("kind", q.GetKind()).Msg("order accepted")
}

// engine returns a model engine's state if its agent's report is fresh and it stays.
func engine(l *agents.Link, now time.Time) (Upstream, bool) {
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
