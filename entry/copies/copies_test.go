package copies_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/copies"
)

// TestMain fixes the seed of the property tests, so that every run checks the same
// cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}

func ref(v string) ident.VersionRef {
	return ident.VersionRef{Model: "m", Version: ident.VersionID(v)}
}

// view returns a view with versions v1 to v6, of which v1 and v2 have a share and v3
// is in roll-out.
func view() *spread.View {
	d := &envdoc.Document{
		Models: map[ident.ModelID]*envdoc.Model{
			"m": {ID: "m", Shares: map[ident.VersionID]ident.Share{"v1": 5000, "v2": 5000}},
		},
		Versions: map[ident.VersionRef]*envdoc.Version{},
		Rollouts: map[ident.RolloutID]*envdoc.Rollout{"r": {ID: "r", Model: "m", From: "v1", To: "v3"}},
	}
	for i := range 6 {
		r := ref(fmt.Sprint("v", i+1))
		d.Versions[r] = &envdoc.Version{Ref: r, State: envdoc.StateLive}
	}
	return &spread.View{Accepted: &spread.AcceptedDocument{Generation: 1, Document: d}}
}

func count(us []copies.Upstream, r ident.VersionRef) int {
	n := 0
	for _, u := range us {
		if slices.Contains(u.Loaded, r) {
			n++
		}
	}
	return n
}

// apply carries out orders as the engines would.
func apply(us []copies.Upstream, orders []copies.Order) {
	for _, o := range orders {
		switch o := o.(type) {
		case copies.Load:
			i := slices.IndexFunc(us, func(u copies.Upstream) bool { return u.ID == o.Upstream })
			us[i].Loaded = append(us[i].Loaded, o.Version)
		case copies.Unload:
			i := slices.IndexFunc(us, func(u copies.Upstream) bool { return u.ID == o.Upstream })
			us[i].Loaded = slices.DeleteFunc(us[i].Loaded, func(r ident.VersionRef) bool { return r == o.Version })
		}
	}
}

// Guards against unloading the last copy of a version that sessions may be pinned to,
// against loading more versions than an engine may hold, and against versions that
// never get their copies.
func TestOrdersKeepLastCopyAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view()
		us := make([]copies.Upstream, rapid.IntRange(3, 8).Draw(t, "upstreams"))
		for i := range us {
			us[i] = copies.Upstream{ID: ident.UpstreamID(fmt.Sprint("u", i)), Domain: ident.DomainID(fmt.Sprint("d", i%3)), Slots: 4}
			for j := range 6 {
				if len(us[i].Loaded) < 4 && rapid.Bool().Draw(t, "loaded") {
					us[i].Loaded = append(us[i].Loaded, ref(fmt.Sprint("v", j+1)))
				}
			}
		}
		s := copies.NewState()
		now := time.Unix(0, 0)
		for range 400 {
			before := slices.Clone(us)
			var orders []copies.Order
			s, orders = copies.Next(s, v, us, now)
			held := map[ident.VersionRef]int{}
			for r := range v.Document().Versions {
				held[r] = count(before, r)
			}
			apply(us, orders)
			for r, n := range held {
				if n > 0 && count(us, r) == 0 {
					t.Fatalf("orders %+v evicted the last copy of %s", orders, r)
				}
			}
			for _, u := range us {
				if len(u.Loaded) > 4 {
					t.Fatalf("%s holds %d versions", u.ID, len(u.Loaded))
				}
			}
			now = now.Add(2 * time.Second)
		}
		for _, r := range []ident.VersionRef{ref("v1"), ref("v2"), ref("v3")} {
			if count(us, r) < 2 {
				t.Fatalf("%s has %d copies after 400 rounds: %+v", r, count(us, r), us)
			}
		}
	})
}

// Guards against a version that gets no further copy although all its copies have long
// been busy, against loading a copy for a short peak, and against ordering the same
// load twice.
func TestBusyVersionGetsOneMoreCopy(t *testing.T) {
	v := view()
	v.Document().Rollouts = nil
	v.Document().Models["m"].Shares = map[ident.VersionID]ident.Share{"v1": 10_000}
	us := []copies.Upstream{
		{ID: "a", Domain: "d1", Slots: 2, Running: 2, Queued: 5, Loaded: []ident.VersionRef{ref("v1")}},
		{ID: "b", Domain: "d2", Slots: 2, Running: 2, Queued: 5, Loaded: []ident.VersionRef{ref("v1")}},
		{ID: "c", Domain: "d1", Slots: 2},
		{ID: "d", Domain: "d3", Slots: 2},
	}
	s := copies.NewState()
	var got []copies.Order
	now := time.Unix(0, 0)
	for i := range 8 {
		var orders []copies.Order
		s, orders = copies.Next(s, v, us, now)
		if i < 5 && len(orders) > 0 {
			t.Fatalf("orders %+v after %d s of load", orders, 2*i)
		}
		got = append(got, orders...)
		now = now.Add(2 * time.Second)
	}
	want := copies.Load{Upstream: "d", Version: ref("v1")}
	if len(got) == 0 || got[0] != copies.Order(want) {
		t.Fatalf("orders %+v, want first %+v", got, want)
	}
	if slices.Contains(got[1:], copies.Order(want)) {
		t.Errorf("orders %+v repeat a load in progress", got)
	}
}
