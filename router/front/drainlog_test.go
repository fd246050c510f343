package front

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a shutdown whose log does not say what was left at its end, and when that was.
func TestDrainLog(t *testing.T) {
	t.Parallel()
	const grace = 4 * time.Second
	blocked := make(chan struct{})
	t.Cleanup(func() { close(blocked) })
	tests := map[string]struct {
		handler http.HandlerFunc
		message string
		// left is the number of connections and of requests at the end.
		left float64
		// from is the least time since the start of the shutdown, in ms.
		from float64
	}{
		"all ended":    {func(http.ResponseWriter, *http.Request) {}, "stopping: all requests ended", 0, 2500},
		"one is at it": {func(http.ResponseWriter, *http.Request) { <-blocked }, "stopping: grace period over with requests open", 1, 3400},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := make(chan struct{}, 1)
			s := serveClients(t, grace, func(w http.ResponseWriter, q *http.Request) {
				began <- struct{}{}
				c.handler(w, q)
			})
			s.dial(order)
			<-began
			s.stop()
			for _, m := range []string{c.message, "stopping: connections are closed"} {
				l := s.await("message", m)
				d, _ := l["since-stop"].(float64)
				if l["connections"] != c.left || d < c.from {
					t.Errorf("line %v", l)
				}
			}
		})
	}
}
