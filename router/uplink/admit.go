package uplink

import (
	"fmt"
	"sync"
	"time"
)

const (
	// headSize is the size of the headers of a message in bytes, roughly.
	headSize = 600
	// eventSize is what a stream needs of the link at a time, in bytes.
	eventSize = 1460
	// sizeWeight is the weight of the latest answer in the usual size of a route's answers.
	sizeWeight = 0.125
	// maxRoutes bounds the routes whose usual size is kept; beyond it, all are forgotten.
	maxRoutes = 4096
	// timeShare is the part of the time that a request has left which the link may take. The upstream needs a part, and
	// refusals wait behind what is admitted.
	timeShare = 1.0 / 3
)

// Need is what a request needs of the link.
type Need struct {
	// Route identifies requests with answers of similar size.
	Route string
	// Body is the length of the request's body in bytes, negative if unknown.
	Body int64
	// Stream is true if the answer is passed on as it is generated.
	Stream bool
	// Left is the time until the deadline.
	Left time.Duration
}

// FullError reports that the link can't carry a request and its answer in time.
type FullError struct {
	// Wait is the time that the link would take, Left that until the request's deadline.
	Wait, Left time.Duration
}

func (e *FullError) Error() string {
	return fmt.Sprintf("the link is full: it would take %d ms of the %d ms that are left", e.Wait.Milliseconds(), e.Left.Milliseconds())
}

// load is what admitted requests are yet to send.
type load struct {
	requests int64
	bytes    int64
}

// wait returns how long the link takes for a request of n bytes and an answer of size bytes beside what it has to carry
// already. Admitted requests whose answers are yet to come are ahead of it as well.
func (s State) wait(n, size int64, l load) time.Duration {
	if !s.Full() {
		return 0
	}
	return s.duration(s.ahead(n) + s.ahead(size) + min(l.bytes, l.requests*size) + n + size)
}

// book holds what admitted requests are yet to send and the usual sizes of answers. It is safe for concurrent use.
type book struct {
	mu    sync.Mutex
	load  load
	usual map[string]float64
}

// ticket is an admitted request. It is used by one connection.
type ticket struct {
	Need
	// rest is the part of the usual size of the answer that is yet to be written, written what has been.
	rest, written int64
}

// admit admits a request, or returns a *FullError.
func (b *book) admit(s State, q Need) (*ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := int64(b.usual[q.Route])
	if size == 0 || q.Stream {
		size = eventSize
	}
	if w := s.wait(headSize+max(q.Body, 0), size, b.load); w > time.Duration(timeShare*float64(q.Left)) {
		return nil, &FullError{Wait: w, Left: q.Left}
	}
	b.load.requests++
	b.load.bytes += size
	return &ticket{Need: q, rest: size}, nil
}

// wrote records that n bytes of the answer were written.
func (b *book) wrote(t *ticket, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.written += n
	d := min(n, t.rest)
	t.rest -= d
	b.load.bytes -= d
}

// end records the end of an answer. Its size counts if it is a usual one.
func (b *book) end(t *ticket, usual bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.requests--
	b.load.bytes -= t.rest
	if !usual || t.written == 0 {
		return
	}
	if b.usual == nil || len(b.usual) >= maxRoutes {
		b.usual = map[string]float64{}
	}
	u, ok := b.usual[t.Route]
	if !ok {
		u = float64(t.written)
	}
	b.usual[t.Route] = u + sizeWeight*(float64(t.written)-u)
}
