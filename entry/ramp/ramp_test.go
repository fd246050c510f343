package ramp_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/entry/ramp"
	"tarragonvalve.example/entry/steps"
)

type lease struct{ held atomic.Bool }

func (l *lease) Held() (ident.FencingToken, bool) { return 1, l.held.Load() }

type control struct{ view atomic.Pointer[spread.View] }

func (n *control) View() *spread.View { return n.view.Load() }

func (n *control) RecordStep(_ context.Context, _ ident.Generation, r ident.RolloutID, step int) error {
	v := *n.view.Load()
	v.Steps = map[ident.RolloutID]int{r: max(step, v.Steps[r])}
	n.view.Store(&v)
	return nil
}

func newControl(step int) *control {
	to := ident.VersionRef{Model: "m", Version: "v2"}
	n := &control{}
	n.view.Store(&spread.View{
		Accepted: &spread.AcceptedDocument{Generation: 5, Document: &envdoc.Document{
			Versions: map[ident.VersionRef]*envdoc.Version{to: {Ref: to, State: envdoc.StateLive}},
			Rollouts: map[ident.RolloutID]*envdoc.Rollout{"r": {
				ID: "r", Model: "m", From: "v1", To: "v2", Steps: []ident.Share{100, 1000, 10000},
				StepTime: time.Minute, MinSamples: 10,
			}},
		}},
		Steps: map[ident.RolloutID]int{"r": step},
	})
	return n
}

// Guards against a roll-out that is advanced by an instance without the lease, against
// one that stalls when another instance takes the lease over, and against losing a
// step that was carried over to a new generation and is not in the table yet.
func TestRunnerAdvancesOnlyUnderLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := accept.New(memory.New(), "test")
		a, b := newControl(1), newControl(0)
		la, lb := &lease{}, &lease{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := func(l *lease, n *control) {
			samples := 0
			r := ramp.New(ramp.Options{
				Lease: l, Store: store, Control: n, Now: time.Now, Log: zerolog.Nop(),
				Membership: func() steps.Membership { return steps.Membership{Entries: 2} },
				Samples:    func(context.Context, ident.VersionRef) int { samples++; return samples },
			})
			go func() { _ = r.Run(ctx) }()
		}
		start(la, a)
		start(lb, b)
		stored := func() int {
			m, err := store.Steps(t.Context(), 5)
			if err != nil {
				t.Fatal(err)
			}
			return m["r"]
		}
		time.Sleep(5 * time.Minute)
		if got := stored(); got != 0 {
			t.Fatalf("step %d without a holder, want 0", got)
		}
		la.held.Store(true)
		time.Sleep(5 * time.Second)
		if got := stored(); got != 1 {
			t.Fatalf("step %d after a carried step, want 1", got)
		}
		la.held.Store(false)
		lb.held.Store(true)
		time.Sleep(70 * time.Second)
		if got := stored(); got != 2 {
			t.Fatalf("step %d a minute after the new holder took over, want 2", got)
		}
		if got := a.View().Steps["r"]; got != 1 {
			t.Errorf("the former holder advanced to step %d", got)
		}
	})
}
