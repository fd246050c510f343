package inlet

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// handshakeTimeout bounds the TLS handshake, as in http.DefaultTransport.
	handshakeTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept for reuse, as in http.DefaultTransport.
	idleTimeout = 90 * time.Second
)

// NewTransport returns a transport for HTTP/1.1 without a proxy, whose heads are bounded by
// MaxHeadBytes and whose connections are set up by dial and have truthful ends; see Conn.
func NewTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return NewConn(c), nil
		},
		TLSHandshakeTimeout:    handshakeTimeout,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}
