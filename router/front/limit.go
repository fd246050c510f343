package front

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// clientDescriptorShare is the fraction of the process's file descriptors that clients'
// connections may use. The connections to upstreams, peers and the store, and those for
// readiness and metrics, need the others.
const clientDescriptorShare = 0.5

// limitedListener is a listener that closes new connections at once while limit connections
// are open. Their clients detect without delay that no request was read.
type limitedListener struct {
	net.Listener

	// limit is the largest number of open connections.
	limit int64
	open  atomic.Int64
	// refused is called for each connection that is closed at the limit.
	refused func()
}

// limitConnections limits the open connections of a listener to clientDescriptorShare of the
// process's file descriptors. refused is called for each connection closed at the limit.
func limitConnections(l net.Listener, refused func()) (net.Listener, error) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return nil, err
	}
	return &limitedListener{Listener: l, limit: max(int64(float64(r.Cur)*clientDescriptorShare), 1), refused: refused}, nil
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refused()
		c.Close()
	}
}

// countedConn is a connection that counts as open until the first call of Close.
type countedConn struct {
	net.Conn

	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
