// Package boot wires the router.
package boot

import (
	"context"
	"io"
	"net"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/platform/heads"
	"tarragonvalve.example/platform/rows"
	"tarragonvalve.example/router/budget"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/clock"
	"tarragonvalve.example/router/front"
	"tarragonvalve.example/router/known"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/relay"
	"tarragonvalve.example/router/setup"
)

// Main runs the router with command-line arguments and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	p := launch.Program[*setup.Settings]{
		Name:  "router",
		About: "Serves clients and speaks to upstreams directly.",
		Read:  setup.Read,
		Run: func(ctx context.Context, s *setup.Settings, out, _ io.Writer) error {
			return run(ctx, s, out)
		},
	}
	return p.Main(args, out, errs)
}

const (
	// memoryShare is the part of the allowed memory at which the collector works harder.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

func run(ctx context.Context, s *setup.Settings, out io.Writer) error {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory*megabyte) * memoryShare))
	}
	l, err := newLogger(s, out)
	if err != nil {
		return err
	}
	l.Info().Str("instance", s.Instance).Str("domain", string(s.Domain)).Int("pid", os.Getpid()).Msg("start")
	steps, err := build(s, l)
	if err != nil {
		return err
	}
	err = serve.Run(ctx, steps)
	l.Info().AnErr("error", err).Msg("stop")
	return err
}

func newLogger(s *setup.Settings, out io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Logger{}, err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(out).Level(level).With().Timestamp().Str("instance", s.Instance).Logger(), nil
}

// build wires all parts and returns the steps in the order of their start.
// They stop in reverse order, so clients are drained while all others work.
func build(s *setup.Settings, l zerolog.Logger) ([]serve.Step, error) {
	c := dig.New()
	for _, p := range []any{
		func() *setup.Settings { return s },
		func() zerolog.Logger { return l },
		func() clock.Func { return clock.Boot },
		func() call.Codec { return heads.Codec{} },
		func() known.Store { return rows.New(s.Store) },
		known.New,
		link.New,
		place.New,
		newBudget,
		newRelay,
		newGate,
		front.New,
		newClients,
		newAdmin,
	} {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var steps []serve.Step
	err := c.Invoke(func(n *known.Node, p *link.Pool, a *admin, f *front.Server) {
		steps = []serve.Step{n, p, a, f}
	})
	return steps, err
}

func newBudget(s *setup.Settings) *budget.Budget {
	return budget.New(rule(s))
}

// slackShares is the number of parts into which the bound's slack is divided:
// more than there are instances today, so that the sum holds without coordination.
const slackShares = 10

func rule(s *setup.Settings) budget.Rule {
	return budget.Rule{Ratio: s.Bounds.RetryRatio, Window: s.Bounds.RetryWindow, Slack: s.Bounds.RetrySlack / slackShares}
}

func newRelay(s *setup.Settings, n *known.Node, p *link.Pool, c call.Codec, b *place.Book, u *budget.Budget, now clock.Func, l zerolog.Logger) *relay.Relay {
	return relay.New(relay.Options{Node: n, Links: p, Codec: c, Book: b, Budget: u, Now: now, Log: l, Domain: s.Domain})
}

func newGate(s *setup.Settings, n *known.Node, now clock.Func) *front.Gate {
	return front.NewGate(n, now, s.Bounds.Revoke)
}

func newClients(s *setup.Settings, h *front.Handler, g *front.Gate, n *known.Node, l zerolog.Logger) (*front.Server, error) {
	i, err := net.Listen("tcp", s.Clients)
	if err != nil {
		return nil, err
	}
	return &front.Server{Listener: i, Handler: h, Gate: g, Node: n, Grace: s.Bounds.Grace, Log: l}, nil
}
