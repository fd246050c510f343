package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// uploadBytes is the length of an upload that is still being written when its answer ends: the
// buffers of a loopback connection don't hold it.
const uploadBytes = 4 << 20

// uploads is the number of uploads of each kind.
const uploads = 8

// brokenDocument is the standard configuration with room for uploads.
func brokenDocument() map[string]any {
	d := standardDocument()
	d["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 8 << 20, "idle_timeout_ms": 15_000}
	return d
}

// exchangeBytes sends an upload of n bytes and returns the status and the body that a client reads, and
// whether the body is whole by its framing.
func (w *harness) exchangeBytes(method, path string, n int) (status int, body string, whole bool) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.clients)
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		w.t.Fatal(err)
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n",
		method, path, nextID(), n)
	go func() {
		// A router that refuses the request may end the connection before it has read all.
		_, _ = io.Copy(c, strings.NewReader(strings.Repeat("x", n)))
	}()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", false
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err == nil && (a.ContentLength >= 0 || len(a.TransferEncoding) > 0)
}

// Guards against a part of an answer without a length that clients get as the whole answer, as its
// connection was reset while the upload was still being written. Sound answers of that kind, early ones
// too, must arrive whole.
func TestAnswersWithoutLength(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: event 1\n\n"
	w := startRouter(t, brokenDocument())
	script := func(r server.Request) server.Reply {
		var a server.Abrupt
		_, name, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
		kind, delay, _ := strings.Cut(name, "/")
		a.End = map[string]server.End{"reset": server.ByReset, "end": server.ByEnd, "end-then-reset": server.ByEndThenReset}[kind]
		if delay == "later" {
			a.Delay = 50 * time.Millisecond
		}
		a.Text = strings.ReplaceAll(receiptHeaders, "ID", r.ID()) + "\r\npart of it"
		if strings.HasPrefix(r.Target, "/chat/") {
			a.Text = strings.ReplaceAll(receiptHeaders, "ID", r.ID()) + "Content-Type: text/event-stream\r\n\r\n" + events
		}
		return a
	}
	desk := w.server("desk", "s1", "v1", script)
	w.server("llm", "s2", "v1", script)
	w.awaitUpstreams(2)
	for _, route := range []string{"/read/", "/order/", "/chat/"} {
		for name, sound := range map[string]bool{"reset": false, "end": true, "end-then-reset": true} {
			for _, delay := range []string{"", "/later"} {
				for _, n := range []int{60_000, uploadBytes} {
					t.Run(fmt.Sprint(route, name, delay, " ", n), func(t *testing.T) {
						complete, before := 0, len(desk.Requests())
						for range uploads {
							status, body, whole := w.exchangeBytes("POST", route+name+delay, n)
							if status == http.StatusOK && whole && (body == "part of it" || strings.Contains(body, events)) {
								complete++
							}
						}
						if want := map[bool]int{true: uploads}[sound]; complete != want {
							t.Errorf("%d of %d answers were complete, want %d", complete, uploads, want)
						}
						if ran := len(desk.Requests()) - before; route == "/order/" && ran > uploads {
							t.Errorf("%d orders ran %d times", uploads, ran)
						}
					})
				}
			}
		}
	}
}

// Guards against a malformed answer that a client gets as an answer, in whole or in part, that is said
// not to have run, or whose order runs again.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	const event = "id: 1\ndata: event 1\n\n"
	fields, _ := strings.CutPrefix(receiptHeaders, "HTTP/1.1 200 OK\r\n")
	heads := map[string]string{
		"status-000":             "HTTP/1.1 000 OK\r\n" + fields,
		"status-000-before":      "HTTP/1.1 000 OK\r\n\r\n" + receiptHeaders,
		"status-099":             "HTTP/1.1 099 OK\r\n" + fields,
		"status-600":             "HTTP/1.1 600 OK\r\n" + fields,
		"version":                "HTTP/2.0 200 OK\r\n" + fields,
		"reason":                 "HTTP/1.1 200 O\x01K\r\n" + fields,
		"blank-in-name":          receiptHeaders + "X Y: z\r\n",
		"tab-in-name":            receiptHeaders + "X\tY: z\r\n",
		"blank-before-colon":     receiptHeaders + "X : z\r\n",
		"blank-before-length":    receiptHeaders + "Content-Length : 3\r\n",
		"blank-in-coding":        receiptHeaders + "Transfer-Encoding : chunked\r\n",
		"control-byte-in-name":   receiptHeaders + "X\x01: z\r\n",
		"empty-name":             receiptHeaders + ": z\r\n",
		"control-byte-in-value":  receiptHeaders + "X: \x01\r\n",
		"blank-in-name-of-hints": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + receiptHeaders,
		"rejection":              "HTTP/1.1 503 Rejected\r\nTarragonvalve-Attempt-Id: ID\r\nTarragonvalve-Not-Executed: 1\r\nX Y: z\r\n",
		"blank-in-trailer":       receiptHeaders + "Transfer-Encoding: chunked\r\n",
		"coding-and-length":      receiptHeaders + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
		"coding-in-1.0":          strings.Replace(receiptHeaders, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n",
		"hints-with-a-body":      "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n" + receiptHeaders,
		"switch-of-protocols":    "HTTP/1.1 101 Switching Protocols\r\n\r\n" + receiptHeaders,
		"no-trailer-end":         receiptHeaders + "Transfer-Encoding: chunked\r\n",
	}
	w := startRouter(t, brokenDocument())
	// sound is true once the upstreams answer properly.
	var sound atomic.Bool
	script := func(r server.Request) server.Reply {
		_, name, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
		stream := strings.HasPrefix(r.Target, "/chat/")
		if sound.Load() && stream {
			return server.Events{Count: 1, Confidence: -1}
		}
		if sound.Load() {
			return fine
		}
		head, body := strings.ReplaceAll(heads[name], "ID", r.ID()), "part of it"
		if stream {
			head, body = head+"Content-Type: text/event-stream\r\n", event
		}
		if strings.Contains(head, "chunked") {
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
			body += map[string]string{"blank-in-trailer": "X Y: z\r\n\r\n", "no-trailer-end": "X: y\r\n"}[name]
			if name != "blank-in-trailer" && name != "no-trailer-end" {
				body += "\r\n"
			}
		}
		return server.Raw{Text: head + "\r\n" + body}
	}
	desk := w.server("desk", "s1", "v1", script)
	w.server("llm", "s2", "v1", script)
	w.awaitUpstreams(2)
	for _, route := range []string{"/read/", "/order/", "/chat/"} {
		for name := range heads {
			before := len(desk.Requests())
			status, body, whole := w.exchangeBytes("POST", route+name, 1)
			if whole && (status < 500 || status > 599) {
				t.Errorf("%s%s: got %d %q as a whole answer", route, name, status, body)
			}
			if whole && strings.Contains(body, `"ran":"not-run"`) {
				t.Errorf("%s%s: got %d %s", route, name, status, body)
			}
			if n := len(desk.Requests()) - before; route == "/order/" && n != 1 {
				t.Errorf("%s%s ran %d times", route, name, n)
			}
		}
	}
	if n := strings.Count(w.logs.String(), `"message":"upstream sent a malformed answer"`); n < 2*len(heads) {
		t.Errorf("the log names %d malformed answers, want at least %d", n, 2*len(heads))
	}
	sound.Store(true)
	w.eventually("sound answers afterwards", func() bool {
		for _, path := range []string{"/read/1", "/order/1", "/chat/1"} {
			if status, _, whole := w.exchangeBytes("POST", path, 1); status != http.StatusOK || !whole {
				return false
			}
		}
		return true
	})
}
