package boot

import (
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// roomMemory is the memory of the router, in MiB; a quarter of it is for messages.
	roomMemory = "memory-mb = 64\n"
	// roomLong and roomSound are the clients with long answers and with ordinary ones, roomTime how
	// long they send.
	roomLong  = 100
	roomSound = 40
	roomTime  = 4 * time.Second
)

// Guards against an order that ends with 502 after it ran, as answers without end took the memory
// for its own of four bytes: 468 of 3,523 did beside 200 clients with such answers.
func TestRoomBesideLongAnswers(t *testing.T) {
	tests := map[string]func(server.Request) server.Reply{
		"endless body":   endlessScript(receiptHeaders+"\r\n", strings.Repeat("x", 4096)),
		"endless chunks": endlessScript(receiptHeaders+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n"),
		"long but whole": always(server.Answer{Status: 200, Body: strings.Repeat("x", 4<<20)}),
	}
	for name, long := range tests {
		t.Run(name, func(t *testing.T) {
			d := document(1, route("order", "non_idempotent", "desk", "timeout_ms", 20_000))
			// The clients' connections are not what limits them.
			d["services"].([]any)[0].(map[string]any)["max_connections"] = 10 * (roomLong + roomSound)
			w := startRouterWithMemory(t, d, roomMemory)
			script := func(r server.Request) server.Reply {
				if strings.HasPrefix(r.Target, "/order/long") {
					return long(r)
				}
				return server.Delayed{Answer: fine, Delay: 5 * time.Millisecond}
			}
			for _, n := range []string{"s1", "s2", "s3", "s4"} {
				w.server("desk", n, "v1", script)
			}
			w.awaitUpstreams(4)
			end := time.Now().Add(roomTime)
			var served, refused, other, longServed atomic.Int64
			var g sync.WaitGroup
			for i := range roomLong + roomSound {
				g.Go(func() {
					for time.Now().Before(end) {
						if i < roomLong {
							if a := w.send("POST", "/order/long", "x", "Tarragonvalve-Deadline-Ms", "2000"); a.status == 200 && a.err == nil {
								longServed.Add(1)
							}
							continue
						}
						// The time is ample: the long answers take most of the processors on a busy machine.
						switch a := w.send("POST", "/order/1", "x", "Tarragonvalve-Deadline-Ms", "20000"); a.status {
						case 200:
							served.Add(1)
						case 503:
							refused.Add(1)
						default:
							other.Add(1)
							t.Errorf("sound order %s: got %d %s %v", a.id, a.status, a.code(), a.err)
						}
					}
				})
			}
			g.Wait()
			t.Logf("sound orders: %d served, %d refused, %d ended otherwise; %d long answers served", served.Load(), refused.Load(), other.Load(), longServed.Load())
		})
	}
}

// startRouterWithMemory is startRouter with a line that limits the router's memory. The router sets the limit of the
// runtime by it, which must not outlast the test: it holds for all routers of the test process.
func startRouterWithMemory(t *testing.T, d map[string]any, line string) *harness {
	t.Helper()
	limit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	first := startRouter(t, d)
	x := &harness{t: t, store: first.store, address: first.address, logs: &lockedBuffer{}, reload: make(chan os.Signal, 1), name: "limited", router: line, grace: first.grace}
	x.run()
	return x
}
