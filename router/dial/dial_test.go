package dial

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/pause"
)

// Guards against a connection that counts as failed though the kernel has it, in a process that reads that late, and
// against one that counts as set up before it is.
func TestIsEstablished(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var raw syscall.RawConn
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		raw = c
		if isEstablished(c) {
			t.Error("established before the handshake")
		}
		return nil
	}}
	c, err := Context(t.Context(), d, l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if !isEstablished(raw) {
		t.Error("not established after the handshake")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if isEstablished(raw) {
		t.Error("established after the end")
	}
}

// Guards against a request whose deadline passed while this process was stopped, and that counts as a failure of the
// upstream, as the failed dial is seen before the end of the request.
func TestDeadlineIsNoFailureOfPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := net.Dialer{Control: func(_, _ string, _ syscall.RawConn) error {
		return pause.Self(200 * time.Millisecond)
	}}
	for range 20 {
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		c, err := Context(ctx, d, l.Addr().String(), time.Second)
		if err != nil && ctx.Err() == nil {
			t.Errorf("failed before the end of the request: %v", err)
		}
		if err == nil {
			c.Close()
		}
		stop()
	}
}
