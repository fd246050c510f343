package boot

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/certs"
	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/lease"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/token"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/caller"
	"tarragonvalve.example/entry/calls"
	"tarragonvalve.example/entry/copies"
	"tarragonvalve.example/entry/fleet"
	"tarragonvalve.example/entry/peers"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/ramp"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/roster"
	"tarragonvalve.example/entry/setup"
)

// build constructs all components and returns those that run as steps, in the order
// of their start. They stop in reverse order: the callers' API drains while all
// others still run, and receipts are stored and acknowledged after the last request
// has ended. The listening addresses are written to out as one JSON line.
func build(s *setup.Settings, out, logs io.Writer) ([]serve.Component, error) {
	c := dig.New()
	l := logger.New(logs, s.Entry.LogLevel, "entry")
	provide := []any{
		func() *setup.Settings { return s },
		func() zerolog.Logger { return l },
		newListeners,
		newCertificates,
		newLateness,
		newRing,
		newPanics,
		newTable,
		newStore,
		newReplica,
		newReadiness,
		newClaims,
		newAgentSet,
		newAcks,
		newLedger,
		newRoster,
		newMembers,
		newPolicy,
		newFleet,
		newRelay,
		newExecutor,
		newRatings,
		newLease,
		newRamp,
		newCopies,
		newDemandExchange,
		newPeers,
		newPeerServer,
		newCallerAPI,
		newCallerServer,
		newMetrics,
		newFanout,
		newAdminHandler,
		newAdminServer,
	}
	for _, p := range provide {
		if err := c.Provide(p); err != nil {
			return nil, err
		}
	}
	var steps []serve.Component
	err := c.Invoke(func(p components) error {
		steps = p.steps()
		return p.Listeners.announce(out, s.Entry.Instance)
	})
	if err != nil {
		return nil, dig.RootCause(err)
	}
	return steps, nil
}

// components holds the components that run as steps.
type components struct {
	dig.In

	Listeners    *listeners
	Lateness     *late.Meter
	Replica      *spread.Replica
	Claims       *claim.Store
	Policy       *policy.Controller
	Set          *agents.Set
	Roster       *roster.Roster
	Fleet        *fleet.Fleet
	Ledger       *ledger.Buffer
	Acks         *agents.Acks
	Ratings      *ratings
	Lease        *lease.Lease
	Ramp         *ramp.Runner
	Copies       *copies.Runner
	Peers        *peers.Exchanger
	PeerServer   *peerServer
	AdminServer  *adminServer
	CallerServer *callerServer
	Log          zerolog.Logger
}

// steps returns the steps in the order of their start.
func (p components) steps() []serve.Component {
	return []serve.Component{
		p.Lateness,
		p.Replica,
		p.Claims,
		p.Policy,
		p.Set,
		p.Roster,
		p.Fleet,
		p.Acks,
		p.Ledger,
		&finalFlush{buffer: p.Ledger, log: logger.Part(p.Log, "ledger")},
		p.Ratings.client,
		p.Lease,
		p.Ramp,
		p.Copies,
		p.Peers,
		p.PeerServer,
		p.AdminServer,
		p.CallerServer,
	}
}

// listeners holds the TCP listeners of the process: for callers, for other entries
// and for operators.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

func newListeners(s *setup.Settings) (*listeners, error) {
	l := &listeners{}
	for _, p := range []struct {
		to   *net.Listener
		addr string
	}{{&l.callers, s.Entry.CallersAddr}, {&l.peers, s.Entry.PeersAddr}, {&l.admin, s.Entry.AdminAddr}} {
		n, err := net.Listen("tcp", p.addr)
		if err != nil {
			l.close()
			return nil, err
		}
		*p.to = n
	}
	return l, nil
}

func (l *listeners) close() {
	for _, n := range []net.Listener{l.callers, l.peers, l.admin} {
		if n != nil {
			n.Close()
		}
	}
}

// announce writes the instance id and the listening addresses as one JSON line.
func (l *listeners) announce(out io.Writer, i ident.InstanceID) error {
	return json.NewEncoder(out).Encode(map[string]string{
		"instance": string(i),
		"callers":  l.callers.Addr().String(),
		"peers":    l.peers.Addr().String(),
		"admin":    l.admin.Addr().String(),
	})
}

// certificates holds the source of certificates, nil for unencrypted connections.
type certificates struct{ source *certs.Source }

func newCertificates(s *setup.Settings, l zerolog.Logger) (*certificates, error) {
	if s.TLS.Cert == "" {
		return &certificates{}, nil
	}
	c, err := certs.New(certs.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA}, logger.WarnFunc(logger.Part(l, "certs"), "certificate files can't be used, the old ones stay in force"))
	return &certificates{source: c}, err
}

// client returns the credentials for connections to other processes, nil for
// unencrypted ones.
func (s *certificates) client() credentials.TransportCredentials {
	if s.source == nil {
		return nil
	}
	return s.source.ClientCredentials()
}

func newRing(s *setup.Settings) *event.Ring {
	return event.NewRing(event.NewClock(time.Now), s.Entry.Instance, s.Entry.EventRing)
}

