package plain_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/core/inlet"
)

const (
	// maxSent ends an endless answer of a test, in bytes.
	maxSent = 64 << 20
	// maxAccepted bounds what a service may send before the call ends, in bytes. Besides what
	// the client reads, the sockets' buffers hold some MB.
	maxAccepted = maxSent / 2
	// maxHeadMemory bounds what is allocated for a head, in bytes: 64 times its bound.
	maxHeadMemory = 64 * inlet.MaxHeadBytes
)

// endlessService answers with start and then repeats text, up to maxSent bytes for each
// connection. It returns its URL and the bytes that it sent.
func endlessService(t *testing.T, start, text string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var sent atomic.Int64
	chunk := bytes.Repeat([]byte(text), max(1, (64<<10)/len(text)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4<<10))
				if _, err := io.WriteString(c, start); err != nil {
					return
				}
				for n := 0; n < maxSent; {
					m, err := c.Write(chunk)
					n += m
					sent.Add(int64(m))
					if err != nil {
						return
					}
				}
				// The answer stays unfinished until the client closes.
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return "http://" + l.Addr().String(), &sent
}

// sendKinds are the ways to make a call.
var sendKinds = map[string]func(context.Context, *plain.Client) (*plain.Result, error){
	"once":       func(ctx context.Context, p *plain.Client) (*plain.Result, error) { return sendOnce(ctx, p, call) },
	"repeatable": func(ctx context.Context, p *plain.Client) (*plain.Result, error) { return p.Do(ctx, call) },
}

// Reported by operators of similar systems: a faulty service sends a head without end.
// Guards against a call that keeps all of it in memory until the caller's time is over.
func TestEndlessHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		start, text string
		part        inlet.Part
	}{
		"header line":     {ok + "X-Long: ", "x", inlet.Head},
		"header lines":    {ok, "X-Many: y\r\n", inlet.Head},
		"status line":     {"HTTP/1.1 200 ", "x", inlet.Head},
		"interim head":    {"HTTP/1.1 103 Early Hints\r\n", "X-Many: y\r\n", inlet.Head},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", inlet.Interim},
	} {
		for kind, do := range sendKinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				url, sent := endlessService(t, c.start, c.text)
				o := plain.Default(url)
				o.IdleTimeout = 5 * time.Second
				p := plain.New(o)
				defer p.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				r, err := do(ctx, p)
				runtime.ReadMemStats(&after)
				var l *inlet.TooLongError
				if errorKind(err) != "unknown" || !errors.As(err, &l) || l.Part != c.part || !strings.HasPrefix(l.Peer, "http://127.0.0.1:") {
					t.Errorf("got %+v, %v, want an unknown outcome by a *TooLongError for the %s", r, err, c.part)
				}
				if n := after.TotalAlloc - before.TotalAlloc; n > maxHeadMemory {
					t.Errorf("the call allocated %d bytes, want at most %d", n, maxHeadMemory)
				}
				if n := sent.Load(); n > maxAccepted {
					t.Errorf("the service could send %d bytes, want at most %d", n, maxAccepted)
				}
			})
		}
	}
}

// Guards against a body without end that is kept beyond the limit, or read on until the
// idle timeout once the call has failed, and whose call counts as not run.
func TestEndlessBody(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, text string }{
		"to the end of the connection": {ok + "\r\n", "x"},
		"in chunks":                    {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"with a length":                {ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
	} {
		for kind, do := range sendKinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				url, sent := endlessService(t, c.start, c.text)
				p := plain.New(plain.Default(url))
				defer p.Close()
				r, err := do(t.Context(), p)
				var l *inlet.TooLongError
				if errorKind(err) != "too-large" || !errors.As(err, &l) || l.Part != inlet.Body {
					t.Errorf("got %+v, %v, want a *TooLargeError by a *TooLongError for the body", r, err)
				}
				if n := sent.Load(); n > maxAccepted {
					t.Errorf("the service could send %d bytes, want at most %d", n, maxAccepted)
				}
			})
		}
	}
}
