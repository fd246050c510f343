package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/standin/pause"
)

// Guards against the set-up of a connection that counts as failed because this process was stopped meanwhile.
func TestDialWhileStopped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, d := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			p := New(nil)
			p.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				return pause.Self(d)
			}
			c, err := p.acquire(context.Background(), &Request{Address: l.Addr().String(), ID: call.ID("a")})
			if err != nil {
				t.Fatal(err)
			}
			p.discard(c)
		})
	}
}

// Guards against requests that wait for an upstream that accepts no connection for longer than dialTimeout, and against
// one whose failure isn't reported as its own.
func TestDialOfSilentUpstream(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	s, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", s.(*syscall.SockaddrInet4).Port)
	p := New(nil)
	const most = 8 // connections that the kernel keeps for a listener that accepts none
	for range most {
		c, err := p.acquire(context.Background(), &Request{Address: address})
		if err == nil {
			defer p.discard(c)
			continue
		}
		var d *DialError
		var e *clock.TimeoutError
		if !errors.As(err, &d) || !errors.As(err, &e) || e.After != dialTimeout {
			t.Errorf("got %v", err)
		}
		return
	}
	t.Error("the kernel accepted all connections")
}
