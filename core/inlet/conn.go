package inlet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a client's connection that ends with io.EOF only if the peer has ended it.
//
// The kernel reports a lost connection once. If a write gets the report, reads see the same end as
// after a proper one, and a part of an answer without a length looks whole. Conn has the read return
// the write's error instead.
type Conn struct {
	net.Conn

	// secured is true below TLS.
	secured bool

	// ended is true once a read has found the end.
	ended atomic.Bool

	// mu is held during writes.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NewConn returns c with truthful ends.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// NewSecuredConn returns c, to be used by TLS, with truthful ends. Anyone on the path can end the
// connection, so above TLS it ends with io.EOF only after the peer's closure alert (RFC 9112, section
// 9.8).
func NewSecuredConn(c net.Conn) *Conn {
	return &Conn{Conn: c, secured: true}
}

// errNoAlert reports the end of a connection without a closure alert. Package tls would turn a plain
// io.ErrUnexpectedEOF into io.EOF.
var errNoAlert = fmt.Errorf("the connection ended without a closure alert: %w", io.ErrUnexpectedEOF)

// errEnded is the error of writes after the end.
var errEnded = errors.New("the peer has ended the connection")

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEnded
	}
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. After io.EOF no more can be written: the peer has sent all that it will
// send, so it answers nothing.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.lost(); lost != nil {
			return n, lost
		}
		if c.secured {
			return n, errNoAlert
		}
	}
	return n, err
}

// lost returns the error of a write that was told of the connection's loss, or nil. It ends a write in
// progress, which may have the report already.
func (c *Conn) lost() error {
	c.ended.Store(true)
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// EPIPE is the loss of a connection whose peer had ended its sending side before.
	if errors.Is(c.writeErr, errEnded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// DialFunc sets up a connection, as the method DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
