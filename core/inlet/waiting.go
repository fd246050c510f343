package inlet

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// MaxWaiting is the usual bound of Waiting for addresses that serve operators and health checks: a few connections at a
// time, each of which sends its request at once.
const MaxWaiting = 32

// Waiting bounds the connections of an http.Server that have sent no whole request yet, since each may hold a head of the
// largest length. Beyond the bound, the one that waits longest is closed. It is safe for concurrent use.
type Waiting struct {
	most int

	mu     sync.Mutex
	order  list.List
	places map[net.Conn]*list.Element
	closed uint64
}

// NewWaiting returns a bound of most connections. Its method Track must be the server's ConnState hook.
func NewWaiting(most int) *Waiting {
	return &Waiting{most: most, places: map[net.Conn]*list.Element{}}
}

// Track is a ConnState hook of an http.Server. A connection that is idle between two requests may have begun the next one,
// so it waits as well.
func (w *Waiting) Track(c net.Conn, s http.ConnState) {
	if over := w.track(c, s); over != nil {
		over.Close()
	}
}

// track records the state of a connection and returns one to be closed, or nil.
func (w *Waiting) track(c net.Conn, s http.ConnState) net.Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.places[c]; ok {
		w.order.Remove(e)
		delete(w.places, c)
	}
	if s != http.StateNew && s != http.StateIdle {
		return nil
	}
	w.places[c] = w.order.PushBack(c)
	if w.order.Len() <= w.most {
		return nil
	}
	over := w.order.Remove(w.order.Front()).(net.Conn)
	delete(w.places, over)
	w.closed++
	return over
}

// Closed returns the number of connections that were closed.
func (w *Waiting) Closed() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}
