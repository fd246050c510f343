package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/late"
)

const (
	// callLimit is the call timeout of the tests, ownStop how long this process is stopped.
	callLimit = 500 * time.Millisecond
	ownStop   = time.Second
	// unread is for how long what arrived during a stop is not read after it. It is less than the step of a timer of
	// callLimit, a fifth of it.
	unread = 20 * time.Millisecond
	// pollInterval is the time between two reports.
	pollInterval = 100 * time.Millisecond
)

// stopSelf stops this process for d. A shell continues it.
func stopSelf(t *testing.T, d time.Duration) {
	t.Helper()
	if err := exec.Command("sh", "-c", fmt.Sprintf("kill -STOP $PPID; sleep %g; kill -CONT $PPID", d.Seconds())).Run(); err != nil {
		t.Error(err)
	}
	time.Sleep(unread)
}

// measureLateness sets the option Late until the test ends.
func measureLateness(t *testing.T, o *engine.Options) {
	t.Helper()
	m := late.New(late.Monotonic(), discard)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	o.Late = m.Lateness
}

// Guards against a short call that fails because this process was stopped during it: of an order it is then unknown whether
// the engine has it, and a cancelled stream goes on.
func TestCallWhileStopped(t *testing.T) {
	for name, do := range map[string]func(*engine.Client) error{
		"report": func(c *engine.Client) error { _, err := c.Load(t.Context()); return err },
		"order":  func(c *engine.Client) error { return c.Order(t.Context(), engine.Order{Kind: "load"}) },
		"cancel": func(c *engine.Client) error { return c.Cancel(t.Context(), "r1-2") },
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				stopSelf(t, ownStop)
				io.WriteString(w, "{}")
			}, func(o *engine.Options) { o.CallTimeout = callLimit; measureLateness(t, o) })
			if err := do(c); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against an engine without an answer to a short call that is waited for, and against an error from which its callers
// can't tell why.
func TestCallOfSilentEngine(t *testing.T) {
	for name, begun := range map[string]bool{"before the answer": false, "within the answer": true} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				if begun {
					writeLines(w, "{")
				}
				<-r.Context().Done()
			}, func(o *engine.Options) { o.CallTimeout = callLimit })
			start := time.Now()
			_, err := c.Load(t.Context())
			var b *engine.BrokenError
			var e *clock.TimeoutError
			if !errors.As(err, &b) || !errors.As(err, &e) {
				t.Errorf("got %v", err)
			}
			if d := time.Since(start); d > 2*callLimit {
				t.Errorf("given up after %s", d)
			}
		})
	}
}

// Guards against an engine that is reported unreachable, without models, because this process was stopped twice while it read
// reports, and against one that stops answering after that and stays reachable.
func TestReportsOfStoppedProcess(t *testing.T) {
	var asked atomic.Int32
	var silent atomic.Bool
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		if r.URL.Path != "/load" {
			io.WriteString(w, `{"data":[{"id":"ipek@2.1"}]}`)
			return
		}
		if n := asked.Add(1); n == 2 || n == 3 {
			stopSelf(t, ownStop)
		}
		io.WriteString(w, "{}")
	}, func(o *engine.Options) { o.CallTimeout = callLimit; measureLateness(t, o) })
	m := engine.NewMonitor(c, pollInterval, discard)
	started := m.Changed()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	defer func() { stop(); <-done }()
	<-started
	changed := m.Changed()
	if r := m.Report(); !r.Reachable || len(r.Loaded) != 1 {
		t.Fatalf("first report: %+v", r)
	}
	select {
	case <-changed:
		t.Fatalf("a stop changed the report to %+v", m.Report())
	case <-time.After(2*ownStop + 2*callLimit):
	}
	if n := asked.Load(); n < 4 {
		t.Fatalf("%d reports were read, want 4 or more", n)
	}
	silent.Store(true)
	select {
	case <-changed:
	case <-time.After(2*callLimit + 2*pollInterval):
		t.Fatal("a silent engine stays reachable")
	}
	if r := m.Report(); r.Reachable || len(r.Loaded) != 0 {
		t.Errorf("report of a silent engine: %+v", r)
	}
}