func newPanics(l zerolog.Logger) *panics.Reporter {
	return panics.New(logger.Part(l, "panics"))
}

func newTable(s *setup.Settings) table.Client {
	return table.NewDynamo(s.Table)
}

func newStore(s *setup.Settings, t table.Client) *accept.Store {
	return accept.New(t, s.Control.Environment)
}

func newReplica(s *setup.Settings, a *accept.Store, r *event.Ring) *spread.Replica {
	return spread.New(spread.Options{
		Instance:     s.Entry.Instance,
		Role:         roster.RoleEntry,
		Store:        a,
		Ring:         r,
		Environment:  s.Control.Environment,
		PollInterval: s.Control.PollInterval,
		Now:          time.Now,
	})
}

func newClaims(t table.Client) *claim.Store {
	return claim.New(t)
}

func newAgentSet(s *setup.Settings, n *spread.Replica, r *event.Ring, c *certificates, m *late.Meter, l zerolog.Logger) *agents.Set {
	return agents.New(agents.Options{
		Instance:    s.Entry.Instance,
		Control:     n,
		Ring:        r,
		Log:         logger.Part(l, "agents"),
		SubsetSize:  s.Links.SubsetSize,
		Credentials: c.client(),
		Late:        m.Lateness,
	})
}

func newAcks(s *agents.Set) *agents.Acks {
	return agents.NewAcks(s)
}

func newLedger(s *setup.Settings, t table.Client, a *agents.Acks) *ledger.Buffer {
	b := ledger.New(ledger.Options{
		Instance: s.Entry.Instance,
		Client:   t,
		Interval: s.Receipts.Interval,
		Capacity: s.Receipts.Capacity,
		MaxBatch: s.Receipts.MaxBatch,
		OnStored: a.Stored,
		Now:      time.Now,
	})
	a.Bind(b)
	return b
}

func newRoster(s *setup.Settings, a *agents.Set, l zerolog.Logger) *roster.Roster {
	return roster.New(roster.Options{
		URL:      s.Instances.URL,
		Interval: s.Instances.Interval,
		Client:   &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext)}, //nolint:forbidigo // the field, not the type
		Static:   s.Instances.Static,
		OnUpdate: func(is []roster.Instance) {
			a.Update(targets(is))
		},
		Log: logger.Part(l, "roster"),
	})
}

// targets returns the agents in the instance list.
func targets(is []roster.Instance) []agents.Target {
	var out []agents.Target
	for _, i := range is {
		if i.Role == roster.RoleAgent {
			out = append(out, agents.Target{Upstream: i.Upstream, Domain: i.Domain, Addr: i.Addr, Kind: i.Kind, Leaving: i.Leaving})
		}
	}
	return out
}

func newPolicy(s *setup.Settings, n *spread.Replica, p *members, r *event.Ring, l zerolog.Logger) *policy.Controller {
	o := policy.Default()
	o.Halter = n
	o.Ring = r
	o.Log = logger.Part(l, "policy")
	o.View = n.View
	o.Membership = p.membership
	o.Strategy = s.Policy.PlanStrategy
	o.GuardOff = !s.Policy.Guard
	o.ExploreEvery = uint64(s.Policy.ExploreOneOf)
	o.DetectorAlpha = s.Policy.DetectorAlpha
	return policy.New(o)
}

func newFleet(s *setup.Settings, a *agents.Set) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Links:    a,
		Strategy: s.Policy.UpstreamStrategy,
		Domain:   s.Entry.Domain,
		Delay: func(from, to ident.DomainID) time.Duration {
			if from == to {
				return s.Links.SameDomainDelay
			}
			return s.Links.OtherDomainDelay
		},
		Now: time.Now,
	})
}

func newRelay(s *setup.Settings, n *spread.Replica, f *fleet.Fleet, p *policy.Controller, a *agents.Acks, _ *ledger.Buffer, m *ratings, w *late.Meter, r *event.Ring, l zerolog.Logger) (*relay.Relay, error) {
	k, err := token.NewSigner(s.Sessions.Keys)
	if err != nil {
		return nil, err
	}
	return relay.New(relay.Options{
		Instance:       s.Entry.Instance,
		Control:        n,
		Fleet:          f,
		Decider:        p,
		Signer:         k,
		Ledger:         a,
		Ring:           r,
		Log:            logger.Part(l, "relay"),
		Now:            time.Now,
		IsolationLimit: s.Entry.IsolationLimit,
		LastContact:    n.LastContact,
		Sample:         m.sample,
		Late:           w.Lateness,
	}), nil
}

func newExecutor(s *setup.Settings, n *spread.Replica, f *fleet.Fleet, p *policy.Controller, a *agents.Acks, _ *ledger.Buffer, b *claim.Store, r *event.Ring, l zerolog.Logger) *calls.Executor {
	return calls.New(calls.Options{
		Instance: s.Entry.Instance,
		Control:  n,
		Fleet:    f,
		Claims:   b,
		Ledger:   a,
		Budget:   p,
		Ring:     r,
		Log:      logger.Part(l, "calls"),
		Now:      time.Now,

		MaxTimeout: s.Callers.MaxTimeout,
	})
}

