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
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/score"
)

// Liveness of a link. The agent sends its status at least every second.
const (
	// pingInterval is the interval of pings while no status arrives.
	pingInterval = time.Second
	// pingTimeout is the time without an answer to a ping after which the connection
	// is replaced.
	pingTimeout = 2 * time.Second
	// statusTimeout is the age of the latest status from which on a link gets no new work.
	statusTimeout = 3 * time.Second
	// maxFreshAge is the age of the latest status up to which the connection counts
	// as working. It is above the interval of one second between statuses, and below
	// the 2 s after which a stream without frames counts as silent.
	maxFreshAge = 1500 * time.Millisecond
	// reopenDelay is the pause before a watch that ended is opened again.
	reopenDelay = 200 * time.Millisecond
	// catchUpTimeout bounds one exchange of state and document.
	catchUpTimeout = 2 * time.Second
)

// ReceivedStatus is an agent's status with the time of its arrival.
type ReceivedStatus struct {
	Status *wire.Status
	At     time.Time
}

// Link is the link to the agent of one upstream. It stays the same when the agent
// restarts or gets another address. It is safe for concurrent use.
type Link struct {
	o        Options
	upstream ident.UpstreamID
	cancel   context.CancelFunc

	domain  atomic.Pointer[ident.DomainID]
	leaving atomic.Bool
	// pingFailed is true after a failed ping, until the next one succeeds.
	pingFailed atomic.Bool
	// latest is the latest status, nil before the first.
	latest atomic.Pointer[ReceivedStatus]

	outstanding score.Outstanding
	replaced    atomic.Uint64
	// foreign counts statuses from agents of other upstreams or environments.
	foreign atomic.Uint64
	// catchingUp is true while a goroutine exchanges state; catchUps waits for it.
	catchingUp atomic.Bool
	catchUps   sync.WaitGroup

	mu      sync.Mutex
	addr    string
	conn    *Conn
	stopped bool
}

func newLink(o Options, t Target, cancel context.CancelFunc) *Link {
	l := &Link{o: o, upstream: t.Upstream, cancel: cancel}
	l.setTarget(t)
	return l
}

// Upstream returns the id of the upstream.
func (l *Link) Upstream() ident.UpstreamID { return l.upstream }

// Domain returns the failure domain of the upstream.
func (l *Link) Domain() ident.DomainID { return *l.domain.Load() }

// LatestStatus returns the latest status, nil before the first.
func (l *Link) LatestStatus() *ReceivedStatus { return l.latest.Load() }

// Outstanding returns the counter of the work that this entry has outstanding at the upstream.
func (l *Link) Outstanding() *score.Outstanding { return &l.outstanding }

// Begin counts an attempt with its input tokens as outstanding until the returned
// function is called. More than one call of that function has no effect.
func (l *Link) Begin(input ident.Tokens) func() {
	l.outstanding.Start(input)
	var once sync.Once
	return func() { once.Do(func() { l.outstanding.End(input) }) }
}

// Replaced returns how many silent connections were replaced.
func (l *Link) Replaced() uint64 { return l.replaced.Load() }

// Usable reports whether the agent may get new work: it has sent a status within
// statusTimeout, not counting time in which this process could not read it, its last ping did
// not fail, and it is not leaving. An agent that reports that it drains is not usable, even if the instance list, which lags, does
// not have it as leaving yet.
func (l *Link) Usable(now time.Time) bool {
	s := l.latest.Load()
	if s == nil || l.leaving.Load() || l.pingFailed.Load() {
		return false
	}
	return !s.Status.GetDraining() && now.Sub(s.At) < statusTimeout+l.o.Late.Lateness()
}

// Fresh reports whether a status arrived so recently that the connection counts as working.
func (l *Link) Fresh(now time.Time) bool {
	s := l.latest.Load()
	return s != nil && now.Sub(s.At) < maxFreshAge
}

// alive reports whether a status arrived within statusTimeout.
func (l *Link) alive(now time.Time) bool {
	s := l.latest.Load()
	return s != nil && now.Sub(s.At) < statusTimeout+l.o.Late.Lateness()
}

