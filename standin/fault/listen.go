package fault

import (
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
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as a host does that has restarted and no
// longer has the connection.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
