package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// keptConn is a client's connection that is kept for several requests.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

// keep opens n connections to the router and sends a request on each, as clients do that reuse them.
func (w *harness) keep(n int) []*keptConn {
	w.t.Helper()
	var cs []*keptConn
	for range n {
		c, err := net.Dial("tcp", w.clients)
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(func() { c.Close() })
		k := &keptConn{Conn: c, r: bufio.NewReader(c)}
		if a := k.send("GET", "/fast/1", 3000); a.status != 200 {
			w.t.Fatalf("got %d %s %v on a new connection", a.status, a.body, a.err)
		}
		cs = append(cs, k)
	}
	return cs
}

// send sends a request with a timeout in ms.
func (k *keptConn) send(method, path string, timeout int) response {
	id := nextID()
	out := response{id: id}
	_, out.err = fmt.Fprintf(k, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nx", method, path, id, timeout)
	if out.err != nil {
		return out
	}
	a, err := http.ReadResponse(k.r, nil)
	if err != nil {
		out.err = err
		return out
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	out.status, out.body, out.header, out.err = a.StatusCode, string(b), a.Header, err
	return out
}

// Review case 4: a router is stopped, and clients go on to use their connections. Guards against requests
// that are taken late in the grace period and cut at its end without an answer, and against ones that are
// refused although their time, or twice the time of the slowest request of their route, ends before that.
func TestRequestsInShutdown(t *testing.T) {
	t.Parallel()
	const grace = 8
	tests := map[string]struct {
		// at is the time from the start of the shutdown.
		at           time.Duration
		method, path string
		// timeout is the client's in ms, work how long the upstream takes.
		timeout int
		work    time.Duration
		status  int
		code    string
	}{
		"order that can't end":          {4750 * time.Millisecond, "POST", "/order/", 3000, 2800 * time.Millisecond, 503, "draining not-run"},
		"look-up that can't end":        {4750 * time.Millisecond, "GET", "/read/", 3000, 2800 * time.Millisecond, 503, "draining not-run"},
		"order that ends in time":       {4600 * time.Millisecond, "POST", "/order/", 2500, 2 * time.Second, 200, ""},
		"long order at the start":       {500 * time.Millisecond, "POST", "/order/", 30_000, 5 * time.Second, 200, ""},
		"order at work at the end":      {2200 * time.Millisecond, "POST", "/order/", 30_000, 9 * time.Second, 502, "draining unknown"},
		"long order after 2.7 s":        {2700 * time.Millisecond, "POST", "/order/", 30_000, 9 * time.Second, 503, "draining not-run"},
		"time over shortly before it":   {4 * time.Second, "POST", "/order/", 3000, 9 * time.Second, 504, "deadline-exceeded unknown"},
		"fast route":                    {4750 * time.Millisecond, "GET", "/fast/", 3000, 50 * time.Millisecond, 200, ""},
		"slow one of a fast route":      {4750 * time.Millisecond, "GET", "/fast/", 3000, 2800 * time.Millisecond, 502, "draining unknown"},
		"stream that ends in time":      {4 * time.Second, "POST", "/chat/", 2500, 500 * time.Millisecond, 200, ""},
		"stream that can't end in time": {4 * time.Second, "POST", "/chat/", 20_000, 500 * time.Millisecond, 503, "draining not-run"},
	}
	d := document(1, route("fast", "idempotent", "desk", "timeout_ms", 30_000), route("read", "idempotent", "desk", "timeout_ms", 30_000), route("order", "non_idempotent", "desk", "timeout_ms", 30_000),
		route("chat", "streaming", "llm", "resumable", true, "timeout_ms", 30_000))
	w := startRouterWithGrace(t, d, grace)
	desk := w.server("desk", "s1", "v1", func(r server.Request) server.Reply {
		for name, c := range tests {
			if strings.HasSuffix(r.Target, "/"+url.PathEscape(name)) {
				return server.Delayed{Answer: fine, Delay: c.work}
			}
		}
		return fine
	})
	llm := w.server("llm", "s2", "v1", always(server.Events{Count: 3, Pause: 150 * time.Millisecond}))
	w.awaitUpstreams(2)
	conns := w.keep(len(tests))
	began := time.Now()
	w.stop()
	var clients sync.WaitGroup
	for name, c := range tests {
		k := conns[0]
		conns = conns[1:]
		clients.Go(func() {
			time.Sleep(time.Until(began.Add(c.at)))
			a := k.send(c.method, c.path+url.PathEscape(name), c.timeout)
			if a.err != nil || a.status != c.status || (c.code != "" && a.code() != c.code) {
				t.Errorf("%s: got %d %s %v, want %d %s", name, a.status, a.body, a.err, c.status, c.code)
			}
			ran := slices.ContainsFunc(slices.Concat(desk.Requests(), llm.Requests()), func(r server.Request) bool { return r.ID() == a.id })
			if ran == strings.HasSuffix(c.code, "not-run") {
				t.Errorf("%s: reached an upstream: %v", name, ran)
			}
		})
	}
	clients.Wait()
	if d := time.Since(began); d > grace*time.Second {
		t.Errorf("the last answer came %s after the start of the shutdown, the grace period is %d s", d, grace)
	}
}

// statusAndCode returns the status of a response and, for a refusal, its code and whether the request ran.
func statusAndCode(a response) string {
	if a.status == http.StatusOK {
		return "200"
	}
	return fmt.Sprintf("%d %s", a.status, a.code())
}
