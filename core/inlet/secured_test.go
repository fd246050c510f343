package inlet_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"tarragonvalve.example/core/inlet"
)

// Guards against an answer without a length over TLS that anyone on the path can cut: only the peer's
// closure alert ends it. A length or chunks are enough.
func TestSecuredEnds(t *testing.T) {
	for name, c := range map[string]struct {
		text         string
		alert, whole bool
	}{
		"no length, alert":        {okHead + "\r\nfine", true, true},
		"no length, no alert":     {okHead + "\r\nfine", false, false},
		"length, no alert":        {sound["length"], false, true},
		"chunks, no alert":        {sound["chunks"], false, true},
		"length cut, then alert":  {okHead + "Content-Length: 5\r\n\r\nfine", true, false},
		"interim alone, no alert": {"HTTP/1.1 103 Early Hints\r\n\r\n", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(n, c.text)
				if !c.alert {
					n.(*tls.Conn).NetConn().Close()
				}
				n.Close()
			}))
			defer s.Close()
			pool := x509.NewCertPool()
			pool.AddCert(s.Certificate())
			r := inlet.NewTransport(new(net.Dialer).DialContext)
			r.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
			client := &http.Client{Transport: r}
			defer client.CloseIdleConnections()
			a, err := client.Get(s.URL)
			var b []byte
			if err == nil {
				b, err = io.ReadAll(a.Body)
				a.Body.Close()
			}
			if whole := err == nil && string(b) == "fine"; whole != c.whole {
				t.Errorf("got %q, %v, want a whole answer: %v", b, err, c.whole)
			}
		})
	}
}
