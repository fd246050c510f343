package inlet

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a part of an answer that RFC 9110 or RFC 9112 doesn't allow, so that readers may
// differ on what the peer answered.
type MalformedError struct {
	Part Part
	// Reason says what is malformed.
	Reason string
	// Peer is the address or URL of the peer.
	Peer string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("the %s of the answer of %s is malformed: %s", e.Part, e.Peer, e.Reason)
}

// maxQuoted bounds the bytes of an answer that an error quotes.
const maxQuoted = 40

// quote returns the beginning of b as a Go string literal.
func quote(b []byte) string {
	if len(b) > maxQuoted {
		return fmt.Sprintf("%q...", b[:maxQuoted])
	}
	return fmt.Sprintf("%q", b)
}

const (
	// leastStatus and mostStatus are the bounds of status codes (RFC 9110, section 15).
	leastStatus = "100"
	mostStatus  = "599"
	// switching is the status of an answer to a request for another protocol, which no client here makes.
	switching = "101"
)

// checkStatusLine returns what is malformed in a status line without its line break, or "". The space
// before an empty reason may be missing.
func checkStatusLine(line []byte) string {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := strings.Cut(string(rest), " ")
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return "status line " + quote(line)
	}
	if len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || !httpguts.ValidHeaderFieldValue(reason) {
		return "status line " + quote(line)
	}
	if status < leastStatus || status > mostStatus {
		return "status " + status + " is outside " + leastStatus + " to " + mostStatus
	}
	if status == switching {
		return "status " + status + " switches to a protocol that was not asked for"
	}
	return ""
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// fieldCheck checks the field lines of a head or a trailer in their order.
type fieldCheck struct {
	// started is true after the first line.
	started bool
	// coding and length are true once there was a Transfer-Encoding or Content-Length field.
	coding, length bool
}

// line returns what is malformed in the next field line without its line break, or "". Values that go on
// in the next line are allowed: RFC 9112, section 5.2, lets a gateway replace the line break by a space.
func (f *fieldCheck) line(line []byte) string {
	if f.started && (line[0] == ' ' || line[0] == '\t') {
		if !httpguts.ValidHeaderFieldValue(string(line)) {
			return "field value " + quote(line)
		}
		return ""
	}
	f.started = true
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return "field line " + quote(line) + " has no colon"
	case !httpguts.ValidHeaderFieldName(string(name)):
		return "field name " + quote(name)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return "value of the field " + string(name)
	}
	f.coding = f.coding || strings.EqualFold(string(name), "Transfer-Encoding")
	f.length = f.length || strings.EqualFold(string(name), "Content-Length")
	return ""
}
