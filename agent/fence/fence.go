// Package fence passes orders to the engine under fencing tokens. It checks the
// tokens on behalf of engines that ignore them.
package fence

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// Tokens reads the highest token of a lease from the table; lease.HighestToken does.
type Tokens func(ctx context.Context, lease string) (ident.FencingToken, error)

// Engine passes orders on; engine.Client implements it.
type Engine interface {
	Order(ctx context.Context, o engine.Order) error
}

// Options are the parts of a Guard.
type Options struct {
	Engine Engine
	Tokens Tokens
	// ChecksFencing reports whether the engine itself refuses old tokens.
	ChecksFencing func() bool
	Ring          *event.Ring
	// ReadLimit bounds the read of the highest token.
	ReadLimit time.Duration
}

// maxLeases bounds the leases whose tokens are remembered. A lease that is
// forgotten is read from the table again.
const maxLeases = 256

// Guard passes one order at a time, so that an order with an old token can't
// overtake the check of a newer one. It is safe for concurrent use.
type Guard struct {
	options Options

	turn    chan struct{}
	mu      sync.Mutex
	highest map[string]ident.FencingToken
}

// New returns a guard that knows no token yet.
func New(o Options) *Guard {
	return &Guard{options: o, turn: make(chan struct{}, 1), highest: make(map[string]ident.FencingToken)}
}

// Highest returns the highest token seen of a lease, 0 for none.
func (g *Guard) Highest(lease string) ident.FencingToken {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest[lease]
}

// Order checks an order's token and passes the order on. The refusal is nil
// when the engine accepted it.
func (g *Guard) Order(ctx context.Context, q *wire.OrderRequest) *refuse.Error {
	o, ok := order(q)
	if !ok {
		return refuse.New(refuse.BadRequest, refuse.NotRun, "order engine: unknown kind, or no lease or token")
	}
	select {
	case g.turn <- struct{}{}:
	case <-ctx.Done():
		return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "order engine: another order is in progress")
	}
	defer func() { <-g.turn }()
	if ref := g.check(ctx, o); ref != nil {
		return ref
	}
	if err := g.options.Engine.Order(ctx, o); err != nil {
		return failure(err)
	}
	g.options.Ring.Record(event.Event{
		Kind:    event.OrderPassed,
		Version: ident.VersionRef{Model: ident.ModelID(o.Model), Version: ident.VersionID(o.Version)},
		Fields:  map[string]string{"kind": o.Kind, "lease": o.Lease, "token": strconv.FormatUint(o.Token, 10)},
	})
	return nil
}

// check compares the token with the highest one known. After a restart, and
// for a lease not seen before, it first reads the highest from the table: an
// earlier process of this agent may have passed an order with a newer token.
func (g *Guard) check(ctx context.Context, o engine.Order) *refuse.Error {
	if g.options.ChecksFencing() {
		return nil
	}
	t := ident.FencingToken(o.Token)
	g.mu.Lock()
	known, seen := g.highest[o.Lease]
	g.mu.Unlock()
	if !seen {
		c, cancel := context.WithTimeout(ctx, g.options.ReadLimit)
		defer cancel()
		h, err := g.options.Tokens(c, o.Lease)
		if err != nil {
			return refuse.New(refuse.TableUnavailable, refuse.NotRun, "order engine: read the highest token of lease %q: %v", o.Lease, err)
		}
		known = h
	}
	g.remember(o.Lease, max(known, t))
	if t < known {
		return refuse.New(refuse.FencingTokenOld, refuse.NotRun,
			"order engine: token %d of lease %q is older than %d", t, o.Lease, known)
	}
	return nil
}

func (g *Guard) remember(lease string, t ident.FencingToken) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.highest[lease]; !ok && len(g.highest) >= maxLeases {
		clear(g.highest)
	}
	g.highest[lease] = t
}

func order(q *wire.OrderRequest) (engine.Order, bool) {
	o := engine.Order{
		Model:   q.GetModel(),
		Version: q.GetVersion(),
		Adapter: q.GetAdapter(),
		Role:    q.GetEngineRole(),
		Lease:   q.GetLease(),
		Token:   q.GetFencingToken(),
	}
	switch q.GetKind() {
	case wire.OrderKind_ORDER_KIND_LOAD:
		o.Kind = "load"
		if o.Adapter != "" {
			o.Kind = "adapter"
		}
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		o.Kind = "unload"
	case wire.OrderKind_ORDER_KIND_ROLE:
		o.Kind = "role"
	default:
		return o, false
	}
	return o, o.Lease != "" && o.Token != 0
}

func failure(err error) *refuse.Error {
	var r *engine.RefusedError
	if errors.As(err, &r) && r.Status == 409 {
		return refuse.New(refuse.FencingTokenOld, refuse.NotRun, "order engine: %v", err)
	}
	if engine.ProvenNotRun(err) {
		return refuse.New(refuse.UpstreamFailed, refuse.NotRun, "order engine: %v", err)
	}
	return refuse.New(refuse.OutcomeUnknown, refuse.Unknown, "order engine: %v", err)
}
