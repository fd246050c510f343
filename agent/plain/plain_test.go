package plain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/agent/plain"
)

func serve(t *testing.T, h http.HandlerFunc, f func(*plain.Options)) *plain.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	o := plain.Default(s.URL)
	if f != nil {
		f(&o)
	}
	c := plain.New(o)
	t.Cleanup(c.Close)
	return c
}

var call = plain.Call{Method: "POST", Path: "/slots?day=1", ContentType: "application/json", Body: []byte(`{"n":1}`), IdempotencyKey: "k1", Request: "r1"}

// sendOnce makes a call on a connection of its own, as for a call that may run only once.
func sendOnce(ctx context.Context, c *plain.Client, k plain.Call) (*plain.Result, error) {
	n, err := c.Connect(ctx)
	if err != nil {
		return nil, err
	}
	defer n.Close()
	return n.Do(ctx, k)
}

// Guards against calls that reach the service changed and answers that are incomplete.
func TestCall(t *testing.T) {
	var got string
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got = strings.Join([]string{r.Method, r.URL.String(), r.Header.Get("Idempotency-Key"), r.Header.Get("Content-Type"), r.Header.Get("X-Request-Id"), string(b)}, " ")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, strings.Repeat("x", 100_000))
	}, nil)
	for name, do := range map[string]func(context.Context, plain.Call) (*plain.Result, error){
		"repeatable": c.Do,
		"once":       func(ctx context.Context, k plain.Call) (*plain.Result, error) { return sendOnce(ctx, c, k) },
	} {
		t.Run(name, func(t *testing.T) {
			r, err := do(t.Context(), call)
			if err != nil || r.StatusCode != 201 || r.ContentType != "text/plain" || len(r.Body) != 100_000 {
				t.Fatalf("got %+v, %v", r, err)
			}
			if want := `POST /slots?day=1 k1 application/json r1 {"n":1}`; got != want {
				t.Fatalf("service got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a call that runs twice because the HTTP client repeats it: a service that
// resets the connection after it has read a call must receive that call only once.
func TestSingleCallIsSentOnce(t *testing.T) {
	var runs atomic.Int32
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}, nil)
	if _, err := sendOnce(t.Context(), c, call); err != nil {
		t.Fatal(err)
	}
	_, err := sendOnce(t.Context(), c, call)
	var u *plain.UnknownError
	if !errors.As(err, &u) || runs.Load() != 2 {
		t.Fatalf("got %v after %d runs, want an unknown outcome after 2", err, runs.Load())
	}
}

// Guards against redirects that send a call a second time.
func TestRedirectIsAnAnswer(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}, nil)
	if r, err := c.Do(t.Context(), call); err != nil || r.StatusCode != 307 {
		t.Fatalf("got %+v, %v", r, err)
	}
}

// Guards against calls that are reported as not-run without proof, and as unknown although
// nothing was sent.
func TestProof(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	refused := plain.New(plain.Default("http://" + l.Addr().String()))
	silent := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}, func(o *plain.Options) { o.IdleTimeout = 20 * time.Millisecond })
	large := serve(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "123456") }, func(o *plain.Options) { o.MaxAnswerBytes = 5 })
	for name, c := range map[string]struct {
		client *plain.Client
		ctx    context.Context
		want   string
	}{
		"refused dial":     {refused, t.Context(), "not-run"},
		"cancelled before": {silent, cancelled, "not-run"},
		"silent":           {silent, t.Context(), "unknown"},
		"too large":        {large, t.Context(), "too-large"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := sendOnce(c.ctx, c.client, call)
			if got := errorKind(err); got != c.want {
				t.Fatalf("got %s (%v), want %s", got, err, c.want)
			}
		})
	}
}

func errorKind(err error) string {
	var (
		n *plain.NotRunError
		u *plain.UnknownError
		l *plain.TooLargeError
	)
	switch {
	case errors.As(err, &n):
		return "not-run"
	case errors.As(err, &u):
		return "unknown"
	case errors.As(err, &l):
		return "too-large"
	}
	return "other"
}

// Reported by operators of similar systems: a service stops in the middle of its answer's head and closes.
// Guards against an answer that counts as whole although it was cut.
func TestAnswerCutAnywhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, text := range map[string]string{
		"with a length": head + "Content-Length: 5\r\n\r\nwhole",
		"in chunks":     head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
		"interim head":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			cut := len(text)
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				n, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(n, text[:cut])
				n.Close()
			}, nil)
			if r, err := sendOnce(t.Context(), c, call); err != nil || string(r.Body) != "whole" {
				t.Fatalf("whole answer: got %+v, %v", r, err)
			}
			for cut = range len(text) {
				if r, err := sendOnce(t.Context(), c, call); errorKind(err) != "unknown" {
					t.Errorf("once, cut after %d bytes: got %+v, %v, want an unknown outcome", cut, r, err)
				}
				if r, err := c.Do(t.Context(), call); errorKind(err) != "unknown" {
					t.Errorf("repeatable, cut after %d bytes: got %+v, %v, want an unknown outcome", cut, r, err)
				}
			}
		})
	}
}
