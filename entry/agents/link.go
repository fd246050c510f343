package agents

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/score"
)

// Liveness of a link. The agent pushes its status at least every second.
const (
	pingEvery = time.Second
	pingLimit = 2 * time.Second
	// silenceLimit is the age of the latest status above which a link gets no new work.
	silenceLimit = 3 * time.Second
	// freshLimit is below the 2 s of silence on a stream and above the second between two statuses.
	freshLimit = 1500 * time.Millisecond
	// reopenAfter is the pause before a failed watch is opened again.
	reopenAfter = 200 * time.Millisecond
	// catchUpLimit bounds one exchange of state and document.
	catchUpLimit = 2 * time.Second
)

// ReceivedStatus is an agent's status with the time at which it arrived.
type ReceivedStatus struct {
	Status *wire.Status
	At     time.Time
}

// Link is the link to one upstream's agent. It outlives restarts of the agent.
type Link struct {
	o        Options
	upstream ident.UpstreamID
	cancel   context.CancelFunc

	domain  atomic.Pointer[ident.DomainID]
	leaving atomic.Bool
	failing atomic.Bool
	seen    atomic.Pointer[ReceivedStatus]

	own      score.Outstanding
	replaced atomic.Uint64
	// strangers counts statuses of agents of other upstreams at this address.
	strangers atomic.Uint64
	catching  atomic.Bool
	side      sync.WaitGroup

	mu      sync.Mutex
	addr    string
	conn    *Conn
	stopped bool
}

func newLink(o Options, t Target, cancel context.CancelFunc) *Link {
	l := &Link{o: o, upstream: t.Upstream, cancel: cancel}
	l.retarget(t)
	return l
}

// Upstream returns the id of the upstream.
func (l *Link) Upstream() ident.UpstreamID { return l.upstream }

// Domain returns the failure domain of the upstream.
func (l *Link) Domain() ident.DomainID { return *l.domain.Load() }

// LatestStatus returns the latest status, nil before the first.
func (l *Link) LatestStatus() *ReceivedStatus { return l.seen.Load() }

// Outstanding returns the counter of the work that this entry has outstanding there.
func (l *Link) Outstanding() *score.Outstanding { return &l.own }

// Begin counts one attempt or call as outstanding until the returned function is called.
func (l *Link) Begin(input ident.Tokens) func() {
	l.own.Start(input)
	var once sync.Once
	return func() { once.Do(func() { l.own.End(input) }) }
}

// Replaced returns how many silent connections were replaced.
func (l *Link) Replaced() uint64 { return l.replaced.Load() }

// Usable reports whether the agent may get new work: it is alive and is not leaving.
// Draining that the agent reports overrides the lagging instance list.
func (l *Link) Usable(now time.Time) bool {
	s := l.seen.Load()
	if s == nil || l.leaving.Load() || l.failing.Load() {
		return false
	}
	return !s.Status.GetDraining() && now.Sub(s.At) < silenceLimit
}

// Fresh reports whether a status arrived so lately that the connection can't be silent.
func (l *Link) Fresh(now time.Time) bool {
	s := l.seen.Load()
	return s != nil && now.Sub(s.At) < freshLimit
}

func (l *Link) alive(now time.Time) bool {
	s := l.seen.Load()
	return s != nil && now.Sub(s.At) < silenceLimit
}

func (l *Link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Leaving reports whether the instance list or the agent itself says that the upstream is leaving.
func (l *Link) Leaving() bool {
	s := l.seen.Load()
	return l.leaving.Load() || s != nil && s.Status.GetDraining()
}

// Observe stores a status that arrived on an answer. An older one is ignored:
// statuses arrive on several streams, so they can cross.
func (l *Link) Observe(m *wire.Status, now time.Time) {
	if m == nil || m.GetUpstream() != "" && m.GetUpstream() != string(l.upstream) {
		return
	}
	n := &ReceivedStatus{Status: m, At: now}
	for {
		s := l.seen.Load()
		if s != nil && !newer(m, s.Status) {
			return
		}
		if l.seen.CompareAndSwap(s, n) {
			l.own.StatusReceived()
			return
		}
	}
}

// newer compares by sequence within one process of the agent; a restarted agent counts from the start again.
func newer(m, old *wire.Status) bool {
	if m.GetState().GetInstance() != old.GetState().GetInstance() {
		return true
	}
	return m.GetSequence() >= old.GetSequence()
}

// Conn returns the current connection, or an error when the link has ended.
func (l *Link) Conn() (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current()
}

// Replace closes a silent connection and returns a new one. When another
// goroutine has replaced it already, that connection is returned.
func (l *Link) Replace(old *Conn) (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == old && old != nil {
		l.drop()
		l.replaced.Add(1)
		l.record(event.LinkReplaced)
	}
	return l.current()
}

func (l *Link) current() (*Conn, error) {
	if l.stopped {
		return nil, status.Error(codes.Unavailable, "link to "+string(l.upstream)+" has ended")
	}
	if l.conn != nil {
		return l.conn, nil
	}
	c, err := dial(l.o, l.addr)
	if err != nil {
		return nil, err
	}
	l.conn = c
	return c, nil
}

func (l *Link) drop() {
	if l.conn != nil {
		_ = l.conn.cc.Close()
	}
	l.conn = nil
}

func (l *Link) retarget(t Target) {
	l.domain.Store(&t.Domain)
	l.leaving.Store(t.Leaving)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == t.Addr {
		return
	}
	l.addr = t.Addr
	l.drop()
}

func (l *Link) stop() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.drop()
}

