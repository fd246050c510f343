package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// writeSelfSigned writes a self-signed certificate with a serial number and its key. The
// modification time of the files follows from the serial number.
func writeSelfSigned(t *testing.T, f Files, serial int64) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "agent"},
		NotAfter:     time.Now().Add(time.Hour),
	}
	d, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	b, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	stamp := time.Unix(1_800_000_000+serial, 0)
	for name, p := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: d}, f.Key: {Type: "EC PRIVATE KEY", Bytes: b}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(p), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
}

// serial returns the serial number of the certificate that a server presents.
func serial(t *testing.T, c *tls.Config) int64 {
	t.Helper()
	n, err := c.GetConfigForClient(nil)
	if err != nil {
		t.Fatal(err)
	}
	x, err := x509.ParseCertificate(n.Certificates[0].Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return x.SerialNumber.Int64()
}

// Guards against a renewed certificate that takes effect only after a restart, and
// against a partly written one that breaks all connections.
func TestReloadsChangedFiles(t *testing.T) {
	d := t.TempDir()
	f := Files{Cert: filepath.Join(d, "cert.pem"), Key: filepath.Join(d, "key.pem")}
	synctest.Test(t, func(t *testing.T) {
		writeSelfSigned(t, f, 1)
		var failures []error
		s, err := New(f, func(e error) { failures = append(failures, e) })
		if err != nil {
			t.Fatal(err)
		}
		c := s.InternalServerConfig()
		for _, n := range []int64{1, 2} {
			writeSelfSigned(t, f, n)
			time.Sleep(2 * time.Second)
			if got := serial(t, c); got != n {
				t.Fatalf("serial %d, want %d", got, n)
			}
		}
		if err := os.WriteFile(f.Cert, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if got := serial(t, c); got != 2 {
			t.Fatalf("serial %d after an unusable change, want 2", got)
		}
		time.Sleep(5 * time.Second)
		if serial(t, c); len(failures) != 1 {
			t.Fatalf("reported errors %v, want one for the unusable change", failures)
		}
		var e *LoadError
		if _, err := New(f, nil); !errors.As(err, &e) {
			t.Fatalf("error %v, want a *LoadError", err)
		}
	})
}

// Guards against a configuration that gRPC clients refuse because it does not
// offer HTTP/2.
func TestOffersHTTP2(t *testing.T) {
	d := t.TempDir()
	f := Files{Cert: filepath.Join(d, "cert.pem"), Key: filepath.Join(d, "key.pem")}
	writeSelfSigned(t, f, 1)
	s, err := New(f, nil)
	if err != nil {
		t.Fatal(err)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", s.InternalServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			_ = c.(*tls.Conn).Handshake()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if p := c.ConnectionState().NegotiatedProtocol; p != "h2" {
		t.Fatalf("negotiated protocol %q, want h2", p)
	}
}
