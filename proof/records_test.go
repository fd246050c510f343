package proof_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/fault"
)

// checkRuns fails the test if a call ran more than once, or if its number of runs contradicts a
// result or, in the last reply, a refusal with not-run.
func checkRuns(t *testing.T, f *fleet.Fleet, key string, replies ...client.Reply) {
	t.Helper()
	n := f.Runs(key)
	if n > 1 {
		t.Errorf("the call with key %s ran %d times", key, n)
	}
	for _, r := range replies {
		if r.OK() && n != 1 {
			t.Errorf("the call with key %s was answered with a result and ran %d times", key, n)
		}
	}
	if last := replies[len(replies)-1]; last.Ran == refuse.NotRun && n != 0 {
		t.Errorf("the last answer to the call with key %s says not-run (%s) and it ran", key, last.Code)
	}
}

// callDuring sends a call through the first entry, calls act with the agent that claimed it once
// the claim is in the table, and returns the reply.
func callDuring(t *testing.T, f *fleet.Fleet, key string, act func(claimed *fleet.Agent)) client.Reply {
	t.Helper()
	done := make(chan client.Reply, 1)
	go func() { done <- f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall(key, "{}")) }()
	var upstream ident.UpstreamID
	proc.Eventually(t, "the claim is dispatched", func() bool {
		for _, r := range f.Rows("claim/") {
			var c struct {
				Upstream ident.UpstreamID `json:"upstream"`
			}
			if json.Unmarshal([]byte(r.Body), &c) == nil && c.Upstream != "" {
				upstream = c.Upstream
			}
		}
		return upstream != ""
	})
	act(f.Agents[upstream])
	select {
	case r := <-done:
		return r
	case <-time.After(proc.WaitTimeout):
		t.Fatal("the call got no answer")
		return client.Reply{}
	}
}