func (l *Link) run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { l.watch(ctx) })
	w.Go(func() { l.ping(ctx) })
	w.Wait()
	l.side.Wait()
}

func (l *Link) ping(ctx context.Context) {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			// A status that just arrived on the connection is an answer too.
			if !l.Fresh(time.Now()) {
				l.pingOnce(ctx)
			}
		}
	}
}

func (l *Link) pingOnce(ctx context.Context) {
	c, err := l.Conn()
	if err != nil {
		return
	}
	p, cancel := context.WithTimeout(ctx, pingLimit)
	defer cancel()
	r, err := c.Peer.Ping(p, &wire.PingRequest{Clock: uint64(l.o.Ring.Clock().Next())})
	if err == nil {
		l.failing.Store(false)
		l.o.Ring.Clock().Observe(event.Stamp(r.GetClock()))
		return
	}
	if ctx.Err() != nil {
		return
	}
	l.failing.Store(true)
	if status.Code(err) == codes.DeadlineExceeded {
		l.o.Log.Warn().Str("upstream", string(l.upstream)).Msg("connection is silent, replacing it")
		_, _ = l.Replace(c)
	}
}

func (l *Link) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := l.Conn()
		if err == nil {
			l.watchOnce(ctx, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenAfter):
		}
	}
}

// watchOnce reads statuses until the stream fails or is silent.
func (l *Link) watchOnce(ctx context.Context, c *Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(silenceLimit, cancel)
	defer silent.Stop()
	own := l.o.Control.State()
	s, err := c.Agent.Watch(ctx, &wire.WatchRequest{Entry: string(l.o.Instance), State: own})
	if err != nil {
		return
	}
	for {
		m, err := s.Recv()
		if err != nil {
			return
		}
		silent.Reset(silenceLimit)
		u, e := m.GetUpstream(), m.GetState().GetEnvironment()
		if (u != "" && u != string(l.upstream)) || (e != "" && e != own.GetEnvironment()) {
			// The address belongs to another agent by now, maybe of another
			// environment: it must not get this entry's document.
			l.strangers.Add(1)
			l.o.Log.Warn().Str("upstream", string(l.upstream)).Msg("another upstream's agent answers at this address")
			return
		}
		l.Observe(m, time.Now())
		l.o.Ring.Clock().Observe(event.Stamp(m.GetState().GetClock()))
		l.behind(ctx, c, m.GetState())
	}
}

// behind starts one exchange when the agent's state differs, without holding up the watch.
func (l *Link) behind(ctx context.Context, c *Conn, theirs *wire.State) {
	if theirs == nil || !l.catching.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	l.side.Go(func() {
		defer l.catching.Store(false)
		defer cancel()
		if err := l.o.Control.CatchUp(ctx, c.Peer, theirs); err != nil && ctx.Err() == nil {
			l.o.Log.Debug().Str("upstream", string(l.upstream)).Err(err).Msg("catch up failed")
		}
	})
}

// CatchUp exchanges state with the agent now, so that neither side is behind afterwards.
func (l *Link) CatchUp(ctx context.Context) error {
	c, err := l.Conn()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	theirs, err := c.Peer.Exchange(ctx, l.o.Control.State())
	if err != nil {
		return err
	}
	return l.o.Control.CatchUp(ctx, c.Peer, theirs)
}

func (l *Link) record(k event.Kind) {
	l.o.Ring.Record(event.Event{Kind: k, Fields: map[string]string{"upstream": string(l.upstream)}})
}
