package engine_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/core/inlet"
)

// answerWith returns a handler that sends a text as it is and closes the connection.
func answerWith(t *testing.T, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		n, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		io.WriteString(n, text)
		n.Close()
	}
}

// Guards against a malformed answer of an engine that begins a stream or accepts an order, and against one
// that proves that nothing ran.
func TestMalformedAnswers(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n\r\n" + finishEvent + "\n" + doneEvent + "\n"
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n" + events,
		"status 000, refusal":    "HTTP/1.1 000 Bad Request\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Y: z\r\n" + events,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01: z\r\n" + events,
		"blank, refusal":         "HTTP/1.1 503 Busy\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, answerWith(t, text), nil)
			_, started := c.Start(t.Context(), request)
			for op, err := range map[string]error{"stream": started, "order": c.Order(t.Context(), engine.Order{Kind: "load"})} {
				var b *engine.BrokenError
				var m *inlet.MalformedError
				if !errors.As(err, &b) || !errors.As(err, &m) || engine.ProvenNotRun(err) {
					t.Errorf("%s: got %v, want a *BrokenError by a *MalformedError", op, err)
				}
			}
		})
	}
}

// Guards against an order that counts as accepted by an answer that is cut.
func TestOrderCut(t *testing.T) {
	c := newClient(t, answerWith(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"), nil)
	err := c.Order(t.Context(), engine.Order{Kind: "load"})
	var b *engine.BrokenError
	if !errors.As(err, &b) || engine.ProvenNotRun(err) {
		t.Errorf("got %v, want a *BrokenError", err)
	}
}
