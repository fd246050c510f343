package health_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/health"
	"tarragonvalve.example/core/panics"
)

// Guards against a stop that cuts an answer, and against a panic of a handler that no log line and no
// counter shows.
func TestServer(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var l bytes.Buffer
	asked, answer := make(chan struct{}), make(chan bool)
	p := panics.New(zerolog.New(&l))
	s := health.New(health.Options{
		Listener: n, Registry: prometheus.NewRegistry(), Panics: p, Log: zerolog.Nop(),
		Ready: func() []string {
			asked <- struct{}{}
			if <-answer {
				panic("broken")
			}
			return nil
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	status := make(chan int, 1)
	ask := func() {
		r, err := http.Get("http://" + n.Addr().String() + "/readyz")
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		r.Body.Close()
		status <- r.StatusCode
	}
	go ask()
	<-asked
	answer <- true
	if c := <-status; c != http.StatusInternalServerError || p.Count() != 1 || !strings.Contains(l.String(), `"path":"/readyz"`) {
		t.Errorf("status %d, %d panics, log %s", c, p.Count(), &l)
	}
	go ask()
	<-asked
	stop()
	select {
	case err := <-done:
		t.Errorf("the server stopped before the answer: %v", err)
	default:
	}
	answer <- false
	if c := <-status; c != http.StatusOK {
		t.Errorf("status %d", c)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
