package plain_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/core/inlet"
)

// earlyService sends a text after some bytes of each request, and ends the connection by end. It returns its URL.
func earlyService(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 4<<10))
				io.WriteString(c, text)
				end(c.(*net.TCPConn))
				c.Close()
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// callKinds are the ways to make any call.
var callKinds = map[string]func(context.Context, *plain.Client, plain.Call) (*plain.Result, error){
	"once":       sendOnce,
	"repeatable": func(ctx context.Context, p *plain.Client, k plain.Call) (*plain.Result, error) { return p.Do(ctx, k) },
}

// Guards against a part of an answer that counts as the whole one, as its connection was reset while the
// call was still being written.
func TestResetDuringUpload(t *testing.T) {
	url := earlyService(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
		time.Sleep(10 * time.Millisecond)
		c.SetLinger(0)
	})
	for kind, do := range callKinds {
		t.Run(kind, func(t *testing.T) {
			p := plain.New(plain.Default(url))
			defer p.Close()
			for range 50 {
				r, err := do(t.Context(), p, plain.Call{Method: "POST", Path: "/upload", Body: bytes.Repeat([]byte("x"), 4<<20)})
				var u *plain.UnknownError
				if !errors.As(err, &u) {
					t.Fatalf("got %+v, %v, want an unknown outcome", r, err)
				}
			}
		})
	}
}

// Guards against a sound answer without a length that counts as cut, as it ends before the call has been
// written.
func TestEarlyAnswer(t *testing.T) {
	url := earlyService(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) {
		c.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		io.Copy(io.Discard, c)
	})
	for kind, do := range callKinds {
		t.Run(kind, func(t *testing.T) {
			p := plain.New(plain.Default(url))
			defer p.Close()
			for range 50 {
				r, err := do(t.Context(), p, plain.Call{Method: "POST", Path: "/upload", Body: bytes.Repeat([]byte("x"), 4<<20)})
				if err != nil || string(r.Body) != "whole" {
					t.Fatalf("got %+v, %v", r, err)
				}
			}
		})
	}
}

// Guards against a malformed answer that counts as an answer, or whose call is repeated or counts as not
// run. The call that may be repeated is sent on a connection that carried a sound answer.
func TestMalformedAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"blank in a name":        ok + "X Y: z\r\nContent-Length: 4\r\n\r\nfine",
		"blank before the colon": ok + "Content-Length : 2\r\n\r\nfine",
		"control byte in a name": ok + "X\x01: z\r\nContent-Length: 4\r\n\r\nfine",
		"blank in a 103":         "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nfine",
		"blank in a trailer":     ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX Y: z\r\n\r\n",
		"coding and length":      ok + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfine",
	} {
		for kind, do := range callKinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				var calls atomic.Int64
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/sound" {
						io.WriteString(w, "fine")
						return
					}
					calls.Add(1)
					n, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					io.WriteString(n, text)
					n.Close()
				}))
				defer s.Close()
				p := plain.New(plain.Default(s.URL))
				defer p.Close()
				if r, err := do(t.Context(), p, plain.Call{Method: "GET", Path: "/sound"}); err != nil || string(r.Body) != "fine" {
					t.Fatalf("sound answer: %+v, %v", r, err)
				}
				r, err := do(t.Context(), p, call)
				var m *inlet.MalformedError
				if errorKind(err) != "unknown" || !errors.As(err, &m) || m.Peer != s.URL {
					t.Errorf("got %+v, %v, want an unknown outcome by a *MalformedError", r, err)
				}
				if n := calls.Load(); n != 1 {
					t.Errorf("the service got the call %d times", n)
				}
			})
		}
	}
}