// Guards against a call that may run only once running twice.
func TestAtMostOnce(t *testing.T) {
	type repeated func(*testing.T, *fleet.Fleet, *fleet.Entry, client.Call) client.Reply
	during := func(again repeated, act func(t *testing.T, f *fleet.Fleet, a *fleet.Agent)) scenario {
		return scenario{run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("orders-1", fault.Faults{SlowMs: 1000})
			f.SetFaults("orders-2", fault.Faults{SlowMs: 1000})
			r := callDuring(t, f, "k", func(a *fleet.Agent) { act(t, f, a) })
			f.SetFaults("orders-1", fault.Faults{})
			f.SetFaults("orders-2", fault.Faults{})
			checkRuns(t, f, "k", r, again(t, f, f.Entries[1], orderCall("k", "{}")))
		}}
	}
	runScenarios(t, map[string]scenario{
		"repeated at once through both entries": {run: func(t *testing.T, f *fleet.Fleet) {
			replies := make([]client.Reply, 12)
			var w sync.WaitGroup
			for i := range replies {
				w.Go(func() { replies[i] = f.Client(f.Entries[i%2], fleet.Alpha).Call(f.Context(), orderCall("k", "{}")) })
			}
			w.Wait()
			last := repeatUntilResult(t, f, f.Entries[0], orderCall("k", "{}"))
			if !last.OK() {
				t.Errorf("no result although nothing failed: %s", last.Describe())
			}
			checkRuns(t, f, "k", append(replies, last)...)
		}},
		"another body with the same key": {run: func(t *testing.T, f *fleet.Fleet) {
			c := f.Client(f.Entries[0], fleet.Alpha)
			first := c.Call(f.Context(), orderCall("k", "{}"))
			second := f.Client(f.Entries[1], fleet.Alpha).Call(f.Context(), orderCall("k", `{"other":1}`))
			if !first.OK() || second.Code != refuse.KeyReused {
				t.Errorf("first: %s, second: %s", first.Describe(), second.Describe())
			}
			checkRuns(t, f, "k", first)
		}},
		"service's answer lost": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("orders-1", fault.Faults{Lost: 1})
			f.SetFaults("orders-2", fault.Faults{Lost: 1})
			r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			if r.OK() || r.Ran == refuse.NotRun {
				t.Errorf("an answer that was lost after the run: %s", r.Describe())
			}
			again := repeatUntilDecided(t, f, f.Entries[1], orderCall("k", "{}"))
			checkRuns(t, f, "k", r, again)
		}},
		"service silent": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("orders-1", fault.Faults{Silent: true})
			f.SetFaults("orders-2", fault.Faults{Silent: true})
			r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			f.SetFaults("orders-1", fault.Faults{})
			f.SetFaults("orders-2", fault.Faults{})
			again := repeatUntilDecided(t, f, f.Entries[1], orderCall("k", "{}"))
			checkRuns(t, f, "k", r, again)
		}},
		"table's answer to the claim lost": {run: func(t *testing.T, f *fleet.Fleet) {
			// Receipts and leases are written too, so several calls are made: the lost answers
			// are to include that to a claim.
			for i := range 6 {
				k := fmt.Sprint("k", i)
				f.SetFaults("table", fault.Faults{Lost: 2})
				r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall(k, "{}"))
				f.SetFaults("table", fault.Faults{})
				checkRuns(t, f, k, r, repeatUntilDecided(t, f, f.Entries[1], orderCall(k, "{}")))
			}
		}},
		"all answers to writes lost": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Lost: -1})
			r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			f.SetFaults("table", fault.Faults{})
			time.Sleep(3 * time.Second) // a late dispatch is counted by then
			checkRuns(t, f, "k", r)
		}},
		"agents paused while the claim is written": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{SlowMs: 800})
			done := make(chan client.Reply, 1)
			go func() { done <- f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}")) }()
			// The entry reads the claim before it sends the call, the agent writes it after.
			for _, a := range []ident.UpstreamID{"orders-1", "orders-2"} {
				time.Sleep(700 * time.Millisecond)
				f.Agents[a].Pause()
			}
			r := <-done
			f.SetFaults("table", fault.Faults{})
			f.Agents["orders-1"].Resume()
			f.Agents["orders-2"].Resume()
			time.Sleep(3 * time.Second) // a late dispatch is counted by then
			checkRuns(t, f, "k", r)
		}},
		"table slow": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{SlowMs: 1500})
			r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			f.SetFaults("table", fault.Faults{})
			again := repeatUntilDecided(t, f, f.Entries[1], orderCall("k", "{}"))
			checkRuns(t, f, "k", r, again)
		}},
		"agent paused before its claim": {run: func(t *testing.T, f *fleet.Fleet) {
			// While both agents are paused the entry gives up on them; the claims that they write
			// afterwards must fail.
			f.Agents["orders-1"].Pause()
			f.Agents["orders-2"].Pause()
			r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			f.Agents["orders-1"].Resume()
			f.Agents["orders-2"].Resume()
			time.Sleep(3 * time.Second) // a late dispatch is counted by then
			checkRuns(t, f, "k", r)
		}},
		"agent paused during the call": during(repeatUntilResult, func(_ *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.Pause()
			time.Sleep(4 * time.Second)
			a.Resume()
		}),
		"agent killed during the call": during(repeatUntilDecided, func(_ *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.Kill()
			a.Restart()
		}),
		"entry killed during the call": during(repeatUntilResult, func(_ *testing.T, f *fleet.Fleet, _ *fleet.Agent) {
			f.Entries[0].Kill()
		}),
		"link to the agent goes silent during the call": during(repeatUntilResult, func(t *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.FromEntries.SilenceOpen(t)
		}),
		"table down during the call": during(repeatUntilResult, func(_ *testing.T, f *fleet.Fleet, _ *fleet.Agent) {
			f.SetFaults("table", fault.Faults{Down: true})
			time.Sleep(3 * time.Second)
			f.SetFaults("table", fault.Faults{})
		}),
	})
}

// receipt holds the fields of a stored receipt that the tests read.
type receipt struct {
	Request ident.RequestID `json:"request-id"`
	Role    string          `json:"role"`
	Direct  bool            `json:"direct"`
}

// storedReceipts returns the ids of the requests with a stored receipt that the filter selects.
func storedReceipts(t *testing.T, f *fleet.Fleet, filter func(receipt) bool) map[ident.RequestID]bool {
	t.Helper()
	out := map[ident.RequestID]bool{}
	for _, row := range f.Rows("bill/") {
		for line := range bytes.Lines([]byte(row.Body)) {
			var r receipt
			if err := json.Unmarshal(line, &r); err != nil {
				t.Fatalf("batch %s/%s: %v", row.Partition, row.Sort, err)
			}
			if filter(r) {
				out[r.Request] = true
			}
		}
	}
	return out
}

