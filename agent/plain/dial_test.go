package plain

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/core/clock"
)

// dialLimit is the dial timeout of the tests.
const dialLimit = 500 * time.Millisecond

// calls are the ways to make a call.
var calls = map[string]func(context.Context, *Client, Call) (*Result, error){
	"repeatable": func(ctx context.Context, c *Client, k Call) (*Result, error) { return c.Do(ctx, k) },
	"once": func(ctx context.Context, c *Client, k Call) (*Result, error) {
		n, err := c.Connect(ctx)
		if err != nil {
			return nil, err
		}
		defer n.Close()
		return n.Do(ctx, k)
	},
}

// Guards against a call that is refused because this process was stopped while it connected to the service.
func TestDialWhileStopped(t *testing.T) {
	for name, do := range calls {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, "whole")
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
			if r, err := do(t.Context(), c, Call{Method: "POST", Path: "/"}); err != nil || string(r.Body) != "whole" {
				t.Errorf("got %+v, %v", r, err)
			}
		})
	}
}

// Guards against a service that doesn't accept connections and is waited for, against a failure to connect that counts as a
// call of unknown outcome, and against one that outlasts the deadline of the call.
func TestDialOfSilentService(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration
		timedOut bool
	}{
		"dial timeout":      {time.Minute, true},
		"the call's end":    {dialLimit / 2, false},
		"both at that time": {dialLimit, false},
	} {
		for how, do := range calls {
			t.Run(name+", "+how, func(t *testing.T) {
				o := Default("http://" + silentAddress(t))
				o.DialTimeout = dialLimit
				client := New(o)
				defer client.Close()
				ctx, stop := context.WithTimeout(t.Context(), c.deadline)
				defer stop()
				start := time.Now()
				_, err := do(ctx, client, Call{Method: "POST", Path: "/"})
				if d := time.Since(start); d > 2*dialLimit {
					t.Errorf("given up after %s", d)
				}
				var n *NotRunError
				var e *clock.TimeoutError
				if how == "once" && !errors.As(err, &n) || c.timedOut && (!errors.As(err, &n) || !errors.As(err, &e)) {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}

// Guards against a service that counts as silent because this process was stopped during the handshake of TLS, and against
// one that is silent in it and is waited for.
func TestHandshakeWhileStopped(t *testing.T) {
	for name, silent := range map[string]bool{"stopped": false, "silent service": true} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			s := httptest.NewUnstartedServer(http.NotFoundHandler())
			s.Config.ErrorLog = log.New(io.Discard, "", 0)
			s.TLS = &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
				if silent {
					<-end
					return nil, nil
				}
				err := exec.Command("sh", "-c", "kill -STOP $PPID; sleep 1; kill -CONT $PPID").Run()
				time.Sleep(dialLimit / 25) // the answer has arrived, but isn't read yet
				return nil, err
			}}
			s.StartTLS()
			defer s.Close()
			defer close(end)
			o := Default(s.URL)
			o.DialTimeout = dialLimit
			c := New(o)
			defer c.Close()
			start := time.Now()
			_, err := c.Connect(t.Context())
			if d := time.Since(start); silent && d > 2*dialLimit {
				t.Errorf("given up after %s", d)
			}
			// The certificate of the test's server, which is the first thing in its answer, is unknown to the client.
			var n *NotRunError
			var u x509.UnknownAuthorityError
			var e *clock.TimeoutError
			if !errors.As(err, &n) || errors.As(err, &u) == silent || errors.As(err, &e) != silent {
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
