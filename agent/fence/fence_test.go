package fence_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/fence"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// fakeEngine accepts orders with any token, or fails them with err.
type fakeEngine struct {
	accepted []uint64
	err      error
}

func (f *fakeEngine) Order(_ context.Context, o engine.Order) error {
	if f.err == nil {
		f.accepted = append(f.accepted, o.Token)
	}
	return f.err
}

// harness is a guard with its fakes; tableToken is the highest token in the table.
type harness struct {
	*fence.Guard
	engine        *fakeEngine
	tableToken    ident.FencingToken
	tableDown     bool
	reads         int
	checksFencing bool
}

func newHarness() *harness {
	r := &harness{engine: &fakeEngine{}}
	r.Guard = fence.New(fence.Options{
		Engine: r.engine,
		Tokens: func(context.Context, string) (ident.FencingToken, error) {
			r.reads++
			if r.tableDown {
				return 0, errors.New("table is down")
			}
			return r.tableToken, nil
		},
		ChecksFencing: func() bool { return r.checksFencing },
		Ring:          event.NewRing(event.NewClock(time.Now), "agent-1", 16),
		ReadTimeout:   time.Second,
	})
	return r
}

func (r *harness) order(t *testing.T, token uint64) refuse.Code {
	t.Helper()
	e := r.Order(t.Context(), &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_LOAD, Model: "ipek", Version: "2.1", Lease: "orders", FencingToken: token})
	if e == nil {
		return ""
	}
	return e.Code
}

// Guards against an order of a paused former lease holder that reaches an engine that does
// not check fencing tokens, also right after a restart of the agent.
func TestOldTokenIsRefused(t *testing.T) {
	r := newHarness()
	r.tableToken = 7
	for i, c := range []struct {
		token uint64
		want  refuse.Code
	}{{6, refuse.FencingTokenOld}, {7, ""}, {9, ""}, {8, refuse.FencingTokenOld}, {9, ""}} {
		if got := r.order(t, c.token); got != c.want {
			t.Fatalf("order %d with token %d: %q, want %q", i, c.token, got, c.want)
		}
	}
	if len(r.engine.accepted) != 3 || r.reads != 1 {
		t.Fatalf("engine accepted tokens %v after %d reads of the table, want 3 tokens and 1 read", r.engine.accepted, r.reads)
	}
}

// Guards against orders that are forwarded unchecked because the table is unavailable
// after a restart, and against tokens that are not read once it is available again.
func TestTableDownAfterRestart(t *testing.T) {
	r := newHarness()
	r.tableDown = true
	if got := r.order(t, 5); got != refuse.TableUnavailable {
		t.Fatalf("got %q", got)
	}
	r.tableDown, r.tableToken = false, 6
	if got := r.order(t, 5); got != refuse.FencingTokenOld || len(r.engine.accepted) != 0 {
		t.Fatalf("got %q, engine accepted tokens %v", got, r.engine.accepted)
	}
}

// Guards against orders that are reported as not-run without proof.
func TestRefusalCodes(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		code refuse.Code
		ran  refuse.Ran
	}{
		"old token at the engine": {&engine.StatusError{Status: 409}, refuse.FencingTokenOld, refuse.NotRun},
		"refused dial":            {&engine.DialError{Err: errors.New("refused")}, refuse.UpstreamFailed, refuse.NotRun},
		"no answer":               {&engine.BrokenError{Op: "send", Err: errors.New("reset")}, refuse.OutcomeUnknown, refuse.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.checksFencing, r.engine.err = true, c.err
			e := r.Order(t.Context(), &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_UNLOAD, Lease: "orders", FencingToken: 1})
			if e == nil || e.Code != c.code || e.Ran != c.ran {
				t.Fatalf("got %v", e)
			}
		})
	}
	if e := newHarness().Order(t.Context(), &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_LOAD, Lease: "orders"}); e == nil || e.Code != refuse.BadRequest {
		t.Fatalf("an order without a token got %v", e)
	}
}
