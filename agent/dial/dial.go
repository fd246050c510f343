// Package dial sets up connections to upstreams with time-outs that count time in which this process runs.
package dial

import (
	"context"
	"errors"
	"net"
	"time"

	"tarragonvalve.example/core/clock"
)

// Dialer is a net.Dialer whose Timeout counts only time in which this process ran.
type Dialer struct{ net.Dialer }

// New returns a dialer with a time-out.
func New(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{Timeout: timeout}}
}

// DialContext connects to an address. The error is a *net.OpError with a *clock.TimeoutError after the time-out. The dialer
// inside counts all time: if it gives up before, it is called again.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	inner, cancel := clock.WithoutDeadline(ctx)
	defer cancel(nil)
	defer clock.AfterFunc(d.Timeout, func() { cancel(&clock.TimeoutError{After: d.Timeout}) }).Stop()
	for {
		n, err := d.Dialer.DialContext(inner, network, address)
		if err == nil {
			return n, nil
		}
		var o *net.OpError
		if inner.Err() == nil && errors.As(err, &o) && o.Timeout() {
			continue
		}
		if errors.As(err, &o) {
			o.Err = clock.TimeoutOr(inner, o.Err)
		}
		return nil, err
	}
}
