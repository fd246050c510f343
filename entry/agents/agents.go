// Package agents maintains this entry's links to the agents beside the upstreams.
// Each link has one connection, checks that it is alive, and holds the agent's
// latest status and the work that this entry has outstanding there.
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
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
)

// Control is the state that this instance shares with its peers.
type Control interface {
	View() *spread.View
	// State returns the state to send to an agent.
	State() *wire.State
	// CatchUp merges the state of an agent. Then it gets the agent's document or
	// sends its own, whichever is newer.
	CatchUp(ctx context.Context, p wire.PeerClient, theirs *wire.State) error
}

// Target is an agent in the instance list or the settings.
type Target struct {
	Upstream ident.UpstreamID
	Domain   ident.DomainID
	// Addr is the agent's address as HOST:PORT.
	Addr string
	// Kind groups upstreams: a subset holds agents of each kind. It may be empty.
	Kind string
	// Leaving is true when the agent gets no new work, since it will end.
	Leaving bool
}

// Options are the settings and dependencies of a Set.
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
	// Late returns how late the work of this process runs. What agents sent while the process did not run is read before
	// they count as silent.
	Late late.Func
}

// Set holds the links of this entry. It is safe for concurrent use. Readers get an
// immutable snapshot of the links without a lock.
type Set struct {
	o Options
	// links holds the links by upstream, and sorted the same links sorted by upstream.
	links  atomic.Pointer[map[ident.UpstreamID]*Link]
	sorted atomic.Pointer[[]*Link]

	// removedReplaced counts the replaced connections of links that were removed.
	removedReplaced atomic.Uint64

	mu sync.Mutex
	// ctx is the context of Run, nil while it does not run.
	ctx  context.Context
	wait sync.WaitGroup
	// pending holds the targets of an Update before Run.
	pending []Target
}

// New returns a set without links. Links are opened only while Run runs.
func New(o Options) *Set {
	s := &Set{o: o}
	s.publish(map[ident.UpstreamID]*Link{})
	return s
}

// Run opens links to the targets of Update and maintains them until ctx ends. It
// returns nil after all links are closed.
func (s *Set) Run(ctx context.Context) error {
	s.begin(ctx)
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

// begin opens links to the targets of an Update before Run. It applies them under the same lock as it lets Update
// apply its own, which are newer.
func (s *Set) begin(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	s.apply(s.pending)
	s.pending = nil
}

// Links returns the current links, sorted by upstream. The slice must not be changed.
func (s *Set) Links() []*Link {
	return *s.sorted.Load()
}

// Link returns the link to an upstream's agent, nil if there is none.
func (s *Set) Link(u ident.UpstreamID) *Link {
	return (*s.links.Load())[u]
}

// Replaced returns how many silent connections were replaced, those of removed links
// included, so that it never decreases.
func (s *Set) Replaced() uint64 {
	n := s.removedReplaced.Load()
	for _, l := range s.Links() {
		n += l.Replaced()
	}
	return n
}

// Update replaces the targets. Links to upstreams that are still targets are kept,
// and the links to others are closed.
func (s *Set) Update(ts []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.pending = ts
		return
	}
	s.apply(ts)
}

// apply is Update with mu held, while Run runs.
func (s *Set) apply(ts []Target) {
	before := *s.links.Load()
	after := make(map[ident.UpstreamID]*Link, len(ts))
	for _, t := range Subset(s.o.Instance, dedupe(ts, before, time.Now()), s.o.SubsetSize) {
		l, ok := before[t.Upstream]
		if !ok {
			l = s.start(t)
		}
		l.setTarget(t)
		after[t.Upstream] = l
	}
	for u, l := range before {
		if _, ok := after[u]; !ok {
			l.stop()
			s.removedReplaced.Add(l.Replaced())
		}
	}
	s.publish(after)
}

// dedupe keeps one target per upstream. The instance list lags, so it can hold an
// agent and its replacement at the same time. A target that is not leaving is
// preferred over a leaving one. Of two that are both leaving, or both not, the one
// with the address in use is kept, unless the link there has no recent status.
func dedupe(ts []Target, links map[ident.UpstreamID]*Link, now time.Time) []Target {
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

// supersedes reports whether t is preferred over old, a target of the same upstream
// with the link l, which may be nil.
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
	s.sorted.Store(&a)
}

// Subset returns the agents that an entry links to. Of each kind it selects up to
// size agents, those with the highest rendezvous hash of entry and upstream. An
// agent that joins or leaves the list therefore changes at most one link of an
// entry. Leaving agents are selected like others, since they still finish streams.
// Size 0 selects all agents.
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
				return cmp.Or(cmp.Compare(rendezvousHash(i, b.Upstream), rendezvousHash(i, a.Upstream)), cmp.Compare(a.Upstream, b.Upstream))
			})
			k = k[:size]
		}
		out = append(out, k...)
	}
	return out
}

// rendezvousHash returns the rendezvous hash of an entry and an upstream.
func rendezvousHash(i ident.InstanceID, u ident.UpstreamID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(u))
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. It is needed because the high bits of
// an FNV hash hardly depend on the last bytes of its input.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

const (
	// minRedialDelay and maxRedialDelay bound the backoff between attempts to connect. They
	// are short, since an agent that restarts is back within seconds.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 2 * time.Second
	// maxMessageBytes is the largest message in bytes that an agent may send.
	maxMessageBytes = 8 << 20
	// initialWindowBytes is the initial flow control window in bytes of a stream and of
	// a connection.
	initialWindowBytes = 1 << 20
)

// Conn is one connection to an agent with its two services. A link replaces the
// connection when it is silent.
type Conn struct {
	Agent wire.AgentClient
	Peer  wire.PeerClient
	addr  string
	cc    *grpc.ClientConn
}

// dial returns a connection, which is established by its first call.
func dial(o Options, addr string) (*Conn, error) {
	c := o.Credentials
	if c == nil {
		c = insecure.NewCredentials()
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(c),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithInitialWindowSize(initialWindowBytes),
		grpc.WithInitialConnWindowSize(initialWindowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: connectTimeout,
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

// Name implements serve.Component.
func (s *Set) Name() string { return "agents" }
