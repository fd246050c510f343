package boot

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/standin/tables"
)

// Guards against a key that works after it was revoked, while the store is available and
// while it isn't.
func TestRevokedKey(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	d := standardDocument()
	d["version"] = 2
	d["tenants"] = []any{map[string]any{"name": "ada", "api_keys": []string{"key-3"}}}
	w.writeConfig(d)
	w.eventually("refusal of the key", func() bool { return w.send("GET", "/read/1", "").status == 401 })
	if a := w.send("GET", "/read/1", "", "Authorization", "Bearer key-3"); a.status != 200 {
		t.Errorf("new key: got %d", a.status)
	}
	// Without the store, the instance doesn't receive the next change, so it must
	// stop accepting keys within the configured time.
	w.store.SetFault(tables.Silent{})
	d["version"] = 3
	d["tenants"] = []any{map[string]any{"name": "ada", "api_keys": []string{"key-4"}}}
	revokedAt := time.Now()
	w.writeConfig(d)
	for time.Since(revokedAt) < 6*time.Second {
		sent := time.Now()
		a := w.send("GET", "/read/1", "", "Authorization", "Bearer key-3")
		if a.status == 200 && sent.Sub(revokedAt) > 5*time.Second {
			t.Fatalf("the key worked %v after it was revoked", sent.Sub(revokedAt))
		}
		if a.status != 200 && a.code() != "stale-generation not-run" {
			t.Fatalf("got %d %s", a.status, a.body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if w.ready() {
		t.Error("ready without a connection to the store")
	}
	w.store.SetFault(nil)
	w.eventually("acceptance of the newest key", func() bool {
		return w.send("GET", "/read/1", "", "Authorization", "Bearer key-4").status == 200
	})
}

// Guards against a configuration that is refused in silence, and against one that takes the last good one out of
// force.
func TestRefusedConfiguration(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	d := standardDocument()
	d["version"], d["limits"] = 2, map[string]any{"idle_timeout_ms": 1.5}
	w.writeConfig(d)
	w.eventually("log of the refusal", func() bool {
		return strings.Contains(w.logs.String(), "limits.idle_timeout_ms") && strings.Contains(w.logs.String(), "row of the store ignored")
	})
	a, err := http.Get("http://" + w.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if b, err := io.ReadAll(a.Body); err != nil || !strings.Contains(string(b), "rows_ignored_total 1") {
		t.Errorf("the metrics lack the ignored row: %v", err)
	}
	if a := w.send("GET", "/read/1", ""); a.status != 200 {
		t.Errorf("got %d %s under the last good configuration", a.status, a.body)
	}
	d["version"], d["limits"] = 3.0, map[string]any{"idle_timeout_ms": 15000.0}
	w.writeConfig(d)
	w.eventually("next configuration", func() bool { return strings.Contains(w.logs.String(), `"generation":3`) })
}

// Review case 5: the operator takes the only client account away, and later the whole list of accounts.
// Guards against routes that are open to everybody once the last key is gone, also at a router that starts
// then, and against routes that stay closed in a configuration without accounts.
func TestLastAccountRemoved(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("desk", "s1", "v1", always(fine))
	w.awaitUpstreams(1)
	if a := w.send("GET", "/read/1", ""); a.status != 200 {
		t.Fatalf("got %d before the change", a.status)
	}
	d := standardDocument()
	d["version"], d["tenants"] = 2, []any{}
	w.writeConfig(d)
	w.eventually("refusal of the key", func() bool { return w.send("GET", "/read/1", "").status == 401 })
	x := w.startAgain()
	x.awaitUpstreams(1)
	ran := len(s.Requests())
	for _, r := range []*harness{w, x} {
		for _, k := range []string{"Bearer key-1", "Bearer key-never-held", ""} {
			if a := r.send("POST", "/order/1", "x", "Authorization", k); a.status != 401 {
				t.Errorf("%s: key %q got %d, want 401", r.name, k, a.status)
			}
		}
	}
	if n := len(s.Requests()); n > ran {
		t.Errorf("%d requests ran without a key of the configuration", n-ran)
	}
	delete(d, "tenants")
	d["version"] = 3
	w.writeConfig(d)
	for _, r := range []*harness{w, x} {
		w.eventually("service without a key", func() bool { return r.send("GET", "/read/1", "", "Authorization", "").status == 200 })
	}
}
