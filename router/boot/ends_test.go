package boot

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/standin/server"
)

// ends returns how many connections ended by a cause, by the router's metrics.
func (w *harness) ends(cause string) int {
	w.t.Helper()
	a, err := http.Get("http://" + w.admin + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer a.Body.Close()
	for s := bufio.NewScanner(a.Body); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), `tarragonvalve_router_connections_ended_total{cause="`+cause+`"} `); ok {
			n, err := strconv.Atoi(v)
			if err != nil {
				w.t.Fatal(err)
			}
			return n
		}
	}
	w.t.Fatalf("the metrics lack the cause %s", cause)
	return 0
}

// endLines returns the log lines on the ends of a request's connection.
func (w *harness) endLines(id string) []map[string]any {
	w.t.Helper()
	var ls []map[string]any
	for l := range strings.Lines(w.logs.String()) {
		if !strings.Contains(l, `"message":"connection ended: `) {
			continue
		}
		var m map[string]any
		if err := json.Unmarshal([]byte(l), &m); err != nil {
			w.t.Fatal(err)
		}
		if m["request"] == id {
			ls = append(ls, m)
		}
	}
	return ls
}

// begin sends a request whose body of length bytes begins with body, and returns its connection and id.
func (w *harness) begin(path, body string, length, timeout int) (*net.TCPConn, string) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.clients)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	id := nextID()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, id, timeout, length, body)
	return c.(*net.TCPConn), id
}

// endsDocument has routes whose answers can't go on elsewhere.
func endsDocument() map[string]any {
	return document(1, route("order", "non_idempotent", "desk", "timeout_ms", 30_000), route("chat", "streaming", "llm", "timeout_ms", 30_000))
}

// endsScript replies by the last part of the path.
func endsScript(r server.Request) server.Reply {
	_, name, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
	switch name {
	case "cut":
		return server.Events{Count: 9, TruncateAfter: 2}
	case "long":
		return server.Events{Count: 900, Pause: 100 * time.Millisecond}
	case "large":
		// Without pauses, so that the buffers of the connections are full within a client's time on a slow machine, too.
		return server.Endless{
			Head: strings.ReplaceAll(receiptHeaders, "ID", r.ID()) + "Content-Type: text/event-stream\r\n\r\n",
			Unit: "data: " + strings.Repeat("x", 32_000) + "\n\n",
		}
	case "hang":
		return server.Hang{}
	default:
		return fine
	}
}

