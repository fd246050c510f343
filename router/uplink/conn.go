package uplink

import (
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection whose sent bytes are measured.
type Conn struct {
	*net.TCPConn

	meter *Meter
	// sent counts the bytes that were passed to the kernel, those of a write in progress included.
	sent atomic.Int64
	// listed is true while the meter looks at the connection.
	listed atomic.Bool
	// flow belongs to the goroutine that samples.
	flow flow

	mu sync.Mutex
	// ticket is the request in progress; nil without one.
	ticket *ticket
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	c.meter.list(c)
	c.mu.Lock()
	if c.ticket != nil {
		c.meter.book.wrote(c.ticket, int64(len(b)))
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Write(b)
	// The meter may have looked before the kernel had the bytes.
	c.meter.list(c)
	return n, err
}

// Begin admits a request of the connection, or returns a *FullError.
func (c *Conn) Begin(q Need) error {
	c.End(false)
	t, err := c.meter.book.admit(c.meter.State(), q)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticket = t
	return nil
}

// End records that the answer of the request in progress, if any, has been written. usual is false for one that says
// nothing about the size of others of its route, such as a refusal.
func (c *Conn) End(usual bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ticket != nil {
		c.meter.book.end(c.ticket, usual)
		c.ticket = nil
	}
}

// Track returns c with its sent bytes measured. Connections other than those of TCP are returned as they are.
func (m *Meter) Track(c net.Conn) net.Conn {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &Conn{TCPConn: t, meter: m}
}

// Listener returns l with connections that m measures.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }

type listener struct {
	net.Listener

	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Track(c), nil
}
