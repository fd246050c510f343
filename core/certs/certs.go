// Package certs loads TLS certificates from files and reloads them when the files change.
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

// Files holds the paths of PEM files.
type Files struct {
	// Cert and Key are the process's own certificate chain and private key.
	Cert string
	Key  string
	// CA holds the certificates that verify other processes of the system, both
	// servers and clients. If it is empty, servers ask for no client certificate.
	CA string
}

// LoadError reports a file that can't be read or holds no valid certificate or key.
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

// reloadInterval is the minimum time between two checks of the files' modification times.
const reloadInterval = time.Second

// Source provides the certificates of the present files. It is safe for concurrent use.
type Source struct {
	files   Files
	onError func(error)

	mu       sync.Mutex
	latest   *certificates
	modTimes [3]time.Time
	// checked is the time of the last check of the modification times.
	checked time.Time
}

// certificates are the certificates of one load of the files.
type certificates struct {
	cert tls.Certificate
	pool *x509.CertPool // nil without a CA file
}

// New loads the files and returns a *LoadError if they are unusable. Later, onError is
// called once for each change of the files that can't be loaded; the certificates
// loaded before then stay in use.
func New(f Files, failed func(error)) (*Source, error) {
	s := &Source{files: f, onError: failed}
	s.modTimes = s.readModTimes()
	l, err := s.load()
	if err != nil {
		return nil, err
	}
	s.latest = l
	return s, nil
}

// PublicServerConfig returns a configuration for servers that clients outside of the
// system connect to. It asks for no client certificate.
func (s *Source) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current().cert, nil
		},
	}
}

// InternalServerConfig returns a configuration for servers that other processes of the
// system connect to. With a CA, it requires and verifies a client certificate.
func (s *Source) InternalServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.cert},
				// gRPC needs HTTP/2, and a configuration from GetConfigForClient must offer it itself.
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

// ClientCredentials returns credentials for connections to agents and other entries.
// Each handshake uses the certificates of the present files.
func (s *Source) ClientCredentials() credentials.TransportCredentials {
	return &reloadingCredentials{TransportCredentials: s.currentCredentials(), source: s}
}

// currentCredentials returns client credentials with the certificates of the present files.
func (s *Source) currentCredentials() credentials.TransportCredentials {
	l := s.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.cert},
		RootCAs:      l.pool,
	})
}

// reloadingCredentials are client credentials that use the present files for each handshake.
type reloadingCredentials struct {
	credentials.TransportCredentials
	source *Source
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *reloadingCredentials) ClientHandshake(ctx context.Context, authority string, n net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.source.currentCredentials().ClientHandshake(ctx, authority, n)
}

// Clone implements credentials.TransportCredentials.
func (c *reloadingCredentials) Clone() credentials.TransportCredentials {
	return &reloadingCredentials{TransportCredentials: c.TransportCredentials.Clone(), source: c.source}
}

// current returns the certificates of the present files. It reloads files that have
// changed; if that fails, it calls onError and keeps the certificates loaded before.
func (s *Source) current() *certificates {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < reloadInterval {
		return s.latest
	}
	s.checked = now
	t := s.readModTimes()
	if t == s.modTimes {
		return s.latest
	}
	s.modTimes = t
	l, err := s.load()
	if err != nil {
		s.onError(err)
		return s.latest
	}
	s.latest = l
	return s.latest
}

// readModTimes returns the modification times of the files; zero for a missing one.
func (s *Source) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, f := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if n, err := os.Stat(f); err == nil {
			out[i] = n.ModTime()
		}
	}
	return out
}

func (s *Source) load() (*certificates, error) {
	p, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, &LoadError{File: s.files.Cert, Err: err}
	}
	if s.files.CA == "" {
		return &certificates{cert: p}, nil
	}
	b, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, &LoadError{File: s.files.CA, Err: err}
	}
	l := &certificates{cert: p, pool: x509.NewCertPool()}
	if !l.pool.AppendCertsFromPEM(b) {
		return nil, &LoadError{File: s.files.CA, Err: errors.New("no certificate in it")}
	}
	return l, nil
}
