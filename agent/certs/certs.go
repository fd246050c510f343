// Package certs serves TLS certificates from files and reads them again when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names PEM files. ClientCA may be empty; clients then need no certificate.
type Files struct {
	Cert     string
	Key      string
	ClientCA string
}

// LoadError reports files that don't hold what they should.
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
	files Files

	mu      sync.Mutex
	config  *tls.Config
	stamp   [3]time.Time
	checked time.Time
}

// New loads the files. It returns a *LoadError when they can't be used.
func New(f Files) (*Source, error) {
	s := &Source{files: f}
	s.stamp = s.times()
	c, err := s.load()
	if err != nil {
		return nil, err
	}
	s.config = c
	return s, nil
}

// Server returns a configuration that takes the present certificates at each handshake.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current(), nil
		},
	}
}

// current loads changed files. Files that can't be used leave the old certificates in force.
func (s *Source) current() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.config
	}
	s.checked = now
	t := s.times()
	if t == s.stamp {
		return s.config
	}
	c, err := s.load()
	if err != nil {
		return s.config
	}
	s.config = c
	s.stamp = t
	return c
}

func (s *Source) times() [3]time.Time {
	var out [3]time.Time
	for i, f := range []string{s.files.Cert, s.files.Key, s.files.ClientCA} {
		if n, err := os.Stat(f); err == nil {
			out[i] = n.ModTime()
		}
	}
	return out
}

func (s *Source) load() (*tls.Config, error) {
	p, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, &LoadError{File: s.files.Cert, Err: err}
	}
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p},
		// gRPC needs HTTP/2; a configuration made per client must offer it itself.
		NextProtos: []string{"h2"},
	}
	if s.files.ClientCA == "" {
		return c, nil
	}
	b, err := os.ReadFile(s.files.ClientCA)
	if err != nil {
		return nil, &LoadError{File: s.files.ClientCA, Err: err}
	}
	c.ClientCAs = x509.NewCertPool()
	if !c.ClientCAs.AppendCertsFromPEM(b) {
		return nil, &LoadError{File: s.files.ClientCA, Err: fmt.Errorf("no certificate in it")}
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}
