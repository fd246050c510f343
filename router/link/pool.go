// Package link is an HTTP/1.1 client for upstreams with a connection pool of its own.
// http.Transport retries some requests by itself and doesn't report whether any byte was
// sent, so the router could neither count the attempts nor prove that a request didn't run.
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
	"tarragonvalve.example/router/dial"
)

const (
	// dialTimeout bounds the set-up of a connection, which takes a few ms within a region.
	// A machine without power doesn't respond at all. Time in which this process didn't run doesn't
	// count: the kernel may have set up the connection meanwhile.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout closes connections on which sent bytes stay unacknowledged
	// (TCP_USER_TIMEOUT): nothing else reports a network path that drops all packets.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount set the TCP keep-alive that detects dead idle
	// connections.
	probeIdle     = 1 * time.Second
	probeInterval = 1 * time.Second
	probeCount    = 2
	// defaultIdleTimeout is how long an idle connection may be reused if the upstream states no
	// idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout, as the upstream starts to count
	// earlier.
	idleMargin = 300 * time.Millisecond
	// maxIdleNonIdempotent bounds the idle time of the connections used for non-idempotent
	// requests, which can't be retried if the upstream closes the connection at the same moment.
	maxIdleNonIdempotent = 1 * time.Second
	// connWait is how long a request waits for a connection if all are in use. A plain
	// service responds within 60 ms.
	connWait = 120 * time.Millisecond
	// connPoll is how often a waiting request looks for a connection.
	connPoll = 10 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
	// readBuffer is the size, in bytes, of a connection's read buffer.
	readBuffer = 4 << 10
)

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	codec  call.Codec
	dialer net.Dialer
	// track returns a connection whose sent bytes are measured.
	track func(net.Conn) net.Conn

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// open counts the connections by address, idle, in use and being set up.
	open map[string]int
	// suspects are the addresses whose connections are closed after one answer.
	suspects suspects
}

// New returns an empty pool. c reads the headers of responses.
func New(c call.Codec) *Pool {
	p := &Pool{codec: c, idle: map[string][]*conn{}, open: map[string]int{}, suspects: suspects{}}
	p.track = func(c net.Conn) net.Conn { return c }
	p.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUnackedTimeout,
	}
	return p
}

// Track has f wrap each new connection. It must be called before the first request.
func (p *Pool) Track(f func(net.Conn) net.Conn) { p.track = f }

// setUnackedTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// ConnectionLimitError reports that all connections that this instance may open to an
// upstream stayed in use while the request waited for one.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

func (e *ConnectionLimitError) Error() string {
	return "connect to " + e.Address + ": all connections of this instance are in use"
}

// DialError reports that a connection to an upstream could not be set up.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// acquire returns a connection for a request: an idle one if possible, else a new one. Errors
// are *ConnectionLimitError and *DialError.
func (p *Pool) acquire(ctx context.Context, m *Request) (*conn, error) {
	address := m.Address
	if c := p.reuse(m); c != nil {
		return c, nil
	}
	c, err := p.reserve(ctx, m)
	if c != nil || err != nil {
		return c, err
	}
	n, err := dial.Context(ctx, p.dialer, address, dialTimeout)
	if err != nil {
		p.uncount(address)
		return nil, &DialError{Address: address, Err: err}
	}
	return newConn(p.track(n), address), nil
}

// reserve counts a connection that the caller is to set up, and returns nil. At the limit it
// waits up to connWait until another connection ends, or becomes idle: then it returns that
// one. It returns a *ConnectionLimitError at the end of the wait or of ctx.
func (p *Pool) reserve(ctx context.Context, m *Request) (*conn, error) {
	address, limit := m.Address, m.MaxConnections
	for end := time.Now().Add(connWait); ; {
		p.mu.Lock()
		if limit <= 0 || p.open[address] < limit {
			p.open[address]++
			p.mu.Unlock()
			return nil, nil
		}
		p.mu.Unlock()
		if !time.Now().Before(end) || ctx.Err() != nil {
			return nil, &ConnectionLimitError{Address: address, Limit: limit}
		}
		time.Sleep(connPoll)
		if c := p.reuse(m); c != nil {
			return c, nil
		}
	}
}

// reuse returns an idle connection that is fit for m, or nil, and closes those that it finds
// unfit. A connection whose last request had the same id is unfit: a late duplicate of its
// response could not be told from the response to m.
func (p *Pool) reuse(m *Request) *conn {
	for c := p.takeIdle(m.Address, m.NonIdempotent); c != nil; c = p.takeIdle(m.Address, m.NonIdempotent) {
		err := c.checkIdle()
		if c.lastID != m.ID && err == nil {
			c.reused = true
			return c
		}
		p.reject(c, err)
	}
	return nil
}

// takeIdle removes the most recently used idle connection from the pool and returns it, or
// nil if there is none or it is too old.
func (p *Pool) takeIdle(address string, nonIdempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[address]
	if len(cs) == 0 {
		return nil
	}
	// The others are older still; sweep closes them once they expire.
	c := cs[len(cs)-1]
	age := time.Since(c.idleSince)
	if age >= c.idleTimeout || (nonIdempotent && age >= maxIdleNonIdempotent) {
		return nil
	}
	p.idle[address] = cs[:len(cs)-1]
	return c
}

// release adds a connection to the idle ones, or closes it if it can't be reused. stated is
// the upstream's idle timeout; 0 means unstated. Connections to a suspect are closed, as bytes
// may arrive when the next request is already on its way.
func (p *Pool) release(c *conn, stated time.Duration) {
	c.idleTimeout = defaultIdleTimeout
	if stated > 0 {
		c.idleTimeout = stated - idleMargin
	}
	if err := c.SetDeadline(time.Time{}); err != nil || c.idleTimeout <= 0 {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	if !p.addIdle(c) {
		p.discard(c)
	}
}

// addIdle adds a connection to the idle ones. It returns false for one to a suspect.
func (p *Pool) addIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspects.has(c.address, c.idleSince) {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// CloseIdle closes the idle connections to an upstream.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	cs := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range cs {
		p.discard(c)
	}
}

// discard closes a connection and takes it out of the count. The connection must not be idle
// in the pool.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.uncount(c.address)
}

// uncount takes one connection out of an address's count.
func (p *Pool) uncount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Name implements serve.Component.
func (p *Pool) Name() string { return "links" }

// Run closes expired idle connections until ctx ends; then it closes those that will have
// expired within an hour. It always returns nil.
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

// sweep closes the idle connections that have expired at now.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for a, cs := range p.idle {
		n := 0
		for _, c := range cs {
			if now.Sub(c.idleSince) >= c.idleTimeout {
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
	p.suspects.prune(now)
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}
