package front

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"

	"tarragonvalve.example/router/admit"
)

// shedder refuses requests by overload before net/http reads them, as reading one costs more than refusing it.
type shedder struct {
	gate *Gate
	// refused is called for each refusal with how long its request had waited.
	refused func(waited time.Duration)
}

// shedResponse is the response of a request that was refused unread.
var shedResponse = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: " + retryAfter(errOverloaded) +
	"\r\nContent-Length: " + strconv.Itoa(len(overloadBody)) + "\r\n\r\n" + string(overloadBody))

// sheds refuses the request that begins with b, which was read at now and had waited, and reports whether it did. Only
// a request that is whole, has no further one behind it and keeps its connection is refused here.
func (s *shedder) sheds(c net.Conn, b []byte, now time.Time, waited time.Duration) (bool, error) {
	if s.gate.Stopping() || !s.gate.overload.refuses(now, waited) || !simple(b) {
		return false, nil
	}
	if s.refused != nil {
		s.refused(waited)
	}
	err := c.SetWriteDeadline(now.Add(writeMargin))
	if err == nil {
		_, err = c.Write(shedResponse)
	}
	return true, errors.Join(err, c.SetWriteDeadline(time.Time{}))
}

// refuses reports whether a request that is not preferred and whose first bytes have waited is to be refused unread,
// and counts it. One of closeEach is left to the handler, which also ends its connection.
func (o *overload) refuses(now time.Time, waited time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	standing := o.queue.Standing(now)
	if admit.Takes(standing, o.flow.Full(now, o.open), waited, false) || (o.refused+1)%closeEach == 0 {
		return false
	}
	o.queue.Add(now, waited)
	o.refused++
	o.unlogged++
	return true
}

// simple reports whether b is exactly one HTTP/1.1 request that needs no closer look: none that ends its connection,
// whose answer has no body, that expects a response before its body, continues a stream, or whose length is in doubt.
func simple(b []byte) bool {
	head, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return false
	}
	line, fields, _ := bytes.Cut(head, []byte("\r\n"))
	if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) || bytes.HasPrefix(line, []byte("HEAD ")) || bytes.HasPrefix(line, []byte("CONNECT ")) {
		return false
	}
	length, lengths := uint64(0), 0
	for len(fields) > 0 {
		var f []byte
		f, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, _ := bytes.Cut(f, []byte(":"))
		switch {
		case isName(name, "Content-Length"):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if err != nil {
				return false
			}
			length = n
			lengths++
		case isName(name, "Transfer-Encoding"), isName(name, "Connection"), isName(name, "Expect"), isName(name, "Upgrade"), isName(name, "Last-Event-Id"):
			return false
		}
	}
	return lengths <= 1 && length == uint64(len(body))
}

// isName reports whether a header's name is s.
func isName(name []byte, s string) bool {
	return len(name) == len(s) && bytes.EqualFold(name, []byte(s))
}
