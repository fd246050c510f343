package plain_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"tarragonvalve.example/agent/plain"
)

// resetService sends a part of an answer without a length after some bytes of each request, and resets
// the connection. It returns its URL.
func resetService(t *testing.T) string {
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
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(10 * time.Millisecond)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a part of an answer that counts as the whole one, as its connection was reset while the
// call was still being written.
func TestResetDuringUpload(t *testing.T) {
	url := resetService(t)
	for kind, do := range map[string]func(context.Context, *plain.Client, plain.Call) (*plain.Result, error){
		"once": func(ctx context.Context, p *plain.Client, k plain.Call) (*plain.Result, error) {
			n, err := p.Connect(ctx)
			if err != nil {
				return nil, err
			}
			defer n.Close()
			return n.Do(ctx, k)
		},
		"repeatable": func(ctx context.Context, p *plain.Client, k plain.Call) (*plain.Result, error) { return p.Do(ctx, k) },
	} {
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
