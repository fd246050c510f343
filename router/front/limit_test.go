package front

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
)

// Guards against clients that use up the router's file descriptors by open connections, and
// against a limit that counts closed connections, or counts their close twice.
func TestConnectionLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var refused atomic.Int64
	b := &limitedListener{Listener: l, limit: 2, refused: func() { refused.Add(1) }}
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
		t.Errorf("read from a connection beyond the limit: %v, want its end", err)
	}
	if n := refused.Load(); n != 1 {
		t.Errorf("%d connections refused, want 1", n)
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
		t.Errorf("%d connections counted as open, want 0", n)
	}
}
