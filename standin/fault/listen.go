package fault

import (
	"io"
	"net"
	"sync/atomic"
)

// Listen wraps a listener so that the connection faults (down, and those of Reset and
// SilenceOpen) apply to its connections.
func (s *Injector) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, s: s}
}

// listener registers accepted connections with its injector.
type listener struct {
	net.Listener
	s *Injector
}

// Accept returns the next connection. While the component is down it resets each new
// connection and waits for the next.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, s: l.s}
		if l.s.add(c) {
			return c, nil
		}
		c.reset()
	}
}

// add registers an accepted connection. It returns false, without registering it, while
// the component is down.
func (s *Injector) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return false
	}
	s.conns[c] = true
	return true
}

// conn is an accepted connection. While silent is set, it discards all data in both directions.
type conn struct {
	net.Conn
	s      *Injector
	silent atomic.Bool
	// cut, if it is not nil, limits what is still written.
	cut atomic.Pointer[cut]
}

// cut limits the bytes that a connection still writes. Only the goroutine that serves the
// connection uses left.
type cut struct {
	left  int
	stall bool
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	t := c.cut.Load()
	if t == nil {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:min(len(b), t.left)])
	t.left -= n
	if err != nil || t.left > 0 {
		return n, err
	}
	if t.stall {
		c.silent.Store(true)
		return len(b), nil
	}
	_ = c.Close()
	return n, net.ErrClosed
}

// Close closes the connection. One whose response was cut with stall is closed only once the
// client has closed it, since net/http closes it after a request with Connection: close.
func (c *conn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	if t := c.cut.Load(); t == nil || !t.stall || !c.silent.Load() {
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}

// reset closes the connection with a TCP reset, as a host does that has restarted and no
// longer has the connection.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	_ = c.Conn.Close() // also if Close leaves it to the client
}
