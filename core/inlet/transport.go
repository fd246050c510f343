package inlet

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	// handshakeTimeout bounds the TLS handshake, as in http.DefaultTransport.
	handshakeTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept for reuse, as in http.DefaultTransport.
	idleTimeout = 90 * time.Second
)

// Transport is an http.Transport for HTTP/1.1 whose answers are read by Reader: RoundTrip and the bodies
// return a *TooLongError for a head beyond the default bounds and a *MalformedError for what
// ReadResponse refuses. Interim answers and trailers are dropped. It uses no proxy.
type Transport struct{ *http.Transport }

// NewTransport returns a transport whose connections are set up by dial. Its fields may be set before
// the first request, but for the functions that dial.
func NewTransport(dial DialFunc) *Transport {
	t := &Transport{&http.Transport{
		TLSHandshakeTimeout: handshakeTimeout,
		IdleConnTimeout:     idleTimeout,
		// answerConn has the bound for what the peer sent.
		MaxResponseHeaderBytes: 2 * MaxHeadBytes,
	}}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newAnswerConn(NewConn(c)), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s, err := t.handshake(ctx, NewSecuredConn(c), address)
		if err != nil {
			c.Close()
			return nil, err
		}
		return newAnswerConn(s), nil
	}
	return t
}

// handshake sets up TLS on a connection to an address HOST:PORT.
func (t *Transport) handshake(ctx context.Context, c net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	s := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.TLSClientConfig != nil {
		s = t.TLSClientConfig.Clone()
	}
	if s.ServerName == "" {
		s.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, t.TLSHandshakeTimeout)
	defer cancel()
	secured := tls.Client(c, s)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return secured, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*answerConn); ok {
			c.begin(q.Method, q.URL.Scheme+"://"+q.URL.Host)
		}
	}})
	return t.Transport.RoundTrip(q.WithContext(ctx))
}
