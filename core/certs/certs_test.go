package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return &authority{cert: c, key: k}
}

// write writes a new certificate for an IP address, its key and the authority's own
// certificate to a folder.
func (a *authority) write(t *testing.T, dir string, ip string) Files {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leaf, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	f := Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for p, b := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: leaf}, f.CA: {Type: "CERTIFICATE", Bytes: root}, f.Key: {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(p, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// handshake performs a handshake between client and server and returns the client's
// error, or the server's if the client has none.
func handshake(t *testing.T, client, server *Source) error {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := n.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	served := make(chan error, 1)
	go func() {
		err := tls.Server(s, server.InternalServerConfig()).Handshake()
		if err != nil {
			s.Close()
		}
		served <- err
	}()
	_, _, err = client.ClientCredentials().ClientHandshake(context.Background(), "127.0.0.1:1", c)
	if err != nil {
		c.Close()
	}
	if e := <-served; err == nil {
		err = e
	}
	return err
}

func load(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := New(f, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against connections between processes of different authorities or to a server
// whose certificate is for another address, and against certificates that stay in use
// after their files have changed.
func TestPeerVerification(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	own := load(t, ours.write(t, dir, "127.0.0.1"))
	same := load(t, ours.write(t, t.TempDir(), "127.0.0.1"))
	foreign := load(t, theirs.write(t, t.TempDir(), "127.0.0.1"))
	otherAddress := load(t, ours.write(t, t.TempDir(), "127.0.0.2"))
	if err := handshake(t, own, same); err != nil {
		t.Errorf("same authority: %v", err)
	}
	if handshake(t, own, foreign) == nil || handshake(t, foreign, own) == nil {
		t.Error("a process of another authority is accepted")
	}
	if handshake(t, own, otherAddress) == nil {
		t.Error("a server with a certificate of another address is accepted")
	}
	theirs.write(t, dir, "127.0.0.1")
	later := time.Now().Add(time.Minute)
	for _, f := range []string{"cert", "key", "ca"} {
		if err := os.Chtimes(filepath.Join(dir, f), later, later); err != nil {
			t.Fatal(err)
		}
	}
	own.checked = time.Time{}
	if err := handshake(t, own, foreign); err != nil {
		t.Errorf("after the files changed: %v", err)
	}
}
