// Package boot is the router's main program: it reads the settings, wires the components
// and runs them.
package boot

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/platform/heads"
	"tarragonvalve.example/platform/rows"
	"tarragonvalve.example/router/budget"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/front"
	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/probe"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/relay"
	"tarragonvalve.example/router/setup"
	"tarragonvalve.example/router/share"
	"tarragonvalve.example/router/speed"
	"tarragonvalve.example/router/stager"
	"tarragonvalve.example/router/uplink"
)

// Main runs the router, or a verb that asks a running one, with command-line arguments and returns its
// exit code.
func Main(args []string, out, errs io.Writer) int {
	if isCommand(args) {
		return runCommand(args, out, errs)
	}
	// Before anything else, as an unhandled SIGHUP would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	p := launch.Program[*setup.Settings]{
		Name:        "router",
		Description: "Serves clients and connects to upstreams directly.",
		Read:        setup.Read,
		Run: func(ctx context.Context, s *setup.Settings, out, _ io.Writer) error {
			return run(ctx, s, reload, out)
		},
	}
	return p.Main(args, out, errs)
}

const (
	// softLimitShare is the fraction of the allowed memory that is set as Go's soft memory
	// limit, near which the garbage collector runs more often.
	softLimitShare = 0.6
	// megabyte is the unit of the memory setting, in bytes.
	megabyte = 1 << 20
)

// run runs the router with the settings s until ctx ends, and returns after the shutdown.
func run(ctx context.Context, s *setup.Settings, reload <-chan os.Signal, out io.Writer) error {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB*megabyte) * softLimitShare))
	}
	if s.Processors > 0 {
		runtime.GOMAXPROCS(s.Processors)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	l, flush := logger.Decisions(out, level, s.Instance)
	defer flush() //nolint:errcheck // a failed flush can't be logged, as the log's output failed
	l.Info().Str("domain", string(s.Domain)).Int("pid", os.Getpid()).Int("processors", runtime.GOMAXPROCS(0)).Msg("start")
	steps, err := build(s, reload, l)
	if err != nil {
		return err
	}
	err = serve.Run(ctx, steps)
	l.Info().AnErr("error", err).Msg("stop")
	return err
}

