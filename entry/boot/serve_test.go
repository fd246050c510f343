package boot

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/entry/setup"
)

// certificate writes a self-signed certificate for 127.0.0.1 and its key to files
// and returns their paths.
func certificate(t *testing.T) (cert, key string) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	b, err := x509.CreateCertificate(rand.Reader, c, c, k.Public(), k)
	if err != nil {
		t.Fatal(err)
	}
	p, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	for f, x := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: b}, key: {Type: "PRIVATE KEY", Bytes: p}} {
		if err := os.WriteFile(f, pem.EncodeToMemory(x), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key
}

// Guards against an administration API that takes operator keys unencrypted although
// certificates are set.
func TestAdministrationIsEncrypted(t *testing.T) {
	cert, key := certificate(t)
	s := setup.Default()
	s.TLS = setup.TLS{Cert: cert, Key: key, CA: cert}
	c, err := newCertificates(&s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := newListeners(&s)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	w := newAdminServer(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), c, panics.New(zerolog.Nop()), zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	a := l.admin.Addr().String()
	pool := x509.NewCertPool()
	b, _ := os.ReadFile(cert)
	pool.AppendCertsFromPEM(b)
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	r, err := h.Get("https://" + a)
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	if r.StatusCode != http.StatusNoContent {
		t.Errorf("the encrypted port answered %d", r.StatusCode)
	}
	if r, err = http.Get("http://" + a); err == nil {
		r.Body.Close()
		if r.StatusCode == http.StatusNoContent {
			t.Error("the port answers unencrypted requests")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
