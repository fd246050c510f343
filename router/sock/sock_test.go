package sock_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/router/sock"
)

// Guards against input that is taken for none or read by the question, and against a closed or ended connection that
// counts as an open one.
func TestPeek(t *testing.T) {
	tests := map[string]struct {
		act func(client, server *net.TCPConn)
		n   int
		err error
	}{
		"no input":         {func(_, _ *net.TCPConn) {}, 0, syscall.EAGAIN},
		"input":            {func(c, _ *net.TCPConn) { c.Write([]byte("ab")) }, 1, nil},
		"end":              {func(c, _ *net.TCPConn) { c.CloseWrite() }, 0, nil},
		"input, then end":  {func(c, _ *net.TCPConn) { c.Write([]byte("a")); c.CloseWrite() }, 1, nil},
		"closed by itself": {func(_, s *net.TCPConn) { s.Close() }, 0, net.ErrClosed},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			c.act(client, server)
			var n int
			var err error
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if n, err = sock.Peek(server); n == c.n && errors.Is(err, c.err) {
					break
				}
			}
			if m, again := sock.Peek(server); n != c.n || m != n || !errors.Is(err, c.err) || !errors.Is(again, c.err) {
				t.Errorf("got %d, %v and then %d, %v, want %d, %v", n, err, m, again, c.n, c.err)
			}
		})
	}
}

// Guards against bytes that are taken for received although the peer has no room for them.
func TestUnacknowledged(t *testing.T) {
	client, server := connect(t)
	if n, err := sock.Unacknowledged(server); n != 0 || err != nil {
		t.Errorf("before a write: %d, %v", n, err)
	}
	if err := client.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	// The write ends when the kernel takes no more, as the peer doesn't read.
	server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	server.Write(make([]byte, 64<<20))
	if n, err := sock.Unacknowledged(server); n == 0 || err != nil {
		t.Errorf("with a full buffer: %d, %v", n, err)
	}
	server.Close()
	if _, err := sock.Unacknowledged(server); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.DialTCP("tcp", nil, l.Addr().(*net.TCPAddr)); err != nil {
		t.Fatal(err)
	}
	if server, err = l.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}
