package plain

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/url"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/inlet"
)

// Conn is a connection for a single call that may run only once. The call is written to the
// connection directly, since net/http may repeat a request with an Idempotency-Key header.
type Conn struct {
	client *Client
	conn   net.Conn
	used   bool
}

// errUsed is the cause of the error for a second call on a connection.
var errUsed = errors.New("the connection has carried a call already")

// Connect opens a connection. Its error is always a *NotRunError.
func (c *Client) Connect(ctx context.Context) (*Conn, error) {
	u, err := url.Parse(c.options.BaseURL)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	ctx, cancel := clock.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	d, err := c.dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	if u.Scheme != "https" {
		return &Conn{client: c, conn: inlet.NewConn(d)}, nil
	}
	n := inlet.NewSecuredConn(d)
	t := tls.Client(n, &tls.Config{ServerName: u.Hostname(), MinVersion: tls.VersionTLS12})
	if err := t.HandshakeContext(ctx); err != nil {
		n.Close()
		return nil, &NotRunError{Err: clock.TimeoutOr(ctx, err)}
	}
	return &Conn{client: c, conn: t}, nil
}

// Close closes the connection.
func (n *Conn) Close() {
	n.conn.Close()
}

// Do makes the call. Its errors are those of Client.Do. It returns no *NotRunError once a
// byte of the call may have been written.
func (n *Conn) Do(ctx context.Context, k Call) (*Result, error) {
	if n.used {
		return nil, &NotRunError{Err: errUsed}
	}
	if err := ctx.Err(); err != nil {
		return nil, &NotRunError{Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := n.client.request(ctx, k)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	n.used = true
	req.Close = true
	timer := n.client.startIdleTimer(cancel)
	defer timer.Stop()
	stop := context.AfterFunc(ctx, n.Close)
	defer stop()
	if err := req.Write(n.conn); err != nil {
		return nil, unknown(ctx, err)
	}
	res, err := inlet.NewReader(n.conn, n.client.options.BaseURL).Response(req, inlet.Default())
	if err != nil {
		return nil, unknown(ctx, err)
	}
	defer res.Body.Close()
	// Closing the body reads it to its end unless the connection is closed before.
	defer n.Close()
	return n.client.read(ctx, res, timer)
}
