package front

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// clientShare is the part of the process's descriptors that clients' connections may
// take; upstreams, peers, the store, readiness and metrics need the others.
const clientShare = 0.5

// limited turns new connections away once too many are open: their clients learn at once
// that nothing was read.
type limited struct {
	net.Listener

	most    int64
	open    atomic.Int64
	refused func()
}

// limitClients bounds the connections of a listener by the process's descriptors.
func limitClients(l net.Listener, refused func()) (net.Listener, error) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return nil, err
	}
	return &limited{Listener: l, most: max(int64(float64(r.Cur)*clientShare), 1), refused: refused}, nil
}

// Accept returns the next connection within the bound.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refused()
		c.Close()
	}
}

// counted is a connection that counts until it is closed.
type counted struct {
	net.Conn

	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
