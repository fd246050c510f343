package plain

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/url"
)

// Conn is a connection for one call that may run only once. The call is written
// to it directly: net/http would repeat a request that carries Idempotency-Key.
type Conn struct {
	client *Client
	conn   net.Conn
	used   bool
}

// errUsed is the error of a second call on one connection.
var errUsed = errors.New("the connection has carried a call already")

// Connect opens a connection. It returns a *NotRunError when there is none.
func (c *Client) Connect(ctx context.Context) (*Conn, error) {
	u, err := url.Parse(c.options.Base)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.DialLimit)
	defer cancel()
	n, err := c.dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	if u.Scheme != "https" {
		return &Conn{client: c, conn: n}, nil
	}
	t := tls.Client(n, &tls.Config{ServerName: u.Hostname(), MinVersion: tls.VersionTLS12})
	if err := t.HandshakeContext(ctx); err != nil {
		n.Close()
		return nil, &NotRunError{Err: err}
	}
	return &Conn{client: c, conn: t}, nil
}

// Close closes the connection.
func (n *Conn) Close() {
	n.conn.Close()
}

// Do makes the call. Its errors are those of Client.Do; once the first byte may
// have been written, no error is a *NotRunError.
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
	timer := n.client.silence(cancel)
	defer timer.Stop()
	stop := context.AfterFunc(ctx, n.Close)
	defer stop()
	if err := req.Write(n.conn); err != nil {
		return nil, unknown(ctx, err)
	}
	res, err := answer(bufio.NewReader(n.conn), req)
	if err != nil {
		return nil, unknown(ctx, err)
	}
	defer res.Body.Close()
	return n.client.read(ctx, res, timer)
}

// answer reads the final response; informational ones come before it.
func answer(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(r, req)
		if err != nil || res.StatusCode >= 200 {
			return res, err
		}
		res.Body.Close()
	}
}
