package flood_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tarragonvalve.example/standin/flood"
)

// send sends a response over loopback. It returns the client's end of the connection; the number of bytes arrives in
// done.
func send(t *testing.T, s flood.Sender) (c net.Conn, done <-chan int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	k, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan int64, 1)
	go func() {
		n, err := s.Send(k)
		if err != nil {
			t.Errorf("send %s: %v", s.Part, err)
		}
		sent <- n
	}()
	return c, sent
}

// Guards against senders that go on past their bound in bytes, and against endless parts that end as a whole answer.
func TestBytes(t *testing.T) {
	t.Parallel()
	const limit = 1 << 20
	for _, p := range flood.Parts() {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			c, sent := send(t, flood.Sender{Part: p, Body: "fine", Budget: flood.NewBudget(limit), Time: time.Minute, Block: 4 << 10})
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			for err == nil && a.StatusCode == http.StatusEarlyHints {
				// Further interim answers come until the reset, which ends the wait for the sender.
				if _, err = io.Copy(io.Discard, c); err == nil {
					t.Error("interim answers ended without a reset")
				}
			}
			var body []byte
			if err == nil {
				body, err = io.ReadAll(a.Body)
			}
			if whole := err == nil && string(body) == "fine"; whole != p.EndsWhole() {
				t.Errorf("whole answer: %v; error %v", whole, err)
			}
			// The rest is read until the end, as the sender must not fail before its bound.
			_, _ = io.Copy(io.Discard, c)
			if n := <-sent; n > limit {
				t.Errorf("sent %d bytes, bound %d", n, limit)
			}
		})
	}
}

// Guards against senders whose peer doesn't read and that go on past their bound in time.
func TestTime(t *testing.T) {
	t.Parallel()
	_, sent := send(t, flood.Sender{Part: flood.BodyByClose, Budget: flood.NewBudget(1 << 30), Time: 50 * time.Millisecond, Block: 64 << 10})
	select {
	case <-sent:
	case <-time.After(30 * time.Second):
		t.Error("the sender has not ended")
	}
}
