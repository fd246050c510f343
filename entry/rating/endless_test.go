package rating

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/inlet"
)

// endlessService answers with a page and more bytes than a page may have.
type endlessService struct{}

func (endlessService) RoundTrip(*http.Request) (*http.Response, error) {
	b := io.MultiReader(strings.NewReader(`{"ratings":[{"seq":1,"request-id":"r1","good":true}],"next":1}`), strings.NewReader(strings.Repeat(" ", maxPageBytes)))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(b), Header: http.Header{}}, nil
}

// Guards against a page of ratings that is taken although the service goes on sending
// beyond its bound.
func TestEndlessPage(t *testing.T) {
	n := 0
	c := New(Options{
		URL: "http://127.0.0.1:9", Client: &http.Client{Transport: endlessService{}},
		OnRating: func(Rating) { n++ }, Log: zerolog.Nop(),
	})
	_, _, err := c.readPage(t.Context())
	var l *inlet.TooLongError
	if !errors.As(err, &l) || l.Part != inlet.Body || n != 0 {
		t.Errorf("got %v and %d ratings, want a *TooLongError for the body", err, n)
	}
}
