package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/platform/heads"
	"tarragonvalve.example/router/meter"
)

// queuedHandler returns a handler in whose process a queue stands, if it is standing.
func queuedHandler(standing bool) *Handler {
	m := late.New(late.Clock(clock.Boot), zerolog.Nop())
	g := NewGate(nil, clock.Boot, m, nil, func() time.Duration { return time.Second })
	h := New(nil, nil, heads.Codec{}, g, meter.New(meter.Readings{}), nil, zerolog.Nop())
	if !standing {
		return h
	}
	now := time.Now()
	for past := 300 * time.Millisecond; past > 0; past -= 10 * time.Millisecond {
		g.overload.takes(now.Add(-past), time.Second, func() bool { return false })
	}
	return h
}

// Guards against requests that wait to be refused for as long as others are served, against ones that are refused though
// they would be taken, and against bytes that are lost or answered twice as they were looked at.
func TestRefuseAccepted(t *testing.T) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	const post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
	tests := map[string]struct {
		onTime bool
		// fresh is true if the request is looked at at once.
		fresh bool
		sent  string
		// left is true if the client closes its connection.
		left bool
		// refused is true if the request is refused, else it reaches the server, which gets the whole of sent.
		refused bool
	}{
		"queued":                       {sent: get, refused: true},
		"no queue":                     {onTime: true, sent: get},
		"fresh":                        {fresh: true, sent: get},
		"with a body":                  {sent: post + "ab"},
		"body not sent yet":            {sent: post},
		"two requests":                 {sent: get + get},
		"headers not sent whole":       {sent: "GET /a HTTP/1.1\r\nHost: h\r\n"},
		"nothing sent":                 {},
		"not HTTP":                     {sent: "\x16\x03\x01\r\n\r\n"},
		"longer than is looked at":     {sent: "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*maxAcceptedHead) + "\r\n\r\n"},
		"resumes, and is preferred":    {sent: "GET /a HTTP/1.1\r\nHost: h\r\nLast-Event-Id: 3\r\n\r\n"},
		"client that left":             {left: true, refused: true},
		"client that sent and left":    {sent: get, left: true, refused: true},
		"waits for a go-ahead to send": {sent: "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			client, accepted := connect(t)
			if _, err := io.WriteString(client, c.sent); err != nil {
				t.Fatal(err)
			}
			if c.left {
				client.Close()
			}
			wait := 200 * time.Millisecond
			if c.fresh {
				wait = 10 * time.Millisecond
			}
			time.Sleep(wait)
			head, refused := queuedHandler(!c.onTime).RefuseAccepted(accepted)
			if refused != c.refused {
				t.Fatalf("refused %v, want %v", refused, c.refused)
			}
			switch {
			case !refused:
				checkUnchanged(t, client, &clientConn{Conn: accepted, head: head, ends: boundedReporter(&endReporter{arrivals: arrivals{overdue: func() time.Duration { return 0 }}})}, c.sent)
			case !c.left:
				checkRefused(t, client)
			}
		})
	}
}

// checkUnchanged checks that the server reads what the client sent, and that the client gets nothing before.
func checkUnchanged(t *testing.T, client net.Conn, accepted net.Conn, sent string) {
	t.Helper()
	got := make([]byte, len(sent))
	accepted.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(accepted, got); err != nil || string(got) != sent {
		t.Fatalf("the server got %q, %v", got, err)
	}
	accepted.Close()
	client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := io.ReadAll(client); len(b) > 0 || err != nil {
		t.Errorf("the client got %q, %v", b, err)
	}
}

// checkRefused checks that the client gets one whole refusal, and then the end of the connection.
func checkRefused(t *testing.T, client net.Conn) {
	t.Helper()
	client.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(client)
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil || string(b) != string(overloadBody) || a.StatusCode != http.StatusServiceUnavailable || !a.Close || a.Header.Get("Retry-After") == "" {
		t.Errorf("the client got %d, %v, body %q, %v", a.StatusCode, a.Header, b, err)
	}
	if n, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the refusal: %d, %v", n, err)
	}
}
