package inlet_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"tarragonvalve.example/core/inlet"
)

// Guards against an answer that is read otherwise than net/http reads it, where both take it.
func FuzzReadResponse(f *testing.F) {
	for _, text := range malformed {
		f.Add(text)
	}
	for _, text := range sound {
		f.Add(text)
	}
	q := &http.Request{Method: http.MethodGet}
	f.Fuzz(func(t *testing.T, text string) {
		a, err := inlet.ReadResponse(bufio.NewReader(strings.NewReader(text)), q, peer)
		if err != nil {
			return
		}
		b, err := io.ReadAll(a.Body)
		if err != nil {
			return
		}
		w, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), q)
		if err != nil {
			t.Fatalf("net/http refuses %q: %v", text, err)
		}
		defer w.Body.Close()
		want, err := io.ReadAll(w.Body)
		if err != nil || string(b) != string(want) || a.StatusCode != w.StatusCode {
			t.Errorf("got %d %q, net/http %d %q, %v", a.StatusCode, b, w.StatusCode, want, err)
		}
		if a.StatusCode < 100 || a.StatusCode > 599 {
			t.Errorf("got the status %d", a.StatusCode)
		}
	})
}
