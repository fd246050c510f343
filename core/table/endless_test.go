package table_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/table"
)

const (
	// maxSent ends an endless answer of a test, in bytes.
	maxSent = 256 << 20
	// maxAccepted bounds what the service may send before a call ends, in bytes: an answer of
	// 8 MiB and the sockets' buffers, which hold some MB.
	maxAccepted = 64 << 20
	// maxAllocated bounds what a call allocates, in bytes: 16 times the bound of an answer.
	maxAllocated = 128 << 20
)

// Reported by operators of similar systems: a faulty server sends bytes without end.
// Guards against an answer of the table that is kept in memory until the call's time is over,
// and against a write whose outcome counts as known although no whole answer came.
func TestEndlessAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\n"
	for name, c := range map[string]struct {
		start, text string
		part        inlet.Part
	}{
		"header line": {ok + "X-Long: ", "x", inlet.Head},
		"JSON string": {ok + "\r\n{\"Item\":{\"a\":{\"S\":\"", "x", inlet.Body},
		"white space": {ok + "\r\n", " ", inlet.Body},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var sent atomic.Int64
			chunk := bytes.Repeat([]byte(c.text), 64<<10)
			go func() {
				for {
					n, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer n.Close()
						_, _ = n.Read(make([]byte, 4<<10))
						_, err := io.WriteString(n, c.start)
						for left := maxSent; err == nil && left > 0; left -= len(chunk) {
							_, err = n.Write(chunk)
							sent.Add(int64(len(chunk)))
						}
						_, _ = io.Copy(io.Discard, n)
					}()
				}
			}()
			d := table.NewDynamo(table.Options{
				Endpoint: "http://" + l.Addr().String(), Table: "t", Region: "local", AccessKey: "a", SecretKey: "s", Timeout: 20 * time.Second,
			})
			k := table.Key{Partition: "p", Sort: "s"}
			for op, call := range map[string]func() error{
				"get": func() error { _, err := d.Get(t.Context(), k); return err },
				"put": func() error { return d.Put(t.Context(), table.Write{Key: k, Body: []byte("b"), Token: "w"}) },
			} {
				sent.Store(0)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := call()
				runtime.ReadMemStats(&after)
				var long *inlet.TooLongError
				if !errors.As(err, &long) || long.Part != c.part || !strings.HasPrefix(long.Peer, "http://127.0.0.1:") || table.NotApplied(err) {
					t.Errorf("%s: got %v, want an unknown outcome by a *TooLongError for the %s", op, err, c.part)
				}
				if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
					t.Errorf("%s: allocated %d bytes, want at most %d", op, n, maxAllocated)
				}
				if n := sent.Load(); n > maxAccepted {
					t.Errorf("%s: the service could send %d bytes, want at most %d", op, n, maxAccepted)
				}
			}
		})
	}
}
