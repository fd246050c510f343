// Package boot wires the router.
package boot

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/platform/heads"
	"tarragonvalve.example/platform/rows"
	"tarragonvalve.example/router/budget"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/clock"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/front"
	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/known"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/mover"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/pulse"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/relay"
	"tarragonvalve.example/router/setup"
	"tarragonvalve.example/router/share"
)

// Main runs the router with command-line arguments and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	// From the first moment on: the signal would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	p := launch.Program[*setup.Settings]{
		Name:  "router",
		About: "Serves clients and speaks to upstreams directly.",
		Read:  setup.Read,
		Run: func(ctx context.Context, s *setup.Settings, out, _ io.Writer) error {
			return run(ctx, s, reload, out)
		},
	}
	return p.Main(args, out, errs)
}

const (
	// memoryShare is the part of the allowed memory at which the collector works harder.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

func run(ctx context.Context, s *setup.Settings, reload <-chan os.Signal, out io.Writer) error {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory*megabyte) * memoryShare))
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	l, flush := logger.Decisions(out, level, s.Instance)
	defer flush() //nolint:errcheck // the output is gone; there is nowhere else to say so
	l.Info().Str("domain", string(s.Domain)).Int("pid", os.Getpid()).Msg("start")
	steps, err := build(s, reload, l)
	if err != nil {
		return err
	}
	err = serve.Run(ctx, steps)
	l.Info().AnErr("error", err).Msg("stop")
	return err
}

// build wires all parts and returns the steps in the order of their start.
// They stop in reverse order, so clients are drained while all others work.
func build(s *setup.Settings, reload <-chan os.Signal, l zerolog.Logger) ([]serve.Step, error) {
	c := dig.New()
	for _, p := range []any{
		func() *setup.Settings { return s },
		func() zerolog.Logger { return l },
		func() *setup.Live { return setup.NewLive(s, reload, l) },
		func() clock.Func { return clock.Boot },
		func() call.Codec { return heads.Codec{} },
		func() known.Store { return rows.New(s.Store) },
		newContacts,
		newPeers,
		newGossip,
		known.New,
		link.New,
		func() *place.Balancer { return place.New(s.Domain) },
		notice.New,
		newMemory,
		canary.NewMonitor,
		newMover,
		newShare,
		newBudget,
		newPulse,
		newRelay,
		newGate,
		newMeter,
		front.New,
		newClients,
		newAdmin,
	} {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var steps []serve.Step
	err := c.Invoke(func(v *setup.Live, b *place.Balancer, t *notice.Registry, n *known.Syncer, p *link.Pool, m *mover.Controller, u *pulse.Monitor, g *gossip.Exchanger, h *share.Server, a *admin, f *front.Server) {
		steps = []serve.Step{v, n, p, m, u, g, &cleaner{book: b, notices: t, node: n}, a}
		if h != nil {
			steps = append(steps, h)
		}
		steps = append(steps, f)
	})
	return steps, err
}

func newBudget(v *setup.Live, g *gossip.Exchanger) *budget.Budget {
	return budget.New(func() budget.Rule {
		b := v.Bounds()
		return budget.Rule{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack / float64(max(g.RouterCount(), leastShares))}
	})
}

// leastShares is the least number of parts into which the bound's slack is divided:
// instances that have just started don't know of all others yet.
const leastShares = 10

func newMover(s *setup.Settings, v *setup.Live, n *known.Syncer, w *canary.Monitor, l zerolog.Logger) *mover.Controller {
	return mover.New(n, w, s.Instance, func() float64 { return v.Bounds().CanaryShare }, l)
}

func newPulse(b *place.Balancer, n *known.Syncer, l zerolog.Logger) *pulse.Monitor {
	return pulse.New(b, func() *fleet.List { return n.View().Fleet }, l)
}

// relayParts are the parts that a relay uses.
type relayParts struct {
	dig.In

	Settings *setup.Settings
	Node     *known.Syncer
	Links    *link.Pool
	Codec    call.Codec
	Book     *place.Balancer
	Pulse    *pulse.Monitor
	Notices  *notice.Registry
	Watch    *canary.Monitor
	Budget   *budget.Budget
	Meter    *meter.Meter
	Memory   *quota.MemoryLimit
	Now      clock.Func
	Log      zerolog.Logger
	Gossip   *gossip.Exchanger
}

func newRelay(p relayParts) *relay.Relay {
	return relay.New(relay.Options{
		Node: p.Node, Links: p.Links, Codec: p.Codec, Book: p.Book, Pulse: p.Pulse, Notices: p.Notices, Watch: p.Watch,
		Budget: p.Budget, Meter: p.Meter, Memory: p.Memory, Now: p.Now, Log: p.Log, Domain: p.Settings.Domain, Values: p.Settings.Values, Size: p.Gossip.RouterCount,
	})
}

// messageShare is the part of the allowed memory that messages in progress may take.
const messageShare = 0.25

func newMemory(s *setup.Settings) *quota.MemoryLimit {
	return quota.NewMemoryLimit(int64(float64(s.Memory*megabyte) * messageShare))
}

func newMeter(n *known.Syncer, g *front.Gate, o *gossip.Exchanger) *meter.Meter {
	age := func() float64 {
		a, ok := n.ConfigAge()
		if !ok {
			return -1
		}
		return a.Seconds()
	}
	return meter.New(age, func() float64 { return float64(g.Open()) }, func() float64 { return float64(o.RouterCount()) })
}

func newGate(v *setup.Live, n *known.Syncer, now clock.Func) *front.Gate {
	return front.NewGate(n, now, func() time.Duration { return v.Bounds().Revoke })
}

func newClients(s *setup.Settings, v *setup.Live, h *front.Handler, g *front.Gate, n *known.Syncer, m *meter.Meter, l zerolog.Logger) (*front.Server, error) {
	i, err := net.Listen("tcp", s.Clients)
	if err != nil {
		return nil, err
	}
	return &front.Server{Listener: i, Handler: h, Gate: g, Node: n, Grace: func() time.Duration { return v.Bounds().Grace }, Refused: m.Refused, Log: l}, nil
}
