package plain

import (
	"context"
	"errors"
	"net"

	"tarragonvalve.example/core/clock"
)

// dial opens a connection within the dial timeout. Time in which this process did not run doesn't count. The dialer does
// count it: if it gives up before, it is called again.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	// A net.Dialer that knows the deadline of ctx may report it before ctx has ended, and would be tried again at once.
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })()
	d := c.options.DialTimeout
	defer clock.AfterFunc(d, func() { cancel(&clock.TimeoutError{After: d}) }).Stop()
	for {
		n, err := c.dialer.DialContext(inner, network, address)
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
