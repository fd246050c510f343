package fence_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/agent/fence"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/lease"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/wire"
)

const (
	// readLimit bounds a read of the table in the tests, ownStop is how long this process is stopped.
	readLimit = 500 * time.Millisecond
	ownStop   = time.Second
	// unread is for how long what arrived during a stop is not read after it. It is less than the step of a timer of
	// readLimit, a fifth of it.
	unread = 20 * time.Millisecond
)

// newGuard returns a guard that reads tokens by read, whose context ends as that of the table's client does: by the wall
// clock.
func newGuard(read func(ctx context.Context) (ident.FencingToken, error)) *harness {
	r := &harness{engine: &fakeEngine{}}
	r.Guard = fence.New(fence.Options{
		Engine: r.engine,
		Tokens: func(ctx context.Context, name string) (ident.FencingToken, error) {
			ctx, stop := context.WithTimeout(ctx, readLimit)
			defer stop()
			r.reads++
			token, err := read(ctx)
			if err == nil {
				err = ctx.Err()
			}
			if err != nil {
				return 0, fmt.Errorf("read lease %s: %w", name, err)
			}
			return token, nil
		},
		ChecksFencing: func() bool { return false },
		Ring:          event.NewRing(event.NewClock(time.Now), "agent-1", 16),
		ReadTimeout:   readLimit,
	})
	return r
}

// stopOnce returns a function that stops this process when it is called for the first time.
func stopOnce(t *testing.T) func() {
	return sync.OnceFunc(func() {
		if err := exec.Command("sh", "-c", fmt.Sprintf("kill -STOP $PPID; sleep %g; kill -CONT $PPID", ownStop.Seconds())).Run(); err != nil {
			t.Error(err)
		}
		time.Sleep(unread)
	})
}

// newTable returns a client of a table without rows, which calls f for each request.
func newTable(t *testing.T, f func()) *table.Dynamo {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		f()
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		io.WriteString(w, "{}")
	}))
	t.Cleanup(s.Close)
	return table.NewDynamo(table.Options{Endpoint: s.URL, Table: "t", Region: "local", AccessKey: "a", SecretKey: "s", Timeout: readLimit})
}

// Guards against an order that is refused because this process was stopped while it read the highest token. An entry sends a
// refused load again only after minutes.
func TestReadWhileStopped(t *testing.T) {
	for name, read := range map[string]func(*testing.T) func(context.Context) (ident.FencingToken, error){
		"answer in time": func(t *testing.T) func(context.Context) (ident.FencingToken, error) {
			stop := stopOnce(t)
			return func(context.Context) (ident.FencingToken, error) { stop(); return 6, nil }
		},
		"client of the table": func(t *testing.T) func(context.Context) (ident.FencingToken, error) {
			d := newTable(t, stopOnce(t))
			return func(ctx context.Context) (ident.FencingToken, error) { return lease.HighestToken(ctx, d, "orders") }
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGuard(read(t))
			if got := r.order(t, 6); got != "" || len(r.engine.accepted) != 1 {
				t.Errorf("got %q, engine accepted tokens %v", got, r.engine.accepted)
			}
			if got := r.order(t, 5); got != refuse.FencingTokenOld || len(r.engine.accepted) != 1 {
				t.Errorf("old token: got %q, engine accepted tokens %v", got, r.engine.accepted)
			}
		})
	}
}

// Guards against an order that waits for a table without answers longer than that may take, or after its sender has left,
// against one that is forwarded unchecked after it, and against failed reads that are repeated.
func TestReadOfSilentTable(t *testing.T) {
	silent := func(ctx context.Context) (ident.FencingToken, error) { <-ctx.Done(); return 0, ctx.Err() }
	down := errors.New("table is down")
	for name, c := range map[string]struct {
		read           func(ctx context.Context) (ident.FencingToken, error)
		deadline, want time.Duration
		reads          int
	}{
		// The second read, if any, is ended by the read timeout at once.
		"no answer":    {silent, time.Minute, 2 * readLimit, 2},
		"sender's end": {silent, readLimit / 5, readLimit, 1},
		"failure":      {func(context.Context) (ident.FencingToken, error) { return 0, down }, time.Minute, readLimit, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGuard(c.read)
			ctx, stop := context.WithTimeout(t.Context(), c.deadline)
			defer stop()
			start := time.Now()
			e := r.Order(ctx, &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_LOAD, Lease: "orders", FencingToken: 6})
			if e == nil || e.Code != refuse.TableUnavailable || e.Ran != refuse.NotRun || len(r.engine.accepted) != 0 {
				t.Errorf("got %v, engine accepted tokens %v", e, r.engine.accepted)
			}
			if d := time.Since(start); d > c.want {
				t.Errorf("refused after %s", d)
			}
			if r.reads > c.reads {
				t.Errorf("%d reads, want at most %d", r.reads, c.reads)
			}
		})
	}
}
