package boot

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// evacuationBound is the users' rule: from this time after the store acknowledged the row on, no request reaches
// an upstream of the failure domain.
const evacuationBound = 5 * time.Second

// lastArrival returns when the last request came to an upstream.
func lastArrival(ss ...*server.Server) time.Time {
	var last time.Time
	for _, s := range ss {
		for _, q := range s.Requests() {
			if q.At.After(last) {
				last = q.At
			}
		}
	}
	return last
}

// Guards against requests, sessions, streams and continued streams that reach an upstream of an evacuated
// failure domain, against refusals while another domain serves, against requests that are neither served nor
// refused as not run when all domains are evacuated, and against upstreams that stay unused afterwards.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	ws := startRouters(t, standardDocument(), 4)
	w := ws[0]
	// The routers are in the failure domain a and prefer its upstreams. Streams that begin in b are cut there, so that
	// they continue elsewhere.
	desk, llm := w.server("desk", "s1", "v1", always(fine)), w.server("llm", "s2", "v1", always(server.Events{Count: 4}))
	w.moveTo("b", w.server("desk", "s3", "v1", always(fine)), "desk")
	w.moveTo("b", w.server("llm", "s4", "v1", sequence(server.Events{Count: 4, TruncateAfter: 2}, server.Events{Count: 4})), "llm")
	for _, x := range ws {
		x.awaitUpstreams(4)
	}
	// send sends requests of each kind through all routers for d. It returns the results other than 200.
	send := func(d time.Duration) map[string]int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		out := map[string]int{}
		for _, x := range ws {
			wg.Go(func() {
				for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
					for _, q := range [][2]string{{"GET", "/read/1"}, {"POST", "/order/1"}, {"GET", "/chat/1"}} {
						if a := x.send(q[0], q[1], "", "Session", fmt.Sprint(i%3)); a.status != 200 {
							mu.Lock()
							out[fmt.Sprint(a.status, " ", a.code())]++
							mu.Unlock()
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		return out
	}
	evacuate := func(domain string) time.Time {
		t.Helper()
		if err := w.store.PutJSON("op", "evacuate/"+domain, map[string]any{}); err != nil {
			t.Fatal(err)
		}
		return time.Now()
	}
	if out := send(time.Second); len(out) > 0 || len(desk.Requests()) == 0 || len(llm.Requests()) == 0 {
		t.Fatalf("before: %v, %d and %d requests in the domain a", out, len(desk.Requests()), len(llm.Requests()))
	}
	at := evacuate("a")
	if out := send(evacuationBound + 2*time.Second); len(out) > 0 {
		t.Errorf("domain a evacuated: %v", out)
	}
	if late := lastArrival(desk, llm).Sub(at); late > evacuationBound {
		t.Errorf("a request came %s after the evacuation", late)
	}
	evacuate("b")
	for _, x := range ws {
		x.eventually("the evacuation of both domains", func() bool {
			return strings.Count(x.logs.String(), `"message":"evacuation of a failure domain began`) == 2
		})
		for _, p := range []string{"/read/1", "/chat/1"} {
			if a := x.send("GET", p, ""); a.status != 503 || !strings.HasSuffix(a.code(), "not-run") || a.header.Get("Retry-After") == "" {
				t.Errorf("all domains evacuated: %s got %d %s, Retry-After %q", p, a.status, a.code(), a.header.Get("Retry-After"))
			}
		}
	}
	w.store.Delete("op", "evacuate/a")
	for _, x := range ws {
		x.eventually("the end of an evacuation", func() bool {
			return strings.Contains(x.logs.String(), `"message":"evacuation of a failure domain ended`)
		})
	}
	before := len(desk.Requests()) + len(llm.Requests())
	if out := send(time.Second); len(out) > 0 {
		t.Errorf("evacuation of a ended: %v", out)
	}
	if n := len(desk.Requests()) + len(llm.Requests()) - before; n == 0 {
		t.Error("the upstreams of the domain a get nothing after its evacuation")
	}
}

// Guards against prompts that are copied from an upstream of an evacuated failure domain, which is a request to it.
func TestCopiesDuringEvacuation(t *testing.T) {
	t.Parallel()
	d := standardDocument()
	runtime := d["services"].([]any)[1].(map[string]any)["runtime"].(map[string]any)
	runtime["kv_token_bytes"], runtime["bandwidth_mbps"] = 35136, 1_100_000
	w := startRouter(t, d)
	holder := w.server("llm", "s1", "v1", always(server.Events{Count: 4}))
	other := w.server("llm", "s2", "v1", always(server.Events{Count: 4}))
	w.moveTo("b", other, "llm")
	w.awaitUpstreams(2)
	send := func() {
		t.Helper()
		if a := w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Prompt-Prefix", "sys:800,doc:1500,own:700", "Tarragonvalve-Token-Usage", "3000,60"); a.status != 200 {
			t.Fatalf("got %d %s", a.status, a.code())
		}
	}
	send()
	domain, left := "a", other
	if len(holder.Requests()) == 0 {
		domain, left, holder = "b", holder, other
	}
	if err := w.store.PutJSON("op", "evacuate/"+domain, map[string]any{}); err != nil {
		t.Fatal(err)
	}
	w.eventually("the evacuation", func() bool {
		return strings.Contains(w.logs.String(), `"message":"evacuation of a failure domain began`)
	})
	send()
	qs := left.Requests()
	if len(qs) != 1 {
		t.Fatalf("%d requests at the upstream that is left", len(qs))
	}
	if got := qs[0].Header.Get("Kv-Fetch"); got != "" {
		t.Errorf("the prompt is copied from %q, the upstream in the evacuated domain is %s", got, holder.Address())
	}
}
