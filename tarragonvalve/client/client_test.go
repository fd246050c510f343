package client_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/tarragonvalve/client"
)

// Guards against a head without end that the command line keeps in memory, and against a
// change that counts as not sent because of it.
func TestEndlessHead(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		n, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer n.Close()
		io.WriteString(n, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 4*inlet.MaxHeadBytes))
		io.Copy(io.Discard, n)
	}))
	defer s.Close()
	c, err := client.New(client.Options{Addresses: []string{s.URL}, Timeout: 10 * time.Second, Unencrypted: true})
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Change[struct{}](t.Context(), c, "/halts", struct{}{})
	var u *client.UnknownOutcomeError
	var l *inlet.TooLongError
	if !errors.As(err, &u) || !errors.As(err, &l) || l.Part != inlet.Head {
		t.Errorf("got %v, want an unknown outcome by a *TooLongError for the head", err)
	}
}