// build wires all components and returns the steps in the order of their start. They stop in
// reverse order, so that clients are drained while all other steps still run.
func build(s *setup.Settings, reload <-chan os.Signal, l zerolog.Logger) ([]serve.Component, error) {
	c := dig.New()
	for _, p := range []any{
		func() *setup.Settings { return s },
		func() zerolog.Logger { return l },
		func() *setup.Live { return setup.NewLive(s, reload, l) },
		func() clock.Func { return clock.Boot },
		func() call.Codec { return heads.Codec{} },
		func() mirror.Store { return rows.New(s.Store) },
		newPeerClients,
		newPeers,
		newJudgedSamples,
		newGossip,
		mirror.New,
		link.New,
		func() *place.Balancer { return place.New(s.Domain) },
		notice.New,
		poison.New,
		speed.NewRegistry,
		pins.New,
		newCrashes,
		newMemory,
		newCanary,
		canary.NewPresence,
		newStager,
		newShare,
		newBudget,
		newProbe,
		newRelay,
		newLateness,
		newUplink,
		newGate,
		newMeter,
		front.New,
		newClientServer,
		newAdmin,
	} {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var steps []serve.Component
	err := c.Invoke(func(v *setup.Live, b *place.Balancer, t *notice.Registry, r *crash.Monitor, q *poison.Registry, d *speed.Registry, e *pins.Registry, n *mirror.Syncer, p *link.Pool, w *late.Meter, k *uplink.Meter, m *stager.Controller, u *probe.Monitor, g *gossip.Exchanger, h *share.Server, a *admin, f *front.Server) {
		p.Track(k.Track)
		steps = []serve.Component{
			w, k, v, n, p, m, u, g,
			&cleaner{balancer: b, notices: t, crashes: r, poison: q, speeds: d, syncer: n},
			&poison.Component{Registry: q, Attempts: r},
			&pins.Component{Registry: e, Syncer: n},
			a,
		}
		if h != nil {
			h.SetLimit(k.Control())
			steps = append(steps, h)
		}
		steps = append(steps, f)
	})
	return steps, err
}

// newBudget returns a retry budget that follows the bounds in force, with this instance's
// share of the slack.
func newBudget(v *setup.Live, g *gossip.Exchanger) *budget.Budget {
	return budget.New(func() budget.Rule {
		b := v.Bounds()
		return budget.Rule{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack / float64(max(g.RouterCount(), minInstances))}
	})
}

// minInstances is the least number of instances among which the retry slack is divided:
// instances that have just started don't count all others yet.
const minInstances = 10

func newStager(s *setup.Settings, v *setup.Live, n *mirror.Syncer, w *canary.Monitor, p *canary.Presence, l zerolog.Logger) *stager.Controller {
	return stager.New(n, w, p, s.Instance, func() float64 { return v.Bounds().CanaryShare }, l)
}

func newCrashes(r *poison.Registry, m *late.Meter, l zerolog.Logger) *crash.Monitor {
	return crash.New(r, m.Lateness, l)
}

func newCanary(m *late.Meter) *canary.Monitor {
	return canary.NewMonitor(m.Lateness)
}

// marker tells the balancer and the crash monitor which upstreams are unresponsive.
type marker struct {
	*place.Balancer
	crashes *crash.Monitor
	syncer  *mirror.Syncer
}

// SetUnresponsive implements probe.Marker. One that drains, or is no longer listed, accepts no connections as it shuts
// down: no request is the cause.
func (m marker) SetUnresponsive(id ident.UpstreamID, unresponsive bool) {
	m.Balancer.SetUnresponsive(id, unresponsive)
	if u := m.syncer.View().Fleet.All()[id]; unresponsive && u != nil && !u.Draining {
		m.crashes.Down(id, time.Now())
	}
}

func newProbe(b *place.Balancer, c *crash.Monitor, n *mirror.Syncer, l zerolog.Logger) *probe.Monitor {
	return probe.New(marker{Balancer: b, crashes: c, syncer: n}, func() *fleet.List { return n.View().Fleet }, l)
}

// relayParts are the dependencies of a relay, as dig injects them.
type relayParts struct {
	dig.In

	Settings *setup.Settings
	Syncer   *mirror.Syncer
	Links    *link.Pool
	Codec    call.Codec
	Balancer *place.Balancer
	Probe    *probe.Monitor
	Notices  *notice.Registry
	Crashes  *crash.Monitor
	Poison   *poison.Registry
	Speed    *speed.Registry
	Pins     *pins.Registry
	Canary   *canary.Monitor
	Presence *canary.Presence
	Budget   *budget.Budget
	Meter    *meter.Meter
	Memory   *quota.MemoryLimit
	Now      clock.Func
	Late     *late.Meter
	Log      zerolog.Logger
	Gossip   *gossip.Exchanger
}

func newRelay(p relayParts) *relay.Relay {
	return relay.New(relay.Options{
		Syncer: p.Syncer, Links: p.Links, Codec: p.Codec, Balancer: p.Balancer, Probe: p.Probe, Notices: p.Notices, Crashes: p.Crashes, Poison: p.Poison, Speed: p.Speed, Pins: p.Pins, Canary: p.Canary, Presence: p.Presence,
		Budget: p.Budget, Meter: p.Meter, Memory: p.Memory, Now: p.Now, Lateness: p.Late.Lateness, Log: p.Log, Domain: p.Settings.Domain, Values: p.Settings.Values, Size: p.Gossip.RouterCount,
	})
}

// messageShare is the fraction of the allowed memory that the bodies of requests and
// responses in progress may take.
const messageShare = 0.25

func newMemory(s *setup.Settings) *quota.MemoryLimit {
	return quota.NewMemoryLimit(int64(float64(s.MemoryMB*megabyte) * messageShare))
}

// newMeter returns metrics that read the state of the other components when they are scraped.
func newMeter(n *mirror.Syncer, g *front.Gate, o *gossip.Exchanger, t *notice.Registry, q *poison.Registry, d *speed.Registry, w *late.Meter, k *uplink.Meter) *meter.Meter {
	age := func() float64 {
		a, ok := n.ConfigAge()
		if !ok {
			return -1
		}
		return a.Seconds()
	}
	return meter.New(meter.Readings{
		ConfigurationAge: age,
		Open:             func() float64 { return float64(g.InFlight()) },
		Instances:        func() float64 { return float64(o.RouterCount()) },
		LimitedUpstreams: func() float64 { return float64(t.LimitedCount()) },
		ColdUpstreams:    func() float64 { return float64(n.View().ColdCount(time.Now())) },
		EvacuatedDomains: func() float64 { return float64(len(n.View().Evacuated)) },
		Quarantined:      func() float64 { return float64(q.Count()) },
		IgnoredRows:      func() float64 { return float64(n.IgnoredRows()) },
		Lateness:         func() float64 { return w.Lateness().Seconds() },
		LateEpisodes:     func() float64 { return float64(w.Episodes()) },
		LinkBacklog:      func() float64 { return float64(k.State().Backlog()) },
		LinkDelay:        func() float64 { return k.State().Delay().Seconds() },
		FullEpisodes:     func() float64 { return float64(k.Episodes()) },

		SlowUpstreams:     func() float64 { return float64(d.Stats(time.Now()).Slow) },
		UntriedUpstreams:  func() float64 { return float64(d.Stats(time.Now()).Stale) },
		SpeedObservations: func() float64 { return float64(d.Stats(time.Now()).Observations) },
		SpeedSkipped:      func() float64 { return float64(d.Stats(time.Now()).Skipped) },
	})
}

func newLateness(now clock.Func, l zerolog.Logger) *late.Meter {
	return late.New(late.Clock(now), l)
}

// bytesPerMegabit is the number of bytes in a megabit.
const bytesPerMegabit = 125_000

func newUplink(s *setup.Settings, now clock.Func, l zerolog.Logger) *uplink.Meter {
	return uplink.New(now, s.LinkMbps*bytesPerMegabit, l)
}

func newGate(v *setup.Live, n *mirror.Syncer, now clock.Func, m *late.Meter) *front.Gate {
	return front.NewGate(n, now, m, func() time.Duration { return v.Bounds().RevokeWithin }, func() time.Duration { return v.Bounds().GracePeriod })
}

// newClientServer opens the listener for clients and returns the server that uses it.
func newClientServer(s *setup.Settings, h *front.Handler, g *front.Gate, n *mirror.Syncer, c call.Codec, m *meter.Meter, k *uplink.Meter, l zerolog.Logger) (*front.Server, error) {
	i, err := net.Listen("tcp", s.Clients)
	if err != nil {
		return nil, err
	}
	for _, x := range ending.OfConnections() {
		m.AddEndCause(string(x))
	}
	return &front.Server{
		Listener: k.Listener(i), Handler: h, Gate: g, Syncer: n, Refused: m.ConnectionRefused, Log: l, Refuse: h.RefuseAccepted,
		Ended:     func(x ending.Cause) { m.ConnectionEnded(string(x)) },
		RequestID: func(h http.Header) call.ID { return c.ParseRequest(h).ID },
	}, nil
}
