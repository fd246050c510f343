package boot

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests that are passed on late in a stop, and cut at its end, because their head came early enough
// and their body later.
func TestSlowBodiesInShutdown(t *testing.T) {
	t.Parallel()
	const timeout = 20_000 // ms
	tests := map[string]struct {
		// head and rest are when the head and the rest of the request are sent, after the start of the stop.
		head, rest time.Duration
		// status is that of the answer; 0 means that there need not be one, as the request was never read whole.
		status int
	}{
		"early":              {500 * time.Millisecond, 1500 * time.Millisecond, 200},
		"head early":         {2 * time.Second, 3200 * time.Millisecond, 503},
		"head before":        {0, 4 * time.Second, 503},
		"late":               {3200 * time.Millisecond, 4 * time.Second, 503},
		"rest after the end": {time.Second, 9 * time.Second, 0},
	}
	w := startRouterWithGrace(t, document(1, route("fast", "idempotent", "desk"), route("order", "non_idempotent", "desk", "timeout_ms", timeout)), 8)
	desk := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	conns := w.keep(len(tests))
	before := len(desk.Requests())
	began := time.Now()
	w.stop()
	var clients sync.WaitGroup
	for name, c := range tests {
		k := conns[0]
		conns = conns[1:]
		clients.Go(func() {
			time.Sleep(time.Until(began.Add(c.head)))
			_, err := fmt.Fprint(k, head("/order/"+strings.ReplaceAll(name, " ", "-"), nextID(), timeout, "Content-Length: 2\r\n")+"x")
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			go func() {
				time.Sleep(time.Until(began.Add(c.rest)))
				_, _ = io.WriteString(k, "x")
			}()
			a, err := http.ReadResponse(k.r, nil)
			if err != nil {
				if c.status != 0 {
					t.Errorf("%s: got no answer, want %d", name, c.status)
				}
				return
			}
			defer a.Body.Close()
			if b, err := io.ReadAll(a.Body); err != nil || (c.status != 0 && a.StatusCode != c.status) {
				t.Errorf("%s: got %d %s %v, want %d", name, a.StatusCode, b, err, c.status)
			}
		})
	}
	clients.Wait()
	if n := len(desk.Requests()) - before; n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
}
