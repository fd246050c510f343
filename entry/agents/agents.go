// Package agents keeps the links to the agents beside the upstreams: one
// connection each, its liveness, the agent's latest status and its outstanding work.
package agents

import (
	"cmp"
	"context"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
)

// Control is the part of spread.Replica that links use.
type Control interface {
	View() *spread.View
	State() *wire.State
	CatchUp(ctx context.Context, p wire.PeerClient, theirs *wire.State) error
}

// Target is an agent as the instance list or the settings name it.
type Target struct {
	Upstream ident.UpstreamID
	Domain   ident.DomainID
	Addr     string
	// Kind groups upstreams so that a subset holds some of each kind; it may be empty.
	Kind    string
	Leaving bool
}

// Options are the settings of a Set.
type Options struct {
	Instance ident.InstanceID
	Control  Control
	Ring     *event.Ring
	Log      zerolog.Logger
	// SubsetSize bounds the agents of one kind that this entry links to; 0 means all.
	SubsetSize int
	// Credentials are for the transport; nil means unencrypted.
	Credentials credentials.TransportCredentials
	// Dialer replaces the network dialer, for tests.
	Dialer func(ctx context.Context, addr string) (net.Conn, error)
}

// Set holds the links of this entry. Readers take an immutable snapshot.
type Set struct {
	o     Options
	links atomic.Pointer[map[ident.UpstreamID]*Link]
	list  atomic.Pointer[[]*Link]

	// retired counts the replaced connections of links that ended.
	retired atomic.Uint64

	mu      sync.Mutex
	ctx     context.Context
	wait    sync.WaitGroup
	pending []Target
}

// New returns a set without links. Run must be called for links to be kept alive.
func New(o Options) *Set {
	s := &Set{o: o}
	s.publish(map[ident.UpstreamID]*Link{})
	return s
}

// Run keeps the links alive until the context ends.
func (s *Set) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	p := s.pending
	s.pending = nil
	s.mu.Unlock()
	s.Update(p)
	<-ctx.Done()
	s.mu.Lock()
	s.ctx = nil
	for _, l := range *s.links.Load() {
		l.stop()
	}
	s.publish(map[ident.UpstreamID]*Link{})
	s.mu.Unlock()
	s.wait.Wait()
	return nil
}

// Links returns the current links in a stable order. The slice must not be changed.
func (s *Set) Links() []*Link {
	return *s.list.Load()
}

// Link returns the link to an upstream's agent, nil if there is none.
func (s *Set) Link(u ident.UpstreamID) *Link {
	return (*s.links.Load())[u]
}

// Replaced returns how many silent connections were replaced.
func (s *Set) Replaced() uint64 {
	n := s.retired.Load()
	for _, l := range s.Links() {
		n += l.Replaced()
	}
	return n
}

// Update replaces the wanted agents. Links to agents that remain are kept.
func (s *Set) Update(ts []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.pending = ts
		return
	}
	before := *s.links.Load()
	after := make(map[ident.UpstreamID]*Link, len(ts))
	for _, t := range Subset(s.o.Instance, unique(ts, before, time.Now()), s.o.SubsetSize) {
		l, ok := before[t.Upstream]
		if !ok {
			l = s.start(t)
		}
		l.retarget(t)
		after[t.Upstream] = l
	}
	for u, l := range before {
		if _, ok := after[u]; !ok {
			l.stop()
			s.retired.Add(l.Replaced())
		}
	}
	s.publish(after)
}

// unique keeps one target per upstream. The lagging list can name an agent and
// its replacement at the same time: a live one goes before a leaving one, and of
// two live ones the address in use stays unless its link gives no sign of life.
func unique(ts []Target, links map[ident.UpstreamID]*Link, now time.Time) []Target {
	at := map[ident.UpstreamID]int{}
	var out []Target
	for _, t := range ts {
		i, ok := at[t.Upstream]
		if !ok {
			at[t.Upstream] = len(out)
			out = append(out, t)
			continue
		}
		if supersedes(t, out[i], links[t.Upstream], now) {
			out[i] = t
		}
	}
	return out
}

func supersedes(t, old Target, l *Link, now time.Time) bool {
	if t.Leaving != old.Leaving {
		return old.Leaving
	}
	if l == nil {
		return false
	}
	if l.alive(now) {
		return t.Addr == l.address()
	}
	return old.Addr == l.address()
}

func (s *Set) start(t Target) *Link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := newLink(s.o, t, cancel)
	s.wait.Go(func() { l.run(ctx) })
	return l
}

func (s *Set) publish(m map[ident.UpstreamID]*Link) {
	a := make([]*Link, 0, len(m))
	for _, l := range m {
		a = append(a, l)
	}
	slices.SortFunc(a, func(x, y *Link) int { return cmp.Compare(x.upstream, y.upstream) })
	s.links.Store(&m)
	s.list.Store(&a)
}

// Subset returns the agents that an entry links to: per kind, the size ones with
// the highest rendezvous hash of entry and upstream. A change of the list moves
// only the links of the agents that came or went. Leaving agents keep their
// place, since they still finish streams. Size 0 selects all.
func Subset(i ident.InstanceID, ts []Target, size int) []Target {
	if size <= 0 {
		return ts
	}
	kinds := map[string][]Target{}
	for _, t := range ts {
		kinds[t.Kind] = append(kinds[t.Kind], t)
	}
	var out []Target
	for _, k := range kinds {
		if len(k) > size {
			slices.SortFunc(k, func(a, b Target) int {
				return cmp.Or(cmp.Compare(weight(i, b.Upstream), weight(i, a.Upstream)), cmp.Compare(a.Upstream, b.Upstream))
			})
			k = k[:size]
		}
		out = append(out, k...)
	}
	return out
}

func weight(i ident.InstanceID, u ident.UpstreamID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(u))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash, whose high bits hardly depend on the last bytes of its input.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Reconnection delays are kept short, since an agent that restarts is back within seconds.
const (
	redialMin     = 100 * time.Millisecond
	redialMax     = time.Second
	connectLimit  = 2 * time.Second
	maxMessage    = 8 << 20
	initialWindow = 1 << 20
)

// Conn is one connection to an agent. A link replaces it when it is silent.
type Conn struct {
	Agent wire.AgentClient
	Peer  wire.PeerClient
	addr  string
	cc    *grpc.ClientConn
}

func dial(o Options, addr string) (*Conn, error) {
	c := o.Credentials
	if c == nil {
		c = insecure.NewCredentials()
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(c),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithInitialWindowSize(initialWindow),
		grpc.WithInitialConnWindowSize(initialWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialMin, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialMax},
			MinConnectTimeout: connectLimit,
		}),
	}
	if o.Dialer != nil {
		opts = append(opts, grpc.WithContextDialer(o.Dialer))
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, opts...)
	if err != nil {
		return nil, err
	}
	return &Conn{Agent: wire.NewAgentClient(cc), Peer: wire.NewPeerClient(cc), addr: addr, cc: cc}, nil
}

// Name is the name of the step.
func (s *Set) Name() string { return "agents" }