// isBilling reports whether a receipt may decide what is billed for a request.
func isBilling(r receipt) bool {
	return r.Role == "bill" || r.Direct
}

// waitStored waits until each request has a stored receipt that the filter selects.
func waitStored(t *testing.T, f *fleet.Fleet, ids []ident.RequestID, filter func(receipt) bool) {
	t.Helper()
	if len(ids) == 0 {
		t.Fatal("no request was answered")
	}
	proc.Eventually(t, fmt.Sprintf("receipts of %d requests are stored", len(ids)), func() bool {
		s := storedReceipts(t, f, filter)
		for _, id := range ids {
			if !s[id] {
				return false
			}
		}
		return true
	})
}

// checkBill waits until each of the requests has a stored receipt and checks that the bill counts
// as many requests as have one. Both numbers include the warm-up requests of fleet.Start.
func checkBill(t *testing.T, f *fleet.Fleet, e *fleet.Entry, ids ...ident.RequestID) {
	t.Helper()
	waitStored(t, f, ids, isBilling)
	time.Sleep(5 * time.Second) // the agents store their receipts after a hold of 3 s; they must not be billed again
	want := len(storedReceipts(t, f, isBilling))
	b, err := f.Bill(e)
	if err != nil {
		t.Fatalf("read the bill: %v", err)
	}
	n := 0
	for _, l := range b.Lines {
		n += l.Requests
	}
	if n != want {
		t.Errorf("the bill counts %d requests, and receipts of %d requests are stored", n, want)
	}
}

// answeredRequests returns the ids of the requests with a complete answer.
func answeredRequests(os []outcome) []ident.RequestID {
	var ids []ident.RequestID
	for _, o := range os {
		if o.reply.OK() {
			ids = append(ids, o.reply.Request)
		}
	}
	return ids
}

// Guards against requests that are billed twice or not at all.
func TestBilledOnce(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"entry killed in mid-stream": {run: func(t *testing.T, f *fleet.Fleet) {
			at := time.Now()
			o := actMidStream(t, f, f.Entries[0], 20, f.Entries[0].Kill)
			s := f.Counters(at).Starts[fleet.Deep1.String()]
			if o.reply.OK() || len(s) == 0 {
				t.Fatalf("the killed entry's stream: %s, %d starts", o.reply.Describe(), len(s))
			}
			checkBill(t, f, f.Entries[1], o.reply.Request)
		}},
		"agent killed after the answer": {run: func(t *testing.T, f *fleet.Fleet) {
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", "answered", 6)
			f.Engine(0).Kill()
			f.Engine(1).Kill()
			checkBill(t, f, f.Entries[0], answeredRequests(os)...)
		}},
		"table's answers to batches lost": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Lost: 6})
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", "batch", 10)
			proc.Eventually(t, "the answers are lost", func() bool { return f.Faults("table").Lost == 0 })
			checkBill(t, f, f.Entries[1], answeredRequests(os)...)
		}},
		"table down while serving": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Down: true})
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", "outage", 10)
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d model requests were answered while the table was down", whole, len(os))
			}
			time.Sleep(2 * time.Second) // several batches are due
			f.SetFaults("table", fault.Faults{})
			checkBill(t, f, f.Entries[1], answeredRequests(os)...)
		}},
		"entry and agents both store": {run: func(t *testing.T, f *fleet.Fleet) {
			f.Entries[0].Table.Silence(t)
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", "doubled", 6)
			// Without an acknowledgement the agents store their receipts after the hold.
			waitStored(t, f, answeredRequests(os), func(r receipt) bool { return r.Role == "attempt" })
			f.Entries[0].Table.Restore(t)
			waitStored(t, f, answeredRequests(os), func(r receipt) bool { return r.Role == "bill" })
			checkBill(t, f, f.Entries[1], answeredRequests(os)...)
		}},
		"entry killed after a batch whose answer was lost": {run: func(t *testing.T, f *fleet.Fleet) {
			before := len(f.Rows("bill/"))
			f.SetFaults("table", fault.Faults{Lost: -1})
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", "mid-batch", 6)
			// While all answers are lost, a process retries its first batch. The entry's other
			// receipts are lost when it is killed, so the bill depends on those of the agents.
			proc.Eventually(t, "a batch is stored", func() bool { return len(f.Rows("bill/")) > before })
			f.Entries[0].Kill()
			f.SetFaults("table", fault.Faults{})
			checkBill(t, f, f.Entries[1], answeredRequests(os)...)
		}},
		"keyed call repeated": {run: func(t *testing.T, f *fleet.Fleet) {
			a := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			b := f.Client(f.Entries[1], fleet.Alpha).Call(f.Context(), orderCall("k", "{}"))
			if !a.OK() || !b.OK() || a.Request != b.Request {
				t.Fatalf("first %s as %s, second %s as %s", a.Describe(), a.Request, b.Describe(), b.Request)
			}
			checkBill(t, f, f.Entries[0], a.Request)
		}},
	})
}

