package inlet_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/core/inlet"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
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

// Guards against a reset that reads as the proper end of the connection, as a write got the kernel's only
// report of it, and against a proper end that reads as a loss.
func TestConnEnds(t *testing.T) {
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	for name, c := range map[string]struct {
		end func(*net.TCPConn)
		// whole is true if the peer ended its sending side first.
		whole bool
	}{
		"reset": {reset, false},
		"end":   {func(c *net.TCPConn) { c.CloseWrite() }, true},
		"end, then reset": {func(c *net.TCPConn) {
			c.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			reset(c)
		}, true},
	} {
		for kind, reads := range map[string]bool{"read during the write": true, "read after the write": false} {
			t.Run(name+", "+kind, func(t *testing.T) {
				for range 50 {
					n, server := pair(t)
					client := inlet.NewConn(n)
					written := make(chan error, 1)
					go func() {
						_, err := client.Write(make([]byte, 32<<20))
						written <- err
					}()
					if _, err := io.WriteString(server, "part"); err != nil {
						t.Fatal(err)
					}
					got := make([]byte, 4)
					if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, []byte("part")) {
						t.Fatalf("got %q, %v", got, err)
					}
					if !reads {
						c.end(server)
						// A write to a peer that only ended its sending side goes on until the read.
						select {
						case err := <-written:
							written <- err
						case <-time.After(20 * time.Millisecond):
						}
					} else {
						go c.end(server)
					}
					m, err := client.Read(got)
					if c.whole && !errors.Is(err, io.EOF) || !c.whole && !errors.Is(err, syscall.ECONNRESET) {
						t.Errorf("the read returned %d, %v", m, err)
					}
					client.Close()
					if err := <-written; c.whole && errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("a write after the end failed with %v, which counts as a time-out", err)
					}
				}
			})
		}
	}
}
