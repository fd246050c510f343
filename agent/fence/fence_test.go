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

// fake is an engine that ignores fencing tokens.
type fake struct {
	passed []uint64
	err    error
}

func (f *fake) Order(_ context.Context, o engine.Order) error {
	if f.err == nil {
		f.passed = append(f.passed, o.Token)
	}
	return f.err
}

type rig struct {
	*fence.Guard
	engine *fake
	table  ident.FencingToken
	down   bool
	reads  int
	checks bool
}

func newRig() *rig {
	r := &rig{engine: &fake{}}
	r.Guard = fence.New(fence.Options{
		Engine: r.engine,
		Tokens: func(context.Context, string) (ident.FencingToken, error) {
			r.reads++
			if r.down {
				return 0, errors.New("table is down")
			}
			return r.table, nil
		},
		ChecksFencing: func() bool { return r.checks },
		Ring:          event.NewRing(event.NewClock(time.Now), "agent-1", 16),
		ReadLimit:     time.Second,
	})
	return r
}

func (r *rig) order(t *testing.T, token uint64) refuse.Code {
	t.Helper()
	e := r.Order(t.Context(), &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_LOAD, Model: "ipek", Version: "2.1", Lease: "orders", FencingToken: token})
	if e == nil {
		return ""
	}
	return e.Code
}

// Guards against an order of a paused former holder that reaches an engine
// which ignores fencing tokens, also right after the agent restarted.
func TestOldTokens(t *testing.T) {
	r := newRig()
	r.table = 7
	for i, c := range []struct {
		token uint64
		want  refuse.Code
	}{{6, refuse.FencingTokenOld}, {7, ""}, {9, ""}, {8, refuse.FencingTokenOld}, {9, ""}} {
		if got := r.order(t, c.token); got != c.want {
			t.Fatalf("order %d with token %d: %q, want %q", i, c.token, got, c.want)
		}
	}
	if len(r.engine.passed) != 3 || r.reads != 1 {
		t.Fatalf("passed %v after %d reads", r.engine.passed, r.reads)
	}
}

// Guards against orders that pass unchecked because the table is down after a
// restart, and against an agent that stays blind afterwards.
func TestTableDownAfterRestart(t *testing.T) {
	r := newRig()
	r.down = true
	if got := r.order(t, 5); got != refuse.TableUnavailable {
		t.Fatalf("got %q", got)
	}
	r.down, r.table = false, 6
	if got := r.order(t, 5); got != refuse.FencingTokenOld || len(r.engine.passed) != 0 {
		t.Fatalf("got %q, passed %v", got, r.engine.passed)
	}
}

// Guards against outcomes of orders that are reported as not-run without proof.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		code refuse.Code
		ran  refuse.Ran
	}{
		"old token at the engine": {&engine.RefusedError{Status: 409}, refuse.FencingTokenOld, refuse.NotRun},
		"refused dial":            {&engine.DialError{Err: errors.New("refused")}, refuse.UpstreamFailed, refuse.NotRun},
		"no answer":               {&engine.BrokenError{Op: "send", Err: errors.New("reset")}, refuse.OutcomeUnknown, refuse.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.checks, r.engine.err = true, c.err
			e := r.Order(t.Context(), &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_UNLOAD, Lease: "orders", FencingToken: 1})
			if e == nil || e.Code != c.code || e.Ran != c.ran {
				t.Fatalf("got %v", e)
			}
		})
	}
	if e := newRig().Order(t.Context(), &wire.OrderRequest{Kind: wire.OrderKind_ORDER_KIND_LOAD, Lease: "orders"}); e == nil || e.Code != refuse.BadRequest {
		t.Fatalf("an order without a token got %v", e)
	}
}
