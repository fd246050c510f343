package proof_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/engine"
)

// Guards against an unloaded version that is not loaded again, and against engines that execute
// orders of a former holder of the lease. The latter also concerns engines that don't check
// fencing tokens.
func TestOrders(t *testing.T) {
	f := fleet.Start(t, fleet.Default())
	at := f.Engine(0)
	unload(t, f.Addr.Engines[at.ID], fleet.Quick1)
	loads := func() []engine.OrderRecord {
		var out []engine.OrderRecord
		for _, o := range f.Orders() {
			if o.Kind == "load" && o.Model == fleet.Quick1.Model && o.Version == fleet.Quick1.Version && o.Engine == at.ID {
				out = append(out, o)
			}
		}
		return out
	}
	proc.Eventually(t, "the load of the unloaded version is ordered", func() bool { return len(loads()) > 0 })
	if o := loads()[0]; o.Token == 0 || !o.Accepted {
		t.Errorf("order %+v has no fencing token or was not accepted", o)
	}

	// The holder is paused until another entry has the lease, and is then resumed.
	holder := holderOf(t, f)
	holder.Pause()
	first := loads()[0].Token
	proc.Eventually(t, "another lease holder orders the load", func() bool {
		// The first load may complete only now, so the version is unloaded until another load is
		// ordered.
		unload(t, f.Addr.Engines[at.ID], fleet.Quick1)
		l := loads()
		return l[len(l)-1].Token > first
	})
	holder.Resume()
	proc.Eventually(t, "the former holder serves again", func() bool {
		_, err := f.Status(holder)
		return err == nil
	})
	for id, c := range f.Counters(time.Now().Add(-time.Hour)).Engines {
		if c.StaleOrders > 0 {
			t.Errorf("%s executed %d orders with an outdated fencing token", id, c.StaleOrders)
		}
	}
}

// holderOf returns the entry that acquired the lease last, by the events of the first entry.
func holderOf(t *testing.T, f *fleet.Fleet) *fleet.Entry {
	t.Helper()
	var out opsapi.EventsReply
	if err := f.Admin(f.Entries[0], http.MethodGet, "/events", nil, &out); err != nil {
		t.Fatal(err)
	}
	var holder *fleet.Entry
	for _, e := range out.Events {
		for _, x := range f.Entries {
			if e.Kind == string(event.LeaseAcquired) && string(e.Instance) == x.Addr.Instance {
				holder = x
			}
		}
	}
	if holder == nil {
		t.Fatal("no entry holds the lease")
	}
	return holder
}

// unload makes an engine unload a version.
func unload(t *testing.T, addr string, r ident.VersionRef) {
	t.Helper()
	b, err := json.Marshal(engine.Order{Kind: "unload", Model: r.Model, Version: r.Version, Lease: "test", Token: 1})
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post("http://"+addr+"/v1/orders", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusAccepted {
		t.Fatalf("unload: status %d", res.StatusCode)
	}
}
