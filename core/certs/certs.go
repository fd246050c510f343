// Package certs holds TLS certificates from files and reads them again when they change.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
)

// Files names PEM files.
type Files struct {
	Cert string
	Key  string
	// CA verifies other processes of the system, as servers and as clients. It may
	// be empty; a server then asks for no client certificate.
	CA string
}

// LoadError reports a file that does not hold what it should.
type LoadError struct {
	File string
	Err  error
}

func (e *LoadError) Error() string {
	return fmt.Sprintf("load certificate file %s: %v", e.File, e.Err)
}

func (e *LoadError) Unwrap() error {
	return e.Err
}

// checkInterval bounds how often the files' times are looked at.
const checkInterval = time.Second

// Source holds the present certificates. It is safe for concurrent use.
type Source struct {
	files  Files
	failed func(error)

	mu      sync.Mutex
	now     *loaded
	stamp   [3]time.Time
	checked time.Time
}

type loaded struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// New loads the files. It returns a *LoadError when they can't be used. Later, failed
// learns once of each change that can't be used, while the old files stay in force.
func New(f Files, failed func(error)) (*Source, error) {
	s := &Source{files: f, failed: failed}
	s.stamp = s.times()
	l, err := s.load()
	if err != nil {
		return nil, err
	}
	s.now = l
	return s, nil
}

// PublicServerConfig returns a server configuration that asks for no client certificate.
func (s *Source) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current().cert, nil
		},
	}
}

// InternalServerConfig returns a configuration for other processes of the system, which must
// show a certificate when there is a CA to verify it.
func (s *Source) InternalServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.cert},
				// gRPC needs HTTP/2; a configuration made per client must offer it itself.
				NextProtos: []string{"h2"},
			}
			if l.pool != nil {
				c.ClientCAs = l.pool
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// ClientCredentials returns credentials for connections to agents and other entries. Each
// handshake takes the present files.
func (s *Source) ClientCredentials() credentials.TransportCredentials {
	return &client{TransportCredentials: s.fixed(), source: s}
}

func (s *Source) fixed() credentials.TransportCredentials {
	l := s.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.cert},
		RootCAs:      l.pool,
	})
}

type client struct {
	credentials.TransportCredentials
	source *Source
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *client) ClientHandshake(ctx context.Context, authority string, n net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.source.fixed().ClientHandshake(ctx, authority, n)
}

// Clone implements credentials.TransportCredentials.
func (c *client) Clone() credentials.TransportCredentials {
	return &client{TransportCredentials: c.TransportCredentials.Clone(), source: c.source}
}

// current loads changed files. Files that can't be used leave the old certificates in force.
func (s *Source) current() *loaded {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.now
	}
	s.checked = now
	t := s.times()
	if t == s.stamp {
		return s.now
	}
	s.stamp = t
	l, err := s.load()
	if err != nil {
		s.failed(err)
		return s.now
	}
	s.now = l
	return s.now
}

func (s *Source) times() [3]time.Time {
	var out [3]time.Time
	for i, f := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if n, err := os.Stat(f); err == nil {
			out[i] = n.ModTime()
		}
	}
	return out
}

func (s *Source) load() (*loaded, error) {
	p, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, &LoadError{File: s.files.Cert, Err: err}
	}
	if s.files.CA == "" {
		return &loaded{cert: p}, nil
	}
	b, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, &LoadError{File: s.files.CA, Err: err}
	}
	l := &loaded{cert: p, pool: x509.NewCertPool()}
	if !l.pool.AppendCertsFromPEM(b) {
		return nil, &LoadError{File: s.files.CA, Err: errors.New("no certificate in it")}
	}
	return l, nil
}
