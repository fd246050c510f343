package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"sync"
	"testing"

	"tarragonvalve.example/standin/server"
)

// Guards against a server whose answers have another framing than its script says, or that keeps a connection
// whose end is the end of the answer.
func TestFraming(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		framing server.Framing
		length  int64
		coding  string
		kept    bool
	}{
		"length": {server.ByLength, 4, "[]", true},
		"chunks": {server.ByChunks, -1, "[chunked]", true},
		"close":  {server.ByClose, -1, "[]", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := server.Answer{Status: http.StatusOK, Body: "fine", Framing: c.framing, Confidence: -1}
			for kind, reply := range map[string]server.Reply{"answer": a, "delayed": server.Delayed{Answer: a}} {
				s, err := server.New("s1", func(server.Request) server.Reply { return reply })
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(s.Close)
				k, err := net.Dial("tcp", s.Address())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { k.Close() })
				r := bufio.NewReader(k)
				fmt.Fprint(k, "GET / HTTP/1.1\r\nHost: h.example\r\nTarragonvalve-Expect-Instance: s1\r\n\r\n")
				got, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(got.Body)
				if err != nil || string(b) != a.Body || got.ContentLength != c.length || fmt.Sprint(got.TransferEncoding) != c.coding {
					t.Errorf("%s: got %q %v, length %d, coding %v", kind, b, err, got.ContentLength, got.TransferEncoding)
				}
				fmt.Fprint(k, "GET / HTTP/1.1\r\nHost: h.example\r\nTarragonvalve-Expect-Instance: s1\r\n\r\n")
				next, err := http.ReadResponse(r, nil)
				if (err == nil) != c.kept {
					t.Errorf("%s: second request: %v, want the connection kept: %v", kind, err, c.kept)
				}
				if err == nil {
					next.Body.Close()
				}
			}
		})
	}
}

// Guards against an address that a later server gets, while routers still send requests to the former
// one: test servers mostly have the same few names, so these requests run at the server of another test.
func TestAddressesUsedOnce(t *testing.T) {
	t.Parallel()
	// servers is so many that about 20 of them get the port of an earlier one if the kernel chooses it.
	const servers = 500
	seen := map[string]bool{}
	for range servers {
		s, err := server.New("s1", func(server.Request) server.Reply { return server.Hang{} })
		if err != nil {
			t.Fatal(err)
		}
		a := s.Address()
		s.Close()
		if seen[a] {
			t.Errorf("%s belonged to an earlier server", a)
		}
		seen[a] = true
	}
}

// Guards against a server that can't listen as a process which is being started still holds the address that was looked at.
func TestListensBesideStarts(t *testing.T) {
	t.Parallel()
	const servers = 500
	ctx, stop := context.WithCancel(t.Context())
	var starts sync.WaitGroup
	t.Cleanup(func() {
		stop()
		starts.Wait()
	})
	for range 4 {
		starts.Go(func() {
			for ctx.Err() == nil {
				if err := exec.CommandContext(ctx, "true").Run(); err != nil && ctx.Err() == nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range servers {
		s, err := server.New("s1", func(server.Request) server.Reply { return server.Hang{} })
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
	}
}
