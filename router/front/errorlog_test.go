package front

import (
	"net/http"
	"testing"
	"time"
)

// Guards against messages of net/http that are discarded.
func TestErrorLog(t *testing.T) {
	t.Parallel()
	s := serveClients(t, time.Second, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.WriteHeader(http.StatusOK)
	})
	answer(s.dial(order))
	s.await("message", "clients' HTTP server reported an error")
}
