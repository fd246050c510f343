package inlet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// chunkBytes is the size, in bytes, of the chunks in which a body without a known length is passed on.
const chunkBytes = 4 << 10

// startedHead is passed on before the error of a head. The transport may repeat a request whose answer
// fails before its first byte, but an answer to this one had begun.
const startedHead = "HTTP/1.1 502 Bad Gateway\r\n"

// answerConn is a connection of an http.Transport. It reads answers by Reader, which validates them, and
// serializes them for the transport: the head, without interim answers before it, and the body, in
// chunks if the peer's is, without a trailer. After an invalid answer all reads fail.
type answerConn struct {
	net.Conn

	reader *Reader
	// pending are bytes to be passed on.
	pending []byte
	// body is that of the answer in progress; nil between answers.
	body io.Reader
	// framing is how the body is passed on.
	framing framing
	// err is returned once pending is empty.
	err error

	mu sync.Mutex
	// waiting is true from the beginning of a request until the head of its answer.
	waiting bool
	// method and peer are those of the request in progress.
	method, peer string
}

// framing is how the end of a body is marked.
type framing int

const (
	byLength framing = iota
	byChunks
	byClose
)

func newAnswerConn(c net.Conn) *answerConn {
	return &answerConn{Conn: c, reader: NewReader(c, c.RemoteAddr().String())}
}

// begin states the method and the peer's URL of the request that is written next.
func (c *answerConn) begin(method, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.method, c.peer = true, method, peer
}

// errExtra reports bytes on a connection without a request in progress.
var errExtra = errors.New("bytes that belong to no answer")

// request returns the request in progress, or nil.
func (c *answerConn) request() *http.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return nil
	}
	c.waiting, c.reader.peer = false, c.peer
	return &http.Request{Method: c.method}
}

// Read implements net.Conn.
func (c *answerConn) Read(b []byte) (int, error) {
	for len(c.pending) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.body == nil:
			c.readHead()
		case c.framing == byChunks:
			c.readChunk()
		default:
			n, err := c.readBody(b)
			if n > 0 || err != nil {
				return n, err
			}
		}
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// readHead reads the head of the next answer into pending.
func (c *answerConn) readHead() {
	if _, err := c.reader.Peek(1); err != nil {
		c.err = err
		return
	}
	q := c.request()
	if q == nil {
		// The transport closes the connection, so that no request meets the bytes.
		c.err = errExtra
		return
	}
	a, err := c.reader.Response(q, Default()) //nolint:bodyclose // the body is the rest of the connection
	if err != nil {
		c.pending, c.err = []byte(startedHead), err
		return
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s\r\n", a.Proto, a.Status)
	if len(a.TransferEncoding) > 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if err := a.Header.Write(&b); err != nil {
		c.err = err
		return
	}
	b.WriteString("\r\n")
	c.pending = b.Bytes()
	switch {
	case a.Body == http.NoBody:
		return
	case len(a.TransferEncoding) > 0:
		c.framing = byChunks
	case a.ContentLength >= 0:
		c.framing = byLength
	default:
		c.framing = byClose
	}
	c.body = a.Body
}

// readChunk reads some bytes of the body into pending, as a chunk.
func (c *answerConn) readChunk() {
	var data [chunkBytes]byte
	n, err := c.body.Read(data[:])
	var b bytes.Buffer
	if n > 0 {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
	}
	switch {
	case errors.Is(err, io.EOF):
		b.WriteString("0\r\n\r\n")
		c.body = nil
	default:
		c.err = err
	}
	c.pending = b.Bytes()
}

// readBody reads some bytes of the body. It may return none and no error.
func (c *answerConn) readBody(b []byte) (int, error) {
	n, err := c.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && c.framing == byLength:
		c.body = nil
		return n, nil
	default:
		c.err = err
		return n, err
	}
}