// Guards against an answer that ends early and no log line or counter that says why, and against a line for one
// that is complete. TestEnds in front has the causes that need no upstream, TestHandlerPanic that of a panic.
func TestConnectionEnds(t *testing.T) {
	t.Parallel()
	w := startRouter(t, endsDocument())
	upstreams := []*server.Server{w.server("desk", "s1", "v1", endsScript), w.server("llm", "s2", "v1", endsScript)}
	w.awaitUpstreams(len(upstreams))
	reached := func(id string) bool {
		for _, s := range upstreams {
			for _, r := range s.Requests() {
				if r.ID() == id {
					return true
				}
			}
		}
		return false
	}
	tests := map[string]struct {
		path, body string
		// length is that of the body, timeout the client's in ms.
		length, timeout int
		// act is what the client does once the request has reached an upstream, or at once if it can't.
		act             func(*net.TCPConn)
		cause, passedOn string
	}{
		"upstream breaks off":            {"/chat/cut", "x", 1, 3000, nil, "upstream-broke-off", "yes"},
		"time is over":                   {"/chat/long", "x", 1, 700, nil, "deadline-passed", "yes"},
		"client closes":                  {"/chat/long", "x", 1, 5000, func(c *net.TCPConn) { c.Close() }, "client-gone", "yes"},
		"client closes while it waits":   {"/order/hang", "x", 1, 5000, func(c *net.TCPConn) { c.Close() }, "client-gone", "unknown"},
		"client closes its sending side": {"/order/hang", "x", 1, 5000, func(c *net.TCPConn) { c.CloseWrite() }, "client-gone", "unknown"},
		"client closes within its body":  {"/order/fine", "x", 2, 5000, func(c *net.TCPConn) { c.Close() }, "client-gone", "no"},
		"client resets":                  {"/chat/long", "x", 1, 5000, func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, "client-gone", "yes"},
		"client doesn't read":            {"/chat/large", "x", 1, 700, func(*net.TCPConn) { time.Sleep(2 * time.Second) }, "write-deadline", "yes"},
		"complete":                       {"/order/fine", "x", 1, 3000, nil, "", ""},
		"refused":                        {"/order/hang", "x", 1, 300, nil, "", ""},
	}
	wanted := map[string]int{"handler-panic": 0, "drain-ended": 0, "closed-while-idle": 0, "server-closed": 0, "protocol-error": 0, "header-timeout": 0, "idle": 0}
	for name, c := range tests {
		wanted[c.cause]++
		t.Run(name, func(t *testing.T) {
			o, id := w.begin(c.path, c.body, c.length, c.timeout)
			if len(c.body) == c.length {
				w.eventually(name+": a request at the upstream", func() bool { return reached(id) })
			}
			if strings.HasPrefix(c.path, "/chat/long") {
				// The answer must have begun.
				if _, err := o.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
			}
			if c.act != nil {
				c.act(o)
			}
			if c.cause == "" {
				if a, err := http.ReadResponse(bufio.NewReader(o), nil); err != nil || a.StatusCode == 0 {
					t.Fatalf("no answer: %v", err)
				}
				w.eventually(name+": its line", func() bool { return strings.Contains(w.logs.String(), `"request":"`+id+`","status"`) })
				if ls := w.endLines(id); len(ls) > 0 {
					t.Errorf("lines %v", ls)
				}
				return
			}
			if c.cause != "client-gone" {
				io.Copy(io.Discard, o)
			}
			w.eventually(name+": a line on the end", func() bool { return len(w.endLines(id)) > 0 })
			ls := w.endLines(id)
			if len(ls) != 1 || ls[0]["cause"] != c.cause || ls[0]["passed-on"] != c.passedOn {
				t.Errorf("lines %v, want one with cause %s and passed on %s", ls, c.cause, c.passedOn)
			}
		})
	}
	delete(wanted, "")
	for cause, n := range wanted {
		if m := w.ends(cause); m != n {
			t.Errorf("%s: counted %d, want %d", cause, m, n)
		}
	}
}

// Guards against a shutdown that cuts an answer, closes a connection or leaves a request behind, and a log that
// doesn't say so.
func TestConnectionEndsInShutdown(t *testing.T) {
	t.Parallel()
	w := startRouter(t, endsDocument())
	s := w.server("llm", "s1", "v1", endsScript)
	w.awaitUpstreams(1)
	o, id := w.begin("/chat/long", "x", 1, 20_000)
	if _, err := o.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the answer did not begin: %v, %d requests", err, len(s.Requests()))
	}
	// A stop counts from the heartbeat before the latest one, and the request is to arrive before it.
	time.Sleep(4 * late.Interval)
	w.stop()
	io.Copy(io.Discard, o)
	w.eventually("a line on the end", func() bool { return len(w.endLines(id)) > 0 })
	ls := w.endLines(id)
	if d, _ := ls[0]["since-stop"].(float64); len(ls) != 1 || ls[0]["cause"] != "drain-ended" || ls[0]["passed-on"] != "yes" || d <= 0 {
		t.Errorf("lines %v, want one with the cause drain-ended and the time since the stop", ls)
	}
	arrived, _ := ls[0]["arrived"].(float64)
	since, _ := ls[0]["since-stop"].(float64)
	if idle, ok := ls[0]["idle"].(float64); ls[0]["answering"] != true || !ok || idle < 0 || idle > since-arrived || arrived >= 0 || arrived < -10_000 {
		t.Errorf("lines %v, want that an upstream was answering, since when it sent nothing and that the request arrived before the stop", ls)
	}
	w.eventually("a line on what is left", func() bool {
		return strings.Contains(w.logs.String(), `"connections":1,"open":1,"since-stop":`)
	})
}
