package rating

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/inlet"
)

// Guards against a report or a page of ratings that counts as taken by an answer that is malformed or cut.
func TestBrokenAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a name": "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
		"cut":             "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				n, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(n, text)
				n.Close()
			}))
			defer s.Close()
			c := New(Options{
				URL: s.URL, Client: &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext)},
				OnRating: func(Rating) {}, Log: zerolog.Nop(),
			})
			if err := c.report(t.Context(), Answer{Request: "r1"}); err == nil {
				t.Error("the report counts as taken")
			}
			if _, _, err := c.readPage(t.Context()); err == nil {
				t.Error("the page counts as read")
			}
		})
	}
}
