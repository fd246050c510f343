package policy_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/steps"
)

func ref(m, v string) ident.VersionRef {
	return ident.VersionRef{Model: ident.ModelID(m), Version: ident.VersionID(v)}
}

// halter applies halts to the view, as spread.Replica does.
type halter struct {
	mu   sync.Mutex
	view *spread.View
	n    int
}

func (h *halter) Halt(_ context.Context, r ident.VersionRef, reason string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := *h.view
	v.Halts = map[ident.VersionRef]spread.Halt{r: {Version: r, Generation: v.Generation(), Reason: reason}}
	h.view = &v
	h.n++
	return nil
}

func (h *halter) current() *spread.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

func newHalter() *halter {
	a := &envdoc.Account{
		ID: "bursa", Allowed: map[ident.VersionRef]bool{}, Objective: envdoc.ObjectiveCost,
		QualityTarget: 0.8, OnWithdrawn: envdoc.WithdrawnMove, RequestsPerSecond: 5,
	}
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{a.ID: a},
		Models:   map[ident.ModelID]*envdoc.Model{},
		Versions: map[ident.VersionRef]*envdoc.Version{},
		Rollouts: map[ident.RolloutID]*envdoc.Rollout{"r": {
			ID: "r", Model: "small", From: "v1", To: "v2", Steps: []ident.Share{5000, 10000},
			ExposureBound: 10, FalseAlarmRate: 0.01,
		}},
	}
	for m, price := range map[string]ident.MicroCents{"small": 1, "large": 10} {
		d.Models[ident.ModelID(m)] = &envdoc.Model{ID: ident.ModelID(m), Shares: map[ident.VersionID]ident.Share{"v1": 10000}}
		for _, v := range []string{"v1", "v2"} {
			d.Versions[ref(m, v)] = &envdoc.Version{Ref: ref(m, v), State: envdoc.StateLive, OutputPrice: price, QualityPrior: 0.95}
			a.Allowed[ref(m, v)] = true
		}
	}
	return &halter{view: &spread.View{
		Accepted: &spread.AcceptedDocument{Generation: 3, Document: d},
		Halts:    map[ident.VersionRef]spread.Halt{},
		Steps:    map[ident.RolloutID]int{"r": 0},
	}}
}

func start(t *testing.T, h *halter) (*policy.Controller, context.Context) {
	t.Helper()
	o := policy.Default()
	o.Halter = h
	o.View = h.current
	o.Log = zerolog.Nop()
	o.Ring = event.NewRing(event.NewClock(time.Now), "e1", 64)
	o.Membership = func() steps.Membership { return steps.Membership{Entries: 1} }
	o.ExploreEvery = 0
	c := policy.New(o)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = c.Run(ctx) }()
	return c, ctx
}

func query(h *halter, model string, i int) policy.Query {
	v := h.current()
	return policy.Query{
		View: v, Account: v.Document().Accounts["bursa"], Model: model, MaxOutput: 100,
		Request: ident.RequestID(fmt.Sprint("r", i)), Session: ident.SessionID(fmt.Sprint("s", i)),
	}
}

// Guards against a new version in roll-out that serves more sessions than its exposure
// bound, and against new work on it after this entry's own observations led to a halt.
func TestRolloutIsBoundedAndHalted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHalter()
		c, ctx := start(t, h)
		onNew := 0
		for i := range 400 {
			d, err := c.Plan(ctx, query(h, "small", i))
			if err != nil {
				t.Fatal(err)
			}
			if d.Plan.(plan.Single).Version == ref("small", "v2") {
				onNew++
			}
		}
		if onNew != 10 {
			t.Errorf("%d sessions on the new version, want the bound of 10", onNew)
		}
		for range 200 {
			c.Observe(policy.Outcome{Version: ref("small", "v1"), Total: time.Second, Output: 50})
		}
		synctest.Wait()
		for range 60 {
			c.Observe(policy.Outcome{Version: ref("small", "v2"), Failed: true})
		}
		synctest.Wait()
		if h.n != 1 {
			t.Fatalf("halted %d times, want once", h.n)
		}
		for i := range 400 {
			d, err := c.Plan(ctx, query(h, "small", i))
			if err != nil || d.Plan.(plan.Single).Version == ref("small", "v2") {
				t.Fatalf("plan %+v, error %v after the halt", d, err)
			}
		}
	})
}

// Guards against refusals with a wrong reason and against a session that loses its
// pin.
func TestPlanRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(d *envdoc.Document, q *policy.Query)
		code   refuse.Code
		moved  bool
	}{
		"unknown model":     {func(_ *envdoc.Document, q *policy.Query) { q.Model = "huge" }, refuse.ModelUnknown, false},
		"unknown version":   {func(_ *envdoc.Document, q *policy.Query) { q.Model = "small@v9" }, refuse.ModelUnknown, false},
		"not allowed":       {func(_ *envdoc.Document, q *policy.Query) { q.Account.Allowed = nil }, refuse.ModelNotAllowed, false},
		"withdrawn version": {withdrawLarge, refuse.VersionWithdrawn, false},
		"session refused": {func(d *envdoc.Document, q *policy.Query) {
			withdrawLarge(d, q)
			q.Pin = ref("large", "v1")
			q.Account.OnWithdrawn = envdoc.WithdrawnRefuse
		}, refuse.SessionVersionWithdrawn, false},
		"session moved": {func(d *envdoc.Document, q *policy.Query) {
			withdrawLarge(d, q)
			d.Versions[ref("large", "v1")].Fallback = ref("large", "v2")
			q.Pin = ref("large", "v1")
		}, "", true},
		"session kept": {func(_ *envdoc.Document, q *policy.Query) { q.Pin = ref("large", "v2") }, "", false},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHalter()
			c, ctx := start(t, h)
			q := query(h, "large@v1", 1)
			x.change(h.view.Document(), &q)
			d, err := c.Plan(ctx, q)
			if x.code == "" {
				if err != nil || d.Moved != x.moved || d.Pin != ref("large", "v2") {
					t.Errorf("decision %+v, error %v", d, err)
				}
				return
			}
			r, ok := refuse.As(err)
			if !ok || r.Code != x.code || r.Ran != refuse.NotRun {
				t.Errorf("error %v, want %s not-run", err, x.code)
			}
		})
	}
}

func withdrawLarge(d *envdoc.Document, _ *policy.Query) {
	d.Versions[ref("large", "v1")].State = envdoc.StateWithdrawn
}

// Guards against admitting an account over its limit, and against a refusal without a
// time to retry after.
func TestAdmitLimitsAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHalter()
		c, ctx := start(t, h)
		a := h.current().Document().Accounts["bursa"]
		admitted := 0
		for range 100 {
			_, err := c.Admit(ctx, a, policy.RequestSize{Input: 10})
			if err == nil {
				admitted++
				continue
			}
			if r, ok := refuse.As(err); !ok || r.Code != refuse.RateLimited || r.RetryAfter <= 0 {
				t.Fatalf("error %v, want a rate limit with a retry time", err)
			}
		}
		if admitted != 10 {
			t.Errorf("admitted %d at once, want the burst of 10", admitted)
		}
	})
}
