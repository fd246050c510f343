package front

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tarragonvalve.example/router/admit"
	"tarragonvalve.example/router/sock"
)

// maxAcceptedHead is the most bytes, headers of a request, that are looked at before a connection is served. Longer ones
// are not refused there.
const maxAcceptedHead = 4 << 10

// acceptedHeads are buffers for the bytes that are looked at.
var acceptedHeads = sync.Pool{New: func() any { return new([maxAcceptedHead]byte) }}

// overloadAnswer is the answer to a request that is refused with its connection.
var overloadAnswer = fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %s\r\nContent-Type: %s\r\nRetry-After: %s\r\n\r\n%s",
	http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), overloadHeader["Content-Length"][0],
	overloadHeader["Content-Type"][0], overloadHeader["Retry-After"][0], overloadBody)

// RefuseAccepted refuses the first request of a connection that has just been accepted, if a queue stands and the request has
// waited too long, and closes the connection. That takes a small part of what serving the connection does, and most requests
// past capacity come on new connections. Requests with a body or with more bytes after them are left to the server. It
// returns the bytes that it has read of a connection which it doesn't refuse, and whether it refused.
func (h *Handler) RefuseAccepted(c net.Conn) (head []byte, refused bool) {
	now := time.Now()
	o, ok := unwrap(c).(syscall.Conn)
	if !ok || h.gate.Stopping() || !h.gate.overload.standing(now) {
		return nil, false
	}
	waited, err := sock.SinceData(o)
	if err != nil || admit.Takes(true, waited, false) {
		return nil, false
	}
	buffer := acceptedHeads.Get().(*[maxAcceptedHead]byte)
	defer acceptedHeads.Put(buffer)
	n, err := sock.Read(o, buffer[:])
	if err != nil {
		return nil, false
	}
	b := buffer[:n]
	if n > 0 && !h.refusable(b, waited) {
		return bytes.Clone(b), false
	}
	defer c.Close()
	if n == 0 {
		return nil, true // the client has left
	}
	h.gate.overload.record(now, waited)
	logged, _ := h.gate.overload.refusal(now)
	// An error means that the client has left.
	c.Write([]byte(overloadAnswer)) //nolint:errcheck,gosec // see above
	h.recordOverload(waited, logged)
	return nil, true
}

// refusable reports whether b is a whole request without a body which is refused after a wait.
func (h *Handler) refusable(b []byte, waited time.Duration) bool {
	r := bufio.NewReader(bytes.NewReader(b))
	q, err := http.ReadRequest(r)
	if err != nil || q.Body != http.NoBody || r.Buffered() > 0 {
		return false
	}
	return !admit.Takes(true, waited, preferred(h.codec.ParseRequest(q.Header)))
}
