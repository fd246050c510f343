package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/relay"
)

// Guards against a status that promises that a request did not run for one that may have run.
func TestStatusOfDrainLimit(t *testing.T) {
	for name, c := range map[string]struct {
		ran    refuse.Ran
		status int
	}{
		"not run": {refuse.NotRun, http.StatusServiceUnavailable},
		"unknown": {refuse.Unknown, http.StatusBadGateway},
		"ran":     {refuse.DidRun, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t)
			f.chat = func(context.Context, relay.Chat, relay.Sink) (*relay.Answer, error) {
				return nil, refuse.New(refuse.Draining, c.ran, "stopped")
			}
			if w := f.do("POST", chatPath, hello+`}`); w.Code != c.status {
				t.Errorf("status %d, want %d", w.Code, c.status)
			}
		})
	}
}

// abortableServer serves an API whose requests the returned function cancels.
func abortableServer(t *testing.T, a *API) (addr string, abortAll context.CancelCauseFunc) {
	t.Helper()
	base, cancel := context.WithCancelCause(context.Background())
	v := httptest.NewUnstartedServer(a)
	v.Config.BaseContext = func(net.Listener) context.Context { return base }
	v.Start()
	t.Cleanup(func() {
		cancel(nil)
		v.Close()
	})
	return v.Listener.Addr().String(), cancel
}

// Guards against a connection that is closed without an answer at the drain limit since the entry still
// waits for the rest of the body.
func TestBodyAtDrainLimit(t *testing.T) {
	f := newFake(t)
	a := f.api()
	addr, abortAll := abortableServer(t, a)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-alpha\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", chatPath)
	for a.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	abortAll(abort.ErrDrained)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	var b errorBody
	if err := json.NewDecoder(p.Body).Decode(&b); err != nil {
		t.Fatal(err)
	}
	if p.StatusCode != http.StatusServiceUnavailable || b.Error.Code != refuse.Draining || b.Error.Ran != refuse.NotRun || f.reached != 0 {
		t.Errorf("status %d, %+v, reached %d times", p.StatusCode, b.Error, f.reached)
	}
}
