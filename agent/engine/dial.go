package engine

import (
	"context"
	"errors"
	"net"

	"tarragonvalve.example/core/clock"
)

// dial opens a connection within the dial timeout. Time in which this process did not run doesn't count. The dialer does
// count it: if it gives up before, it is called again. The context comes from http.Transport and has no deadline.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := clock.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	for {
		n, err := c.dialer.DialContext(ctx, network, address)
		if err == nil {
			return n, nil
		}
		var o *net.OpError
		if ctx.Err() == nil && errors.As(err, &o) && o.Timeout() {
			continue
		}
		if errors.As(err, &o) {
			o.Err = clock.TimeoutOr(ctx, o.Err)
		}
		return nil, err
	}
}
