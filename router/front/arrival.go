package front

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"tarragonvalve.example/router/sock"
)

// arrivals finds out how long bytes waited to be read. It is safe for concurrent use.
type arrivals struct {
	// overdue returns by how much the process's next heartbeat is overdue.
	overdue func() time.Duration
	// kernelTells is true once the kernel has told the time since data was received.
	kernelTells atomic.Bool
}

// delay returns how long the bytes that a read of c has just returned waited for it. The kernel's time since the latest
// data is exact if all of them came at once, and else too short, so that no request counts as older than it is. Without
// it, the process may have noticed the bytes later by as much as its heartbeat is overdue.
func (a *arrivals) delay(c *clientConn) time.Duration {
	if o, ok := unwrap(c).(syscall.Conn); ok {
		d, err := sock.SinceData(o)
		if err == nil && d > 0 {
			a.kernelTells.Store(true)
			return d
		}
	}
	if a.kernelTells.Load() {
		return 0
	}
	return a.overdue()
}

// arrival is when the bytes of a request could have been read. It belongs to one connection.
type arrival struct {
	// first is when the request's first byte could have been read; zero if it hasn't begun.
	first time.Time
	// read is when its latest byte was read, delay how long that waited for the read.
	read  time.Time
	delay time.Duration
}

// begin records the arrival of a request's first bytes, which were read at now and had waited for d.
func (a *arrival) begin(now time.Time, d time.Duration) {
	*a = arrival{first: now.Add(-d), read: now, delay: d}
}

// more records that further bytes were read at now.
func (a *arrival) more(now time.Time) { a.read, a.delay = now, 0 }

// waited returns how long the request has waited for this process since its latest byte could have been read. The time
// that the client took to send it doesn't count.
func (a *arrival) waited(now time.Time) time.Duration { return now.Sub(a.read) + a.delay }

// clientLeft reports whether the client has ended its sending side or reset the connection, also if net/http hasn't
// noticed yet. Bytes of a further request that wait to be read hide it.
func (x *exchange) clientLeft() bool {
	if x.conn == nil {
		return false
	}
	o, ok := unwrap(x.conn).(syscall.Conn)
	if !ok {
		return false
	}
	n, err := sock.Peek(o)
	if err == nil {
		return n == 0
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
}
