package plain_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/agent/plain"
)

const (
	// idleLimit is the idle timeout of the tests, ownStop how long this process is stopped.
	idleLimit = time.Second
	ownStop   = 1500 * time.Millisecond
	// unread is for how long what arrived during the stop is not read after it. It is less than the step of a timer of
	// idleLimit, a fifth of it.
	unread = 20 * time.Millisecond
)

// stopSelf stops this process for d. A shell continues it.
func stopSelf(d time.Duration) error {
	return exec.Command("sh", "-c", fmt.Sprintf("kill -STOP $PPID; sleep %g; kill -CONT $PPID", d.Seconds())).Run()
}

// Guards against a service that counts as silent by time in which this process was stopped: the outcome of the call is
// then unknown although its answer has arrived, and a call that may run only once can't be repeated.
func TestIdleWhileStopped(t *testing.T) {
	for name, c := range map[string]struct{ once, begun bool }{
		"repeatable, before the answer": {},
		"repeatable, within the answer": {begun: true},
		"once, before the answer":       {once: true},
		"once, within the answer":       {once: true, begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Length", "5")
				rest := "whole"
				if c.begun {
					rest = "ole"
					io.WriteString(w, "wh")
					http.NewResponseController(w).Flush()
					time.Sleep(idleLimit / 10) // until it is read
				}
				if err := stopSelf(ownStop); err != nil {
					t.Error(err)
				}
				time.Sleep(unread)
				io.WriteString(w, rest)
			}, func(o *plain.Options) { o.IdleTimeout = idleLimit })
			do := client.Do
			if c.once {
				do = func(ctx context.Context, k plain.Call) (*plain.Result, error) { return sendOnce(ctx, client, k) }
			}
			if r, err := do(t.Context(), call); err != nil || string(r.Body) != "whole" {
				t.Errorf("got %+v, %v", r, err)
			}
		})
	}
}

// Guards against a service that stays silent after a stop of this process and is not given up.
func TestSilentAfterStop(t *testing.T) {
	var stopped atomic.Int64
	client := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if err := stopSelf(ownStop); err != nil {
			t.Error(err)
		}
		stopped.Store(time.Now().UnixNano())
		<-r.Context().Done()
	}, func(o *plain.Options) { o.IdleTimeout = idleLimit })
	r, err := sendOnce(t.Context(), client, call)
	if errorKind(err) != "unknown" {
		t.Fatalf("got %+v, %v", r, err)
	}
	// Twice the idle timeout is the bound of decision 0016 for a silent peer.
	if d := time.Since(time.Unix(0, stopped.Load())); d > 2*idleLimit {
		t.Errorf("given up %s after the stop", d)
	}
}
