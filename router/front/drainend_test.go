package front

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against requests that get a closed connection instead of an answer, since the instance has too little
// processor time to answer all that are open at the end of a drain at once.
func TestSlowAnswersAtDrainEnd(t *testing.T) {
	t.Parallel()
	const (
		grace = 4 * time.Second
		// lag is how long an answer takes from the end of the drain.
		lag      = 300 * time.Millisecond
		requests = 20
	)
	s := serveClients(t, grace, func(w http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		time.Sleep(lag)
		w.WriteHeader(http.StatusBadGateway)
	})
	var conns []net.Conn
	for range requests {
		conns = append(conns, s.dial(order))
	}
	s.awaitConnections(requests)
	began := time.Now()
	s.stop()
	var clients sync.WaitGroup
	for _, c := range conns {
		clients.Go(func() {
			if status, body, err := answer(c); err != nil || status != http.StatusBadGateway {
				t.Errorf("got %d %q %v, want 502", status, body, err)
			}
		})
	}
	clients.Wait()
	if err := <-s.done; err != nil {
		t.Error(err)
	}
	s.done <- nil
	if d := time.Since(began); d > grace {
		t.Errorf("the server ended %s after the start of its stop, the grace period is %s", d, grace)
	}
}
