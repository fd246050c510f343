package front

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
)

// Guards against a router without descriptors, since clients hold all of them open, and
// against a bound that counts connections that are closed.
func TestLimitedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var refused atomic.Int64
	b := &limited{Listener: l, most: 2, refused: func() { refused.Add(1) }}
	accepted := make(chan net.Conn, 10)
	done := make(chan error, 1)
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				done <- err
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	dial()
	dial()
	first, second := <-accepted, <-accepted
	if _, err := dial().Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("beyond the bound: %v", err)
	}
	if n := refused.Load(); n != 1 {
		t.Errorf("%d connections turned away, want 1", n)
	}
	first.Close()
	first.Close()
	dial()
	third := <-accepted
	l.Close()
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	second.Close()
	third.Close()
	if n := b.open.Load(); n != 0 {
		t.Errorf("%d connections counted, none is open", n)
	}
}
