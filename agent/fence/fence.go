// Package fence forwards orders to the engine and checks their fencing tokens for engines
// that do not check them.
package fence

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// TokenReader reads the highest fencing token of a lease from the table, as
// lease.HighestToken does.
type TokenReader func(ctx context.Context, lease string) (ident.FencingToken, error)

// Engine sends orders to the engine; engine.Client implements it.
type Engine interface {
	Order(ctx context.Context, o engine.Order) error
}

// Options configures a Guard.
type Options struct {
	Engine Engine
	Tokens TokenReader
	// ChecksFencing reports whether the engine refuses old tokens itself.
	ChecksFencing func() bool
	Ring          *event.Ring
	// ReadTimeout bounds the time in which this process runs and reads the highest token from the table.
	ReadTimeout time.Duration
}

// maxLeases bounds the cached tokens. When it is reached, the cache is cleared, and tokens
// are read from the table again.
const maxLeases = 256

// Guard forwards one order at a time, so that an order with an old token can't pass its
// check and then reach the engine after an order with a newer token. It is safe for
// concurrent use.
type Guard struct {
	options Options

	inProgress chan struct{}
	mu         sync.Mutex
	highest    map[string]ident.FencingToken
}

// New returns a guard without cached tokens.
func New(o Options) *Guard {
	return &Guard{options: o, inProgress: make(chan struct{}, 1), highest: make(map[string]ident.FencingToken)}
}

// Highest returns the highest cached token of a lease, 0 for none.
func (g *Guard) Highest(lease string) ident.FencingToken {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest[lease]
}

// Order checks the token of an order and forwards the order. It returns nil if the engine
// accepted the order.
func (g *Guard) Order(ctx context.Context, q *wire.OrderRequest) *refuse.Error {
	o, ok := decodeOrder(q)
	if !ok {
		return refuse.New(refuse.BadRequest, refuse.NotRun, "order engine: unknown kind, or no lease or token")
	}
	select {
	case g.inProgress <- struct{}{}:
	case <-ctx.Done():
		return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "order engine: another order is in progress")
	}
	defer func() { <-g.inProgress }()
	if ref := g.check(ctx, o); ref != nil {
		return ref
	}
	if err := g.options.Engine.Order(ctx, o); err != nil {
		return refusalOf(err)
	}
	g.options.Ring.Record(event.Event{
		Kind:    event.OrderPassed,
		Version: ident.VersionRef{Model: ident.ModelID(o.Model), Version: ident.VersionID(o.Version)},
		Fields:  map[string]string{"kind": o.Kind, "lease": o.Lease, "token": strconv.FormatUint(o.Token, 10)},
	})
	return nil
}

// check refuses a token that is older than the highest one of its lease. Without a cached
// token, such as after a restart, it reads the highest token from the table: an earlier
// process of this agent may have forwarded an order with a newer token.
func (g *Guard) check(ctx context.Context, o engine.Order) *refuse.Error {
	if g.options.ChecksFencing() {
		return nil
	}
	t := ident.FencingToken(o.Token)
	g.mu.Lock()
	highest, found := g.highest[o.Lease]
	g.mu.Unlock()
	if !found {
		h, err := g.read(ctx, o.Lease)
		if err != nil {
			return refuse.New(refuse.TableUnavailable, refuse.NotRun, "order engine: read the highest token of lease %q: %v", o.Lease, err)
		}
		highest = h
	}
	g.setHighest(o.Lease, max(highest, t))
	if t < highest {
		return refuse.New(refuse.FencingTokenOld, refuse.NotRun,
			"order engine: token %d of lease %q is older than %d", t, o.Lease, highest)
	}
	return nil
}

// read reads the highest token of a lease from the table. The table's client counts time in which this process did not run; if
// it gives up before this process has run for the read timeout, the guard reads again.
func (g *Guard) read(ctx context.Context, lease string) (ident.FencingToken, error) {
	inner, stop := clock.WithoutDeadline(ctx)
	defer stop(nil)
	c, cancel := clock.WithTimeout(inner, g.options.ReadTimeout)
	defer cancel()
	for {
		t, err := g.options.Tokens(c, lease)
		var n net.Error
		if err != nil && c.Err() == nil && errors.As(err, &n) && n.Timeout() {
			continue
		}
		return t, err
	}
}

func (g *Guard) setHighest(lease string, t ident.FencingToken) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.highest[lease]; !ok && len(g.highest) >= maxLeases {
		clear(g.highest)
	}
	g.highest[lease] = t
}

// decodeOrder converts an order. It reports false for an unknown kind and for an order
// without a lease or a token.
func decodeOrder(q *wire.OrderRequest) (engine.Order, bool) {
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

// refusalOf converts an error of the engine. Status 409 means that the engine refused the
// token; without proof that the order was not executed, its outcome is unknown.
func refusalOf(err error) *refuse.Error {
	var r *engine.StatusError
	if errors.As(err, &r) && r.Status == 409 {
		return refuse.New(refuse.FencingTokenOld, refuse.NotRun, "order engine: %v", err)
	}
	if engine.ProvenNotRun(err) {
		return refuse.New(refuse.UpstreamFailed, refuse.NotRun, "order engine: %v", err)
	}
	return refuse.New(refuse.OutcomeUnknown, refuse.Unknown, "order engine: %v", err)
}
