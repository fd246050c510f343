package table

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// closableBody is a body that can't be read after Close.
type closableBody struct {
	io.Reader
	closed bool
}

func (c *closableBody) Read(b []byte) (int, error) {
	if c.closed {
		return 0, errors.New("read after close")
	}
	return c.Reader.Read(b)
}

func (c *closableBody) Close() error {
	c.closed = true
	return nil
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against lost answers: the SDK closes a request's body while the transport
// still writes it, which made 5 to 9 of 12,000 lists of 38 kB fail as
// table-unavailable.
func TestBodyOutlivesRequest(t *testing.T) {
	body := &closableBody{Reader: strings.NewReader("query")}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1", body)
	if err != nil {
		t.Fatal(err)
	}
	next := roundTripFunc(func(sent *http.Request) (*http.Response, error) {
		_ = r.Body.Close()
		b, err := io.ReadAll(sent.Body)
		if err != nil || string(b) != "query" {
			t.Errorf("the transport read %q, %v", b, err)
		}
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
	})
	p, err := bodyCopyTransport{next}.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	p.Body.Close()
}