// countGenerations returns the number of generations in the table.
func countGenerations(f *fleet.Fleet) int {
	n := 0
	for _, r := range f.Rows("") {
		if len(r.Sort) > len("generation/") && r.Sort[:len("generation/")] == "generation/" {
			n++
		}
	}
	return n
}

// Guards against an accepted document that is lost, stored twice or reverted.
func TestNoRevert(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"concurrent promotions": {run: func(t *testing.T, f *fleet.Fleet) {
			const n = 6
			errs := make([]error, n)
			var w sync.WaitGroup
			for i := range n {
				w.Go(func() { _, errs[i] = f.TryPromote(f.Entries[i%2], fleet.Document(fmt.Sprint("racer ", i)), 1) })
			}
			w.Wait()
			won := 0
			for _, err := range errs {
				if err == nil {
					won++
					continue
				}
				r := fleet.AsRefused(err)
				if r == nil || r.Reply.Code != refuse.GenerationConflict || r.Reply.Winner == nil || r.Reply.Winner.Generation != 2 {
					t.Errorf("a promotion that lost the conflict got: %v", err)
				}
			}
			if won != 1 || countGenerations(f) != 2 {
				t.Errorf("%d promotions were accepted, want 1; %d generations are stored, want 2", won, countGenerations(f))
			}
			f.WaitInForce(2)
		}},
		"table's answer to the promotion lost": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Lost: 3})
			_, err := f.TryPromote(f.Entries[0], fleet.Document("second"), 1)
			f.SetFaults("table", fault.Faults{})
			if err != nil {
				t.Errorf("the promotion that took effect: %v", err)
			}
			if n := countGenerations(f); n != 2 {
				t.Errorf("%d generations are stored", n)
			}
			f.WaitInForce(2)
		}},
		"table down": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Down: true})
			_, err := f.TryPromote(f.Entries[0], fleet.Document("second"), 1)
			var r *fleet.RefusedError
			if err == nil || errors.As(err, &r) && r.Reply.Code != refuse.OutcomeUnknown && r.Reply.Code != refuse.TableUnavailable {
				t.Errorf("a promotion with the table down: %v", err)
			}
			e := f.StartEntry(2)
			proc.Eventually(t, "a fresh entry has the generation of its peers", func() bool {
				s, err := f.Status(e)
				return err == nil && s.Generation == 1 && s.ConfirmedBy == "peers"
			})
			f.SetFaults("table", fault.Faults{})
			proc.Eventually(t, "the table confirms the generation", func() bool {
				s, err := f.Status(e)
				return err == nil && s.ConfirmedBy == "table"
			})
		}},
		"entry paused over two generations": {run: func(t *testing.T, f *fleet.Fleet) {
			f.Entries[1].Pause()
			f.Promote(0, fleet.Document("second"), 1)
			f.Promote(0, fleet.Document("third"), 2)
			f.Entries[1].Resume()
			var last ident.Generation
			proc.Eventually(t, "the resumed entry has the latest generation", func() bool {
				s, err := f.Status(f.Entries[1])
				if err == nil && s.Generation < last {
					t.Fatalf("generation %d after %d", s.Generation, last)
				}
				last = max(last, s.Generation)
				return last == 3
			})
			f.WaitInForce(3)
		}},
		"cut off from the table": {run: func(t *testing.T, f *fleet.Fleet) {
			f.Entries[1].Table.Silence(t)
			f.Engine(0).Table.Silence(t)
			f.Promote(0, fleet.Document("second"), 1)
			f.WaitInForce(2)
		}},
	})
}
