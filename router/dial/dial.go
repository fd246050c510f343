// Package dial sets up connections with time-outs that expire only if the kernel, too, has no connection.
package dial

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/router/sock"
)

// established is the state of a connection in tcp_info after the handshake.
const established = 1

// Context connects to an address IP:PORT by TCP, as d does. It returns a *clock.TimeoutError if there is no connection after
// limit. That counts only time in which this process ran. A handshake that the kernel has completed by then is waited for: a
// process that is late all the time learns of it later still.
func Context(ctx context.Context, d net.Dialer, address string, limit time.Duration) (net.Conn, error) {
	var raw atomic.Pointer[syscall.RawConn]
	control := d.Control
	d.Control = func(network, address string, c syscall.RawConn) error {
		raw.Store(&c)
		if control == nil {
			return nil
		}
		return control(network, address, c)
	}
	// A deadline that is reported before ctx has ended would count as a failure of the peer.
	inner, cancel := clock.WithoutDeadline(ctx)
	defer cancel(nil)
	t := clock.AfterFunc(limit, func() {
		if c := raw.Load(); c == nil || !isEstablished(*c) {
			cancel(&clock.TimeoutError{After: limit})
		}
	})
	defer t.Stop()
	n, err := d.DialContext(inner, "tcp", address)
	if err != nil {
		return nil, clock.TimeoutOr(inner, err)
	}
	return n, nil
}

// isEstablished reports whether the kernel has completed the handshake of a connection that isn't closed.
func isEstablished(c syscall.RawConn) bool {
	i, err := sock.Info(c)
	return err == nil && i.State == established
}