// leasePrefix is the prefix of the name of an environment's lease. Only the entry
// that holds the lease advances roll-outs and orders engines to load and unload
// versions.
const leasePrefix = "control/"

func newLease(s *setup.Settings, t table.Client, r *event.Ring) *lease.Lease {
	return lease.New(lease.Options{
		Client:   t,
		Name:     leasePrefix + s.Control.Environment,
		Instance: s.Entry.Instance,
		Now:      time.Now,
		Ring:     r,
	})
}

func newRamp(e *lease.Lease, a *accept.Store, n *spread.Replica, p *policy.Controller, f *members, l zerolog.Logger) *ramp.Runner {
	return ramp.New(ramp.Options{
		Lease:      e,
		Store:      a,
		Control:    n,
		Samples:    p.Samples,
		Membership: f.membership,
		Log:        logger.Part(l, "ramp"),
		Now:        time.Now,
	})
}

func newCopies(s *setup.Settings, e *lease.Lease, n *spread.Replica, a *agents.Set, l zerolog.Logger) *copies.Runner {
	links := a.Links
	if !s.Policy.Orders {
		links = func() []*agents.Link { return nil }
	}
	return copies.New(copies.Options{
		Lease:     e,
		LeaseName: leasePrefix + s.Control.Environment,
		View:      n.View,
		Links:     links,
		Log:       logger.Part(l, "copies"),
		Now:       time.Now,
	})
}

func newPeers(s *setup.Settings, n *spread.Replica, f *members, x *demandExchange, c *certificates, l zerolog.Logger) *peers.Exchanger {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Entry.Instance))
	return peers.New(peers.Options{
		Control:     n,
		Peers:       f.others,
		BeforeSend:  x.fill,
		OnExchange:  x.observe,
		Credentials: c.client(),
		Seed:        h.Sum64(),
		Log:         logger.Part(l, "peers"),
	})
}

// minPing is the shortest interval of HTTP/2 pings that the gRPC server permits. It
// is below the second between two pings of an entry.
const minPing = 500 * time.Millisecond

func newPeerServer(p *listeners, n *spread.Replica, r *event.Ring, h *readiness, x *demandExchange, c *certificates, m *panics.Reporter) *peerServer {
	o := append(m.ServerOptions(), grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}))
	if c.source != nil {
		o = append(o, grpc.Creds(credentials.NewTLS(c.source.InternalServerConfig())))
	}
	g := grpc.NewServer(o...)
	s := spread.NewServer(n, r, h.draining)
	s.OnExchange(x.observe)
	s.BeforeSend(x.fill)
	wire.RegisterPeerServer(g, s)
	return &peerServer{listener: p.peers, server: g}
}

func newCallerAPI(s *setup.Settings, n *spread.Replica, r *relay.Relay, d *calls.Executor, p *policy.Controller, h *readiness, e *event.Ring, m *panics.Reporter, w *late.Meter, l zerolog.Logger) *caller.API {
	return caller.New(caller.Options{
		Admits:         h.admits,
		StoppedFor:     h.stoppedFor,
		Panics:         m,
		Control:        n,
		Chats:          r,
		Calls:          d,
		Limits:         p,
		Ring:           e,
		Log:            logger.Part(l, "caller"),
		Now:            time.Now,
		MaxBody:        int64(s.Callers.MaxBody),
		DefaultTimeout: s.Callers.DefaultTimeout,
		MaxTimeout:     s.Callers.MaxTimeout,
		MaxOpen:        s.Callers.MaxOpen,
		MaxTokens:      s.Callers.MaxTokens,
		Late:           w.Waited,
	})
}

func newCallerServer(s *setup.Settings, p *listeners, a *caller.API, h *readiness, r *relay.Relay, e *event.Ring, c *certificates, l zerolog.Logger) *callerServer {
	l = logger.Part(l, "callers")
	v := newHTTPServer(a, c, l)
	return &callerServer{
		httpServer:  httpServer{listener: p.callers, server: v, tls: c.source != nil},
		readiness:   h,
		drainNotice: s.Entry.DrainNotice,
		drainLimit:  s.Entry.DrainLimit,
		open:        a.Open,
		relay:       r,
		ring:        e,
		log:         l,
	}
}

func newAdminServer(p *listeners, h http.Handler, c *certificates, m *panics.Reporter, l zerolog.Logger) *adminServer {
	l = logger.Part(l, "admin")
	v := newHTTPServer(m.Handler(h), c, l)
	return &adminServer{httpServer: httpServer{listener: p.admin, server: v, tls: c.source != nil, waiting: inlet.NewWaiting(inlet.MaxWaiting)}, log: l}
}

// newHTTPServer returns a server with the limits of all HTTP servers of an entry.
func newHTTPServer(h http.Handler, c *certificates, l zerolog.Logger) *http.Server {
	v := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logger.ErrorLog(l, "the HTTP server reports an error"),
	}
	if c.source != nil {
		v.TLSConfig = c.source.PublicServerConfig()
	}
	return v
}
