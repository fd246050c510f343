package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
)

// dialLimit is the dial timeout of the tests.
const dialLimit = 500 * time.Millisecond

var chat = Request{Request: "r1", Attempt: 1, Version: ident.VersionRef{Model: "ipek", Version: "2.1"}}

// calls are the calls that prove by a failed dial that the engine did not get them.
var calls = map[string]func(context.Context, *Client) error{
	"stream": func(ctx context.Context, c *Client) error {
		s, err := c.Start(ctx, chat)
		if err != nil {
			return err
		}
		s.Close()
		return nil
	},
	"order": func(ctx context.Context, c *Client) error {
		return c.Order(ctx, Order{Kind: "load"})
	},
	"report": func(ctx context.Context, c *Client) error {
		_, err := c.Load(ctx)
		return err
	},
}

// Guards against an attempt or order that is refused, and an engine that is reported unreachable, because this process was
// stopped while it connected to the engine.
func TestDialWhileStopped(t *testing.T) {
	for name, do := range calls {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, "{}")
			}))
			defer s.Close()
			o := Default(s.URL)
			o.DialTimeout = dialLimit
			c := New(o)
			defer c.Close()
			var stops atomic.Int32
			c.dialer.Control = func(string, string, syscall.RawConn) error {
				// Twice, as a process that is short of processor time is late again and again.
				if stops.Add(1) > 2 {
					return nil
				}
				return exec.Command("sh", "-c", "kill -STOP $PPID; sleep 1; kill -CONT $PPID").Run()
			}
			if err := do(t.Context(), c); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against an engine that doesn't accept connections and is waited for, and against a failure to connect that doesn't
// count as proof that nothing was sent.
func TestDialOfSilentEngine(t *testing.T) {
	for name, do := range calls {
		t.Run(name, func(t *testing.T) {
			o := Default("http://" + silentAddress(t))
			o.DialTimeout = dialLimit
			c := New(o)
			defer c.Close()
			start := time.Now()
			err := do(t.Context(), c)
			if d := time.Since(start); d > 2*dialLimit {
				t.Errorf("given up after %s", d)
			}
			var e *clock.TimeoutError
			if !ProvenNotRun(err) || !errors.As(err, &e) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// silentAddress returns an address where the kernel answers no handshake: the queue of its listener is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	f, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(f) })
	if err := syscall.Bind(f, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(f, 0); err != nil {
		t.Fatal(err)
	}
	a, err := syscall.Getsockname(f)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: a.(*syscall.SockaddrInet4).Port}).String()
	for range 8 {
		n, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { n.Close() })
	}
	t.Fatal("the listener's queue takes more connections than it should")
	return ""
}
