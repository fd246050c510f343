package front

import (
	"container/list"
	"math"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// lineCost is what a header line takes in a parsed head, in bytes, and byteCost what each byte of a head takes. A line
	// of 5 bytes took 90 at 300 heads of 60,000 bytes (heap profile); the rest is for the collector.
	lineCost = 200
	byteCost = 2
	// ordinaryHead is the cost up to which a head needs no memory of the share for heads: 16,384 bytes in 80 lines.
	ordinaryHead = 48 << 10
	// headShare is the fraction of the memory that all heads beyond ordinaryHead may take, once for those that are being
	// read and once for those of requests in progress.
	headShare = 0.125
	// waitingCost is what a connection takes that has sent nothing, in bytes, and waitingShare the fraction of the memory
	// for all of them.
	waitingCost  = 16 << 10
	waitingShare = 0.25
	// waitingFraction is the fraction of clients' connections that may be waiting for their first request.
	waitingFraction = 0.75
)

// waiting bounds the connections that have sent no whole head, and the memory of their heads. Beyond a bound, the one
// that waits longest gives way among those that have never sent a whole head. It is safe for concurrent use.
type waiting struct {
	// number bounds the connections that have never sent a whole head, bytes the heads being read beyond ordinaryHead,
	// and as much those of requests in progress.
	number int
	bytes  int64

	mu sync.Mutex
	// reading and served are the bytes of heads being read and of requests in progress.
	reading, served int64
	// unused holds the connections that have never sent a whole head, large those of them whose heads take a part of
	// reading; those that wait longest come first.
	unused, large list.List
}

// waiter is the state of a connection in waiting. Its fields are guarded by waiting.mu.
type waiter struct {
	// unused and large are its places in the lists; nil if it has none.
	unused, large *list.Element
	// reading and served are its parts of the sums.
	reading, served int64
}

// newWaiting returns bounds for a number of clients' connections and the memory of the process: its soft limit if it has
// one, or else half of the machine's memory.
func newWaiting(connections int64) *waiting {
	memory := debug.SetMemoryLimit(-1)
	var m unix.Sysinfo_t
	if memory == math.MaxInt64 && unix.Sysinfo(&m) == nil {
		memory = int64(m.Totalram * uint64(m.Unit) / 2) //nolint:gosec // half of a machine's memory fits
	}
	n := min(float64(connections)*waitingFraction, float64(memory)*waitingShare/waitingCost)
	return &waiting{number: max(int(n), 1), bytes: int64(float64(memory) * headShare)}
}

// add counts a new connection and returns one that has to give way to it, or nil.
func (w *waiting) add(c *clientConn) *clientConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.waiter.unused = w.unused.PushBack(c)
	if w.unused.Len() <= w.number {
		return nil
	}
	return w.removeFirst(&w.unused)
}

// removeFirst takes the connection that waits longest out of both lists and returns it. Its memory counts until it has
// ended. w.mu must be held.
func (w *waiting) removeFirst(l *list.List) *clientConn {
	c := l.Front().Value.(*clientConn)
	w.unlist(c)
	return c
}

// unlist takes a connection out of both lists. w.mu must be held.
func (w *waiting) unlist(c *clientConn) {
	if c.waiter.unused != nil {
		w.unused.Remove(c.waiter.unused)
	}
	if c.waiter.large != nil {
		w.large.Remove(c.waiter.large)
	}
	c.waiter.unused, c.waiter.large = nil, nil
}

// beyond returns the part of a cost that needs memory of the share for heads.
func beyond(cost int64) int64 { return max(cost-ordinaryHead, 0) }

// read reserves memory for a head that is being read and will have cost so far. If there is none, it returns false and a
// connection that has to give way, which may be c; nil if there is none, and c has to wait.
func (w *waiting) read(c *clientConn, cost int64) (bool, *clientConn) {
	// Most heads need no reservation, and so no lock.
	if beyond(cost) == 0 {
		return true, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	more := beyond(cost) - c.waiter.reading
	if more <= 0 {
		return true, nil
	}
	if w.reading+more <= w.bytes {
		w.reading += more
		c.waiter.reading += more
		if c.waiter.unused != nil && c.waiter.large == nil {
			c.waiter.large = w.large.PushBack(c)
		}
		return true, nil
	}
	if w.large.Len() == 0 {
		return false, nil
	}
	return false, w.removeFirst(&w.large)
}

// whole records that a connection has sent a whole head, or that its head was refused.
func (w *waiting) whole(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unlist(c)
}

// begin counts a head as that of a request in progress and reports whether there is memory for it.
func (w *waiting) begin(c *clientConn, cost int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unlist(c)
	w.reading -= c.waiter.reading
	c.waiter.reading = 0
	more := beyond(cost)
	if w.served+more > w.bytes {
		return false
	}
	w.served += more
	c.waiter.served += more
	return true
}

// end frees what a connection has reserved. It is no longer waiting for its first request.
func (w *waiting) end(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unlist(c)
	w.reading -= c.waiter.reading
	w.served -= c.waiter.served
	c.waiter.reading, c.waiter.served = 0, 0
}
