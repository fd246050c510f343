package fault

import (
	"net"
	"sync/atomic"
)

// Listen wraps a listener so that its connections suffer the faults.
func (s *Injector) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, s: s}
}

type listener struct {
	net.Listener
	s *Injector
}

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

// add reports whether the part accepts connections.
func (s *Injector) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return false
	}
	s.conns[c] = true
	return true
}

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

// reset closes the connection with a TCP reset, as a crashed host's successor would.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
