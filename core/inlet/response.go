package inlet

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"strings"
)

// usualHeadBytes is the room, in bytes, for a head that is allocated at once. Heads of the users' servers
// take under 1 KiB.
const usualHeadBytes = 1 << 10

// maxTrailerBytes bounds the trailer of a body in chunks, in bytes, as net/http does.
const maxTrailerBytes = 4 << 10

// ReadResponse reads the head of the next answer to q, which may be an interim one. Unlike
// http.ReadResponse it returns a *MalformedError for a head that RFC 9110 or 9112 doesn't allow, and so
// does the body. The caller bounds the head by the source of r; a nil q stands for a GET.
//
// The body checks and drops the trailer. Closing it does nothing, so the connection can be reused only
// after io.EOF. An answer without a length ends with its connection, so r must read from a Conn.
func ReadResponse(r *bufio.Reader, q *http.Request, peer string) (*http.Response, error) {
	if q == nil {
		q = &http.Request{Method: http.MethodGet}
	}
	head, f, err := readHead(r, peer)
	if err != nil {
		return nil, err
	}
	a, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), q)
	if err != nil {
		return nil, &MalformedError{Part: Head, Reason: err.Error(), Peer: peer}
	}
	if reason := checkFraming(a, f); reason != "" {
		return nil, &MalformedError{Part: Head, Reason: reason, Peer: peer}
	}
	a.Body = newBody(r, q, a, peer)
	return a, nil
}

// readHead reads a head with the blank line behind it. A line ends with LF, with or without CR before it
// (RFC 9112, section 2.2).
func readHead(r *bufio.Reader, peer string) ([]byte, fieldCheck, error) {
	head := make([]byte, 0, usualHeadBytes)
	var f fieldCheck
	for n := 0; ; n++ {
		raw, err := readLine(r, math.MaxInt)
		if err != nil {
			return nil, f, err
		}
		head = append(head, raw...)
		line := trimLine(raw)
		var reason string
		switch {
		case n == 0:
			reason = checkStatusLine(line)
		case len(line) == 0:
			return head, f, nil
		default:
			reason = f.line(line)
		}
		if reason != "" {
			return nil, f, &MalformedError{Part: Head, Reason: reason, Peer: peer}
		}
	}
}

// errLongLine reports a line that exceeds the bound of readLine.
var errLongLine = errors.New("line too long")

// readLine reads a line with its line break, which is valid until the next read. It returns errLongLine
// for one of more than limit bytes and io.ErrUnexpectedEOF for one without an end.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var long []byte
	for {
		b, err := r.ReadSlice('\n')
		if len(long)+len(b) > limit {
			return nil, errLongLine
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, b...)
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case long != nil:
			return append(long, b...), nil
		default:
			return b, nil
		}
	}
}

// trimLine returns a line without its line break.
func trimLine(b []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r"))
}

// checkFraming returns why readers may differ on where the answer ends (RFC 9112, sections 6.1 and 6.3),
// or "".
func checkFraming(a *http.Response, f fieldCheck) string {
	switch {
	case f.coding && !a.ProtoAtLeast(1, 1):
		return "a transfer coding in an answer of " + a.Proto
	case f.coding && f.length:
		return "both a length and a transfer coding"
	case a.StatusCode >= http.StatusOK && a.StatusCode != http.StatusNoContent:
		return ""
	case f.coding || strings.Trim(a.Header.Get("Content-Length"), "0") != "":
		return fmt.Sprintf("a body in an answer with the status %d", a.StatusCode)
	default:
		return ""
	}
}

// newBody returns the body of an answer whose head was read from r.
func newBody(r *bufio.Reader, q *http.Request, a *http.Response, peer string) io.ReadCloser {
	switch {
	case q.Method == http.MethodHead, a.StatusCode < http.StatusOK, a.StatusCode == http.StatusNoContent, a.StatusCode == http.StatusNotModified:
		return http.NoBody
	case len(a.TransferEncoding) > 0:
		return io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r), source: r, peer: peer})
	case a.ContentLength == 0:
		return http.NoBody
	case a.ContentLength > 0:
		return io.NopCloser(&sizedBody{source: r, remaining: a.ContentLength})
	default:
		return io.NopCloser(r)
	}
}

// sizedBody is a body of a known length.
type sizedBody struct {
	source *bufio.Reader
	// remaining is in bytes.
	remaining int64
}

// Read implements io.Reader. It returns io.EOF with the last byte.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// chunkedBody is a body in chunks, without its trailer.
type chunkedBody struct {
	chunks io.Reader
	source *bufio.Reader
	peer   string
	// err is set after the end or a failure.
	err error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer up to the blank line and returns io.EOF, or an error if it is malformed
// or cut.
func (b *chunkedBody) readTrailer() error {
	var f fieldCheck
	for remaining := maxTrailerBytes; ; {
		raw, err := readLine(b.source, remaining)
		if errors.Is(err, errLongLine) {
			return &TooLongError{Part: Body, Limit: maxTrailerBytes, Peer: b.peer}
		}
		if err != nil {
			return err
		}
		remaining -= len(raw)
		line, ok := bytes.CutSuffix(raw, []byte("\r\n"))
		if !ok {
			return &MalformedError{Part: Body, Reason: "trailer: a line ends without CR", Peer: b.peer}
		}
		if len(line) == 0 {
			return io.EOF
		}
		if reason := f.line(line); reason != "" {
			return &MalformedError{Part: Body, Reason: "trailer: " + reason, Peer: b.peer}
		}
	}
}
