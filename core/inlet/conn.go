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

// Conn is a client's connection. Its Read returns io.EOF only if the peer closed its sending side, and
// an error if the connection was reset or timed out.
//
// The kernel reports the loss of a connection once. If a concurrent write gets that error, reads return
// io.EOF as after a proper close, and a truncated answer without a length looks complete. Conn returns
// the write's error from the read instead.
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

// NewConn returns a Conn on c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// NewSecuredConn returns a Conn on c for a TLS connection above it. Anyone on the path can close the
// TCP connection, so reads of the TLS connection return io.EOF only after the peer's closure alert (RFC
// 9112, section 9.8).
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

// Read implements net.Conn. After io.EOF writes fail: the peer sends no further answer.
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

// lost returns the error of a write that reports the loss of the connection, or nil. It interrupts a
// write in progress, which may have got that error already.
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