func (l *Link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Leaving reports whether the upstream is leaving according to the instance list, or
// draining according to its agent.
func (l *Link) Leaving() bool {
	s := l.latest.Load()
	return l.leaving.Load() || s != nil && s.Status.GetDraining()
}

// Observe stores a status that arrived. Statuses arrive on several streams and can
// overtake each other, so one that is older than the stored one is ignored, as is
// that of another upstream.
func (l *Link) Observe(m *wire.Status, now time.Time) {
	if m == nil || m.GetUpstream() != "" && m.GetUpstream() != string(l.upstream) {
		return
	}
	n := &ReceivedStatus{Status: m, At: now}
	for {
		s := l.latest.Load()
		if s != nil && !newer(m, s.Status) {
			return
		}
		if l.latest.CompareAndSwap(s, n) {
			l.outstanding.StatusReceived()
			return
		}
	}
}

// newer reports whether m is not older than old. Sequence numbers are compared only
// within one process of the agent, since they start again with the next one; any
// status of another process counts as newer.
func newer(m, old *wire.Status) bool {
	if m.GetState().GetInstance() != old.GetState().GetInstance() {
		return true
	}
	return m.GetSequence() >= old.GetSequence()
}

// Conn returns the current connection and opens one if there is none. It returns an
// error when the link was removed.
func (l *Link) Conn() (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connLocked()
}

// Replace closes the silent connection old and returns a new one. If another
// goroutine has already replaced old, it returns the current connection.
func (l *Link) Replace(old *Conn) (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == old && old != nil {
		l.closeLocked()
		l.replaced.Add(1)
		l.record(event.LinkReplaced)
	}
	return l.connLocked()
}

// connLocked is Conn with mu held.
func (l *Link) connLocked() (*Conn, error) {
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

// closeLocked closes the connection, if there is one; mu is held.
func (l *Link) closeLocked() {
	if l.conn != nil {
		_ = l.conn.cc.Close()
	}
	l.conn = nil
}

// setTarget applies the target's failure domain, leaving flag and address. A changed
// address closes the connection.
func (l *Link) setTarget(t Target) {
	l.domain.Store(&t.Domain)
	l.leaving.Store(t.Leaving)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == t.Addr {
		return
	}
	l.addr = t.Addr
	l.closeLocked()
}

func (l *Link) stop() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.closeLocked()
}

// run watches and pings the agent until ctx ends.
func (l *Link) run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { l.watch(ctx) })
	w.Go(func() { l.ping(ctx) })
	w.Wait()
	l.catchUps.Wait()
}

func (l *Link) ping(ctx context.Context) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			// A status that arrived recently also shows that the connection works.
			if !l.Fresh(time.Now()) {
				l.pingOnce(ctx)
			}
		}
	}
}

// pingOnce sends one ping. If it gets no answer within pingTimeout, it replaces the connection. If this process did not
// run as the answer came, it sends another one first.
func (l *Link) pingOnce(ctx context.Context) {
	c, err := l.Conn()
	if err != nil {
		return
	}
	err = l.sendPing(ctx, c)
	if status.Code(err) == codes.DeadlineExceeded && l.o.Late.Lateness() > 0 {
		err = l.sendPing(ctx, c)
	}
	if err == nil {
		l.pingFailed.Store(false)
		return
	}
	if ctx.Err() != nil {
		return
	}
	l.pingFailed.Store(true)
	if status.Code(err) == codes.DeadlineExceeded {
		l.o.Log.Warn().Str("upstream", string(l.upstream)).Msg("ping got no answer, replacing the connection")
		_, _ = l.Replace(c)
	}
}

// sendPing sends one ping and waits for its answer.
func (l *Link) sendPing(ctx context.Context, c *Conn) error {
	p, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r, err := c.Peer.Ping(p, &wire.PingRequest{Clock: uint64(l.o.Ring.Clock().Next())})
	if err == nil {
		l.o.Ring.Clock().Observe(event.Stamp(r.GetClock()))
	}
	return err
}

// watch keeps a stream of statuses open until ctx ends.
func (l *Link) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := l.Conn()
		if err == nil {
			l.watchOnce(ctx, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

// watchOnce reads statuses until the stream fails, is silent for statusTimeout, or
// comes from another upstream or environment.
func (l *Link) watchOnce(ctx context.Context, c *Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := late.NewSilence(statusTimeout, l.o.Late, cancel)
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
		silent.Reset()
		u, e := m.GetUpstream(), m.GetState().GetEnvironment()
		if (u != "" && u != string(l.upstream)) || (e != "" && e != own.GetEnvironment()) {
			// The address now belongs to another agent, possibly of another
			// environment. It must not get this entry's document.
			l.foreign.Add(1)
			l.o.Log.Warn().Str("upstream", string(l.upstream)).Msg("agent of another upstream or environment answers at this address")
			return
		}
		l.Observe(m, time.Now())
		l.o.Ring.Clock().Observe(event.Stamp(m.GetState().GetClock()))
		l.startCatchUp(ctx, c, m.GetState())
	}
}

// startCatchUp merges an agent's state in a goroutine, so that the watch goes on.
// It does nothing while an earlier merge runs.
func (l *Link) startCatchUp(ctx context.Context, c *Conn, theirs *wire.State) {
	if theirs == nil || !l.catchingUp.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	l.catchUps.Go(func() {
		defer l.catchingUp.Store(false)
		defer cancel()
		if err := l.o.Control.CatchUp(ctx, c.Peer, theirs); err != nil && ctx.Err() == nil {
			l.o.Log.Debug().Str("upstream", string(l.upstream)).Err(err).Msg("can't exchange state with the agent")
		}
	})
}

// CatchUp exchanges state with the agent and transfers the newer of the two
// documents, so that neither side is behind when it returns nil.
func (l *Link) CatchUp(ctx context.Context) error {
	c, err := l.Conn()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
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
