package front

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	// refused is called for each connection that is closed at the limit, failed for each failed accept.
	refused func()
	failed  func(error)
}

// limitConnections limits the open connections of a listener to clientDescriptorShare of the
// process's file descriptors. refused is called for each connection closed at the limit, failed for each failed
// accept.
func limitConnections(l net.Listener, refused func(), failed func(error)) (*limitedListener, error) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return nil, err
	}
	return &limitedListener{Listener: l, limit: max(int64(float64(r.Cur)*clientDescriptorShare), 1), refused: refused, failed: failed}, nil
}

// acceptRetry is the time after a failed accept until the next one, such as while the kernel lacks memory.
const acceptRetry = 20 * time.Millisecond

// Accept returns the next connection within the limit. Only the close of the listener ends it: another error
// would end the process with the requests of all other connections.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.failed(err)
			time.Sleep(acceptRetry)
			continue
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
