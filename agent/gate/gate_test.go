package gate_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

const seed = "4101"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("property seed", seed)
	os.Exit(m.Run())
}

var (
	now = time.UnixMilli(1_800_000_000_000)
	ref = ident.VersionRef{Model: "ipek", Version: "2.1"}
)

func view(g ident.Generation, state envdoc.VersionState) *spread.View {
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{
			"denizli": {ID: "denizli", Weight: 1, Allowed: map[ident.VersionRef]bool{ref: true}, Services: map[ident.ServiceID]bool{"stock": true}},
			"kale":    {ID: "kale", Weight: 1},
		},
		Models:   map[ident.ModelID]*envdoc.Model{"ipek": {ID: "ipek"}},
		Versions: map[ident.VersionRef]*envdoc.Version{ref: {Ref: ref, State: state, CancelRunning: true}},
		Services: map[ident.ServiceID]*envdoc.Service{"stock": {ID: "stock", Calls: []envdoc.CallRule{
			{Method: "GET", PathPrefix: "/items", Repeatable: true},
			{Method: "POST", PathPrefix: "/items"},
		}}},
	}
	return &spread.View{Accepted: &spread.AcceptedDocument{Generation: g, Document: d}}
}

func halted(v *spread.View) *spread.View {
	v.Halts = map[ident.VersionRef]spread.Halt{ref: {Version: ref, Generation: v.Generation()}}
	return v
}

// Guards against a check on arrival that is missing, runs in the wrong order, or refuses
// with the wrong code.
func TestArrival(t *testing.T) {
	good := gate.Work{Account: "denizli", Version: ref, Generation: 3, Deadline: now.Add(time.Second)}
	with := func(f func(*gate.Work)) gate.Work {
		w := good
		f(&w)
		return w
	}
	live := view(3, envdoc.StateLive)
	for name, c := range map[string]struct {
		state gate.Snapshot
		work  gate.Work
		want  refuse.Code
	}{
		"good":             {gate.Snapshot{View: live}, good, ""},
		"no document":      {gate.Snapshot{View: &spread.View{}}, good, refuse.NoDocument},
		"stale generation": {gate.Snapshot{View: view(4, envdoc.StateLive)}, good, refuse.StaleGeneration},
		"agent behind":     {gate.Snapshot{View: view(2, envdoc.StateLive)}, good, refuse.AgentBehind},
		"draining":         {gate.Snapshot{View: live, Draining: true}, good, refuse.Draining},
		"ledger full":      {gate.Snapshot{View: live, LedgerFull: true}, good, refuse.LedgerFull},
		"withdrawn":        {gate.Snapshot{View: view(3, envdoc.StateWithdrawn)}, good, refuse.VersionWithdrawn},
		"halted":           {gate.Snapshot{View: halted(view(3, envdoc.StateLive))}, good, refuse.VersionHalted},
		"late":             {gate.Snapshot{View: live}, with(func(w *gate.Work) { w.Deadline = now }), refuse.DeadlineExceeded},
		"unknown model":    {gate.Snapshot{View: live}, with(func(w *gate.Work) { w.Version.Model = "other" }), refuse.ModelUnknown},
		"not allowed":      {gate.Snapshot{View: live}, with(func(w *gate.Work) { w.Account = "kale" }), refuse.ModelNotAllowed},
		"unknown account":  {gate.Snapshot{View: live}, with(func(w *gate.Work) { w.Account = "other" }), refuse.ModelNotAllowed},
		"call": {gate.Snapshot{View: live}, with(func(w *gate.Work) {
			w.Version, w.Service, w.Method, w.Path = ident.VersionRef{}, "stock", "GET", "/items/1"
		}), ""},
		"call without rule": {gate.Snapshot{View: live}, with(func(w *gate.Work) {
			w.Service, w.Method, w.Path = "stock", "DELETE", "/items/1"
		}), refuse.ServiceNotAllowed},
		"call not allowed": {gate.Snapshot{View: live}, with(func(w *gate.Work) {
			w.Account, w.Service, w.Method, w.Path = "kale", "stock", "GET", "/items/1"
		}), refuse.ServiceNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			c.state.Now = now
			e := gate.CheckArrival(c.state, c.work)
			if c.want == "" {
				if e != nil {
					t.Fatalf("refused: %v", e)
				}
				return
			}
			if e == nil || e.Code != c.want || e.Ran != refuse.NotRun || e.Generation != c.state.View.Generation() {
				t.Fatalf("got %+v, want %s, not-run, generation %d", e, c.want, c.state.View.Generation())
			}
		})
	}
}

// Guards against work that passes any check although the version is withdrawn or halted,
// the account may not use it, or the deadline has passed.
func TestNoCheckPassesForbiddenWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		state := rapid.SampledFrom([]envdoc.VersionState{envdoc.StateLive, envdoc.StateWithdrawn}).Draw(r, "state")
		v := view(ident.Generation(rapid.IntRange(1, 3).Draw(r, "generation")), state)
		isHalted := rapid.Bool().Draw(r, "halt")
		if isHalted {
			halted(v)
		}
		a := ident.AccountID(rapid.SampledFrom([]string{"denizli", "kale", "other"}).Draw(r, "account"))
		left := time.Duration(rapid.IntRange(-2, 2).Draw(r, "left")) * time.Second
		s := gate.Snapshot{
			View:       v,
			Draining:   rapid.Bool().Draw(r, "draining"),
			LedgerFull: rapid.Bool().Draw(r, "full"),
			Now:        now,
		}
		w := gate.Work{
			Account:    a,
			Version:    ref,
			Generation: ident.Generation(rapid.IntRange(1, 3).Draw(r, "planned")),
			Deadline:   now.Add(left),
		}
		permitted := state == envdoc.StateLive && !isHalted && a == "denizli" && left > 0
		if got := gate.CheckQueued(s, w) == nil; got != permitted {
			r.Fatalf("CheckQueued passes: %v, want %v", got, permitted)
		}
		if got := gate.CheckDispatch(s, w) == nil; got != (permitted && !s.LedgerFull) {
			r.Fatalf("CheckDispatch passes: %v, want the opposite", got)
		}
		want := permitted && !s.LedgerFull && !s.Draining && w.Generation == v.Generation()
		if got := gate.CheckArrival(s, w) == nil; got != want {
			r.Fatalf("CheckArrival passes: %v, want %v", got, want)
		}
	})
}
