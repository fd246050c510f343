package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/relay"
)

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// endLine is a log line about an answer that was not complete.
type endLine struct {
	Message   string          `json:"message"`
	Cause     ending.Cause    `json:"cause"`
	Request   ident.RequestID `json:"request"`
	Begun     bool            `json:"answer-begun"`
	SinceStop float64         `json:"since-stop-ms"`
}

// ends returns the lines about answers that were not complete.
func (l *logBuffer) ends(t *testing.T) []endLine {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []endLine
	for s := range strings.Lines(l.b.String()) {
		var e endLine
		if err := json.Unmarshal([]byte(s), &e); err != nil {
			t.Fatal(err)
		}
		if e.Message == "a caller got no complete answer" {
			out = append(out, e)
		}
	}
	return out
}

// send sends a chat on a new connection and returns the connection and the head of the answer.
func send(t *testing.T, addr, body string) (net.Conn, *http.Response) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-alpha\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return c, p
}

// Guards against an answer that ends early without a log line that names the request, the cause and the
// time since the stop began, or without a count; and against a cut answer that looks complete.
func TestIncompleteAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		// whole makes the chat fail before any part of its answer is sent.
		whole bool
		// fail ends the chat, act is what happens to it from outside once its answer has begun.
		fail  func(ctx context.Context) error
		act   func(c net.Conn, abortAll context.CancelCauseFunc)
		cause ending.Cause
	}{
		"panic":           {whole: true, fail: func(context.Context) error { panic("broken") }, cause: ending.HandlerPanic},
		"panic in answer": {fail: func(context.Context) error { panic("broken") }, cause: ending.HandlerPanic},
		"drain limit": {
			fail: func(ctx context.Context) error {
				<-ctx.Done()
				return refuse.New(refuse.StreamBroken, refuse.DidRun, "stopped")
			},
			act:   func(_ net.Conn, abortAll context.CancelCauseFunc) { abortAll(abort.ErrDrained) },
			cause: ending.DrainEnded,
		},
		"upstream": {fail: func(context.Context) error { return refuse.New(refuse.StreamBroken, refuse.DidRun, "lost") }, cause: ending.UpstreamBrokeOff},
		"deadline": {fail: func(context.Context) error { return refuse.New(refuse.DeadlineExceeded, refuse.DidRun, "late") }, cause: ending.DeadlinePassed},
		"caller left": {
			fail: func(ctx context.Context) error {
				<-ctx.Done()
				return refuse.New(refuse.Cancelled, refuse.DidRun, "left")
			},
			act:   func(c net.Conn, _ context.CancelCauseFunc) { c.Close() },
			cause: ending.ClientGone,
		},
		"caller closed its sending side": {
			fail: func(ctx context.Context) error {
				<-ctx.Done()
				return refuse.New(refuse.Cancelled, refuse.DidRun, "left")
			},
			act:   func(c net.Conn, _ context.CancelCauseFunc) { _ = c.(*net.TCPConn).CloseWrite() },
			cause: ending.ClientGone,
		},
		"refused": {whole: true, fail: func(context.Context) error { return refuse.New(refuse.Overloaded, refuse.NotRun, "busy") }},
		"whole":   {fail: func(context.Context) error { return nil }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t)
			l := &logBuffer{}
			f.log = zerolog.New(l)
			// The deadlines of requests end before this time.
			f.latest = time.Unix(1_800_000_000, 0)
			h := relay.Head{Session: "token", Version: quick, Final: true}
			f.chat = func(ctx context.Context, _ relay.Chat, s relay.Sink) (*relay.Answer, error) {
				s.SetHead(h)
				if !c.whole {
					_ = s.Text("part")
				}
				if err := c.fail(ctx); err != nil {
					return nil, err
				}
				return &relay.Answer{Head: h, FinishReason: "stop"}, nil
			}
			a := f.api()
			addr, abortAll := abortableServer(t, a)
			n, p := send(t, addr, hello+`,"stream":true}`)
			if c.act != nil {
				c.act(n, abortAll)
			}
			body, err := io.ReadAll(p.Body)
			p.Body.Close()
			for a.Open() > 0 {
				time.Sleep(time.Millisecond)
			}
			got := l.ends(t)
			if c.cause == "" {
				if len(got) > 0 || err != nil {
					t.Errorf("a complete answer was reported: %+v, error %v", got, err)
				}
				return
			}
			if len(got) != 1 || got[0].Cause != c.cause || string(got[0].Request) != p.Header.Get(HeaderRequest) || got[0].SinceStop != 1500 || got[0].Begun == c.whole {
				t.Errorf("logged %+v, want %s of %s", got, c.cause, p.Header.Get(HeaderRequest))
			}
			for _, x := range ending.OfAnswers() {
				if (a.Incomplete(x) == 1) != (x == c.cause) {
					t.Errorf("counted %d of %s", a.Incomplete(x), x)
				}
			}
			if strings.Contains(string(body), "[DONE]") || c.whole && p.StatusCode != http.StatusInternalServerError {
				t.Errorf("status %d, body %s", p.StatusCode, body)
			}
			if name == "panic in answer" && err == nil {
				t.Error("the cut answer looks complete")
			}
		})
	}
}

// pipeListener accepts one connection.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against an answer that its caller doesn't read and that is cut without a log line and a count.
func TestWriteDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t)
		l := &logBuffer{}
		f.log = zerolog.New(l)
		a := f.api()
		server, client := net.Pipe()
		defer client.Close()
		n := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		n.conns <- server
		h := &http.Server{Handler: a}
		go func() { _ = h.Serve(n) }()
		defer h.Close()
		fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-alpha\r\nContent-Length: %d\r\n\r\n%s}", chatPath, len(hello)+1, hello)
		time.Sleep(writeTimeout + time.Second)
		if e := l.ends(t); len(e) != 1 || e[0].Cause != ending.WriteDeadline || a.Incomplete(ending.WriteDeadline) != 1 {
			t.Errorf("logged %+v, counted %d", e, a.Incomplete(ending.WriteDeadline))
		}
	})
}
