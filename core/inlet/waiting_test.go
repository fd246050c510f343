package inlet_test

import (
	"net"
	"net/http"
	"testing"

	"tarragonvalve.example/core/inlet"
)

// closable records that it was closed.
type closable struct {
	net.Conn
	closed bool
}

func (c *closable) Close() error {
	c.closed = true
	return nil
}

// Guards against connections with heads of any number that are kept, and against a connection with a request in progress, or
// one that came later, that is closed for them.
func TestWaiting(t *testing.T) {
	w := inlet.NewWaiting(2)
	cs := make([]*closable, 5)
	for i := range cs {
		cs[i] = &closable{}
		w.Track(cs[i], http.StateNew)
		if i == 0 {
			w.Track(cs[i], http.StateActive)
		}
	}
	for i, want := range []bool{false, true, true, false, false} {
		if cs[i].closed != want {
			t.Errorf("connection %d closed: %v", i, cs[i].closed)
		}
	}
	w.Track(cs[0], http.StateIdle)
	w.Track(cs[1], http.StateClosed)
	w.Track(cs[4], http.StateClosed)
	if !cs[3].closed || cs[0].closed {
		t.Error("an idle connection counts as one that waits longest, or not as one that waits")
	}
	if got := w.Closed(); got != 3 {
		t.Errorf("%d connections closed, want 3", got)
	}
}
