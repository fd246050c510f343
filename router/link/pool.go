// Package link speaks HTTP/1.1 to upstreams over connections of its own. The
// stock transport resends some requests by itself and hides whether bytes left,
// so neither the number of attempts nor a promise that nothing ran would be true.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonvalve.example/router/call"
)

const (
	// dialLimit bounds the set-up of a connection; it takes a few ms within a
	// region. An upstream without power doesn't answer at all.
	dialLimit = 250 * time.Millisecond
	// unackedLimit ends connections on which sent bytes stay unacknowledged: a
	// link that went silent reports nothing else.
	unackedLimit = 1500 * time.Millisecond
	// probeIdle and probeInterval find idle connections that went silent.
	probeIdle     = 1 * time.Second
	probeInterval = 1 * time.Second
	probeCount    = 2
	// idleUnstated is how long an idle connection is reused if the upstream states no time.
	idleUnstated = 4 * time.Second
	// idleMargin is subtracted from the stated time: the upstream's clock starts earlier.
	idleMargin = 300 * time.Millisecond
	// onceIdle bounds the idle time of connections for requests that may run only
	// once: their loss can't be repaired by a repeat.
	onceIdle = 1 * time.Second
	// freeWait is how long a request waits for a connection if all are in use; a
	// plain service answers within 60 ms.
	freeWait = 120 * time.Millisecond
	freePoll = 10 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
	readBuffer    = 4 << 10
)

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	codec  call.Codec
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// New returns an empty pool.
func New(c call.Codec) *Pool {
	p := &Pool{codec: c, idle: map[string][]*conn{}, open: map[string]int{}}
	p.dialer = net.Dialer{
		Timeout:         dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUnackedLimit,
	}
	return p
}

func setUnackedLimit(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(err, set)
}

// FullError reports that an upstream has as many connections as this instance may open.
type FullError struct {
	Address string
	Limit   int
}

func (e *FullError) Error() string {
	return "connect to " + e.Address + ": all connections of this instance are in use"
}

// DialError reports an upstream that took no new connection.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// get returns a connection for a request, an idle one if possible.
func (p *Pool) get(ctx context.Context, m *Message) (*conn, error) {
	address := m.Address
	if c := p.reuse(m); c != nil {
		return c, nil
	}
	c, err := p.reserve(ctx, m)
	if c != nil || err != nil {
		return c, err
	}
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, &DialError{Address: address, Err: err}
	}
	return newConn(n, address), nil
}

// reserve counts a new connection. If the limit is reached it waits a moment for
// a connection that becomes idle, and returns that, or for one that ends.
func (p *Pool) reserve(ctx context.Context, m *Message) (*conn, error) {
	address, limit := m.Address, m.Connections
	for end := time.Now().Add(freeWait); ; {
		p.mu.Lock()
		if limit <= 0 || p.open[address] < limit {
			p.open[address]++
			p.mu.Unlock()
			return nil, nil
		}
		p.mu.Unlock()
		if !time.Now().Before(end) || ctx.Err() != nil {
			return nil, &FullError{Address: address, Limit: limit}
		}
		time.Sleep(freePoll)
		if c := p.reuse(m); c != nil {
			return c, nil
		}
	}
}

// reuse returns an idle connection that is still usable, or nil; it drops others. A
// connection whose last request had the same id is not: a late copy of that answer could
// not be told from the answer.
func (p *Pool) reuse(m *Message) *conn {
	for c := p.takeIdle(m.Address, m.Once); c != nil; c = p.takeIdle(m.Address, m.Once) {
		if c.last != m.ID && c.silent() == nil {
			c.reused = true
			return c
		}
		p.drop(c)
	}
	return nil
}

func (p *Pool) takeIdle(address string, once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[address]
	if len(cs) == 0 {
		return nil
	}
	// The last one was used most recently; the sweep closes the others in time.
	c := cs[len(cs)-1]
	age := time.Since(c.usedAt)
	if age >= c.idle || (once && age >= onceIdle) {
		return nil
	}
	p.idle[address] = cs[:len(cs)-1]
	return c
}

// put keeps a connection for reuse; stated is the upstream's idle timeout or 0.
func (p *Pool) put(c *conn, stated time.Duration) {
	c.idle = idleUnstated
	if stated > 0 {
		c.idle = stated - idleMargin
	}
	if err := c.SetDeadline(time.Time{}); err != nil || c.idle <= 0 {
		p.drop(c)
		return
	}
	c.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Leave closes the idle connections to an upstream that gets nothing new.
func (p *Pool) Leave(address string) {
	p.mu.Lock()
	cs := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range cs {
		p.drop(c)
	}
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.forget(c.address)
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Name is the name of the step.
func (p *Pool) Name() string { return "links" }

// Run closes expired idle connections until ctx ends, and all of them then.
func (p *Pool) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Now().Add(time.Hour))
			return nil
		case now := <-t.C:
			p.sweep(now)
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for a, cs := range p.idle {
		n := 0
		for _, c := range cs {
			if now.Sub(c.usedAt) >= c.idle {
				old = append(old, c)
				continue
			}
			cs[n] = c
			n++
		}
		clear(cs[n:])
		if n == 0 {
			delete(p.idle, a)
			continue
		}
		p.idle[a] = cs[:n]
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}
