package proof_test

import (
	"fmt"
	"slices"
	"strings"
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

// The tests check each guarantee of the design while they inject a failure that could break it.
// What ran is taken from the stand-ins' counters.

// Guards against requests that run on a version that their account may not use.
func TestAllowed(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"model of another account": {run: func(t *testing.T, f *fleet.Fleet) {
			at := time.Now()
			for _, e := range f.Entries {
				for _, m := range []string{"deep", "deep@1", "auto"} {
					r := f.Client(e, fleet.Beta).Chat(f.Context(), fleet.ChatRequest(m, "not allowed"))
					if m != "auto" && (r.Code != refuse.ModelNotAllowed || r.Ran != refuse.NotRun) {
						t.Errorf("%s: %s", m, r.Describe())
					}
				}
			}
			checkNoStartsAfter(t, f, fleet.Deep1, at)
			checkNoStartsAfter(t, f, fleet.Deep2, at)
		}},
		"entry paused while the document changes": {run: func(t *testing.T, f *fleet.Fleet) {
			f.Entries[1].Pause()
			d := strings.Replace(fleet.Document("second"), "allowed = deep@1, deep@2, quick@1", "allowed = quick@1", 1)
			g := f.Promote(0, d, 1)
			waitAgents(t, f, f.Entries[0], g)
			at := time.Now()
			f.Entries[1].Resume()
			os := <-sendChats(f, f.Entries[1], fleet.Alpha, "deep", "after the change", 8)
			checkOutcomes(t, f, os)
			checkNotRun(t, f, os)
			checkNoStartsAfter(t, f, fleet.Deep1, at)
			checkNoStartsAfter(t, f, fleet.Deep2, at)
		}},
		"all accounts taken away, table down": {run: func(t *testing.T, f *fleet.Fleet) {
			d := fleet.Document("without accounts")
			from, to := strings.Index(d, "[account"), strings.Index(d, "[model")
			f.WaitInForce(f.Promote(0, d[:from]+d[to:], 1))
			at := time.Now()
			f.SetFaults("table", fault.Faults{Down: true})
			late := f.StartEntry(2)
			for _, e := range append(slices.Clone(f.Entries), late) {
				proc.Eventually(t, "the entry has the document", func() bool {
					s, err := f.Status(e)
					return err == nil && s.Generation == 2
				})
				for _, account := range []string{fleet.Alpha, "never-held"} {
					if r := f.Client(e, account).Chat(f.Context(), fleet.ChatRequest("quick", "no key is left")); r.Code != refuse.Unauthenticated {
						t.Errorf("key of %s: %s", account, r.Describe())
					}
				}
			}
			f.SetFaults("table", fault.Faults{})
			checkNoStartsAfter(t, f, fleet.Quick1, at)
		}},
	})
}

// Guards against requests that start on a withdrawn version, also if they were queued before the
// withdrawal.
func TestWithdrawn(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"full queue": {options: fleet.Options{Entries: 2, Engines: 1, Slots: 1}, run: func(t *testing.T, f *fleet.Fleet) {
			done := sendChats(f, f.Entries[0], fleet.Alpha, "deep@1", "queued", 10)
			proc.Eventually(t, "the first request runs", func() bool { return len(f.Starts(fleet.Deep1)) > 0 })
			g := f.Withdraw(1, fleet.Deep1, 1)
			waitAgents(t, f, f.Entries[0], g)
			at := time.Now()
			os := <-done
			whole := checkOutcomes(t, f, os)
			checkNotRun(t, f, os)
			checkNoStartsAfter(t, f, fleet.Deep1, at)
			if whole == len(os) && len(f.Starts(fleet.Deep1)) == len(os) {
				t.Errorf("all %d requests ran before the withdrawal: the queue was not full", whole)
			}
		}},
		"entry paused": {run: func(t *testing.T, f *fleet.Fleet) {
			f.Entries[1].Pause()
			g := f.Withdraw(0, fleet.Deep1, 1)
			waitAgents(t, f, f.Entries[0], g)
			at := time.Now()
			f.Entries[1].Resume()
			os := <-sendChats(f, f.Entries[1], fleet.Alpha, "deep@1", "after the withdrawal", 8)
			checkOutcomes(t, f, os)
			checkNotRun(t, f, os)
			checkNoStartsAfter(t, f, fleet.Deep1, at)
		}},
		"halt with the table down": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Down: true})
			if err := f.Halt(0, fleet.Deep1); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second) // the design's bound on the time until a halt is in force
			at := time.Now()
			os := <-sendChats(f, f.Entries[1], fleet.Alpha, "deep", "after the halt", 8)
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d requests were answered by the version that is left", whole, len(os))
			}
			checkNoStartsAfter(t, f, fleet.Deep1, at)
		}},
		"agent cut off from the table": {run: func(t *testing.T, f *fleet.Fleet) {
			f.Engine(0).Table.Silence(t)
			g := f.Withdraw(0, fleet.Deep1, 1)
			waitAgents(t, f, f.Entries[0], g)
			at := time.Now()
			os := <-sendChats(f, f.Entries[1], fleet.Alpha, "deep", "after the withdrawal", 8)
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d requests were answered by the version that is left", whole, len(os))
			}
			checkNoStartsAfter(t, f, fleet.Deep1, at)
		}},
	})
}

// Guards against a session that moves to another version although its own was not withdrawn.
func TestPinned(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"shares change and the entry is killed": {run: func(t *testing.T, f *fleet.Fleet) {
			pins := map[string]ident.VersionRef{}
			for i := range 8 {
				q := fleet.ChatRequest("deep", fmt.Sprint("first turn ", i))
				q.MaxTokens = 5
				r := f.Client(f.Entries[0], fleet.Alpha).Chat(f.Context(), q)
				f.CheckWhole(q, &r)
				pins[r.Session] = r.Version
			}
			d := strings.Replace(fleet.Document("second"), "shares = 1:50, 2:50", "shares = 2:100", 1)
			f.WaitInForce(f.Promote(1, d, 1))
			f.Entries[0].Kill()
			for s, v := range pins {
				q := fleet.ChatRequest("deep", "second turn")
				q.MaxTokens, q.Session = 5, s
				r := f.Client(f.Entries[1], fleet.Alpha).Chat(f.Context(), q)
				f.CheckWhole(q, &r)
				if r.Version != v || r.SessionMoved {
					t.Errorf("a session of %s continued on %s", v, r.Version)
				}
			}
		}},
		"withdrawal moves or refuses": {run: func(t *testing.T, f *fleet.Fleet) {
			sessions := map[string]string{}
			for _, a := range []string{fleet.Alpha, fleet.Gamma} {
				q := fleet.ChatRequest("deep@1", "first turn")
				q.MaxTokens = 5
				r := f.Client(f.Entries[0], a).Chat(f.Context(), q)
				f.CheckWhole(q, &r)
				sessions[a] = r.Session
			}
			f.WaitInForce(f.Withdraw(0, fleet.Deep1, 1))
			q := fleet.ChatRequest("deep", "second turn")
			q.MaxTokens, q.Session = 5, sessions[fleet.Alpha]
			r := f.Client(f.Entries[1], fleet.Alpha).Chat(f.Context(), q)
			f.CheckWhole(q, &r)
			if r.Version != fleet.Deep2 || !r.SessionMoved {
				t.Errorf("the session continued on %s, moved %t", r.Version, r.SessionMoved)
			}
			q.Session = sessions[fleet.Gamma]
			r = f.Client(f.Entries[1], fleet.Gamma).Chat(f.Context(), q)
			if r.Code != refuse.SessionVersionWithdrawn || r.Ran != refuse.NotRun {
				t.Errorf("the session of an account with on-withdrawn = refuse: %s", r.Describe())
			}
		}},
	})
}

// Guards against truncated, mixed or duplicated answers that look complete, and against streams
// that hang.
func TestWhole(t *testing.T) {
	one := fleet.Options{Entries: 2, Engines: 1, Slots: 4}
	// finish is a scenario after whose failure the stream must still be completed.
	finish := func(act func(t *testing.T, f *fleet.Fleet, a *fleet.Agent)) scenario {
		return scenario{options: one, run: func(t *testing.T, f *fleet.Fleet) {
			o := actMidStream(t, f, f.Entries[0], 20, func() { act(t, f, f.Engine(0)) })
			f.CheckWhole(o.request, &o.reply)
		}}
	}
	// explicit is a scenario after whose failure the stream may end with an explicit error.
	explicit := func(act func(t *testing.T, f *fleet.Fleet, a *fleet.Agent)) scenario {
		return scenario{options: one, run: func(t *testing.T, f *fleet.Fleet) {
			o := actMidStream(t, f, f.Entries[0], 20, func() { act(t, f, f.Engine(0)) })
			checkOutcomes(t, f, []outcome{o})
			if !o.reply.OK() && (o.reply.Ran == refuse.NotRun || o.reply.Code == "") {
				t.Errorf("a stream that had begun ended with %s", o.reply.Describe())
			}
		}}
	}
	runScenarios(t, map[string]scenario{
		"link to the agent goes silent": finish(func(t *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.FromEntries.SilenceOpen(t)
		}),
		"link to the agent is cut": finish(func(t *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.FromEntries.Cut()
			a.FromEntries.Reopen(t)
		}),
		"link to the engine goes silent": finish(func(t *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.ToUpstream.SilenceOpen(t)
		}),
		"agent paused": finish(func(_ *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.Pause()
			time.Sleep(4 * time.Second)
			a.Resume()
		}),
		"entry paused": finish(func(_ *testing.T, f *fleet.Fleet, _ *fleet.Agent) {
			f.Entries[0].Pause()
			time.Sleep(4 * time.Second)
			f.Entries[0].Resume()
		}),
		"agent killed and restarted": explicit(func(_ *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.Kill()
			a.Restart()
		}),
		"agent killed for good": explicit(func(_ *testing.T, _ *fleet.Fleet, a *fleet.Agent) {
			a.Kill()
		}),
		"engine crashes": explicit(func(_ *testing.T, f *fleet.Fleet, a *fleet.Agent) {
			f.Crash(a.ID)
		}),
		"engine silent for good": explicit(func(_ *testing.T, f *fleet.Fleet, a *fleet.Agent) {
			f.SetFaults(string(a.ID), fault.Faults{Silent: true})
			f.SilenceConnections(string(a.ID))
		}),
	})
}

// Guards against a refusal that says not-run although the request started.
func TestTruthful(t *testing.T) {
	one := fleet.Options{Entries: 2, Engines: 1, Slots: 1}
	runScenarios(t, map[string]scenario{
		"deadlines expire in a full queue": {options: one, run: func(t *testing.T, f *fleet.Fleet) {
			done := make(chan outcome, 20)
			for i := range 20 {
				go func() {
					q := fleet.ChatRequest("deep", fmt.Sprint("in a hurry ", i))
					q.Timeout = 1500 * time.Millisecond
					done <- outcome{request: q, reply: f.Client(f.Entries[i%2], fleet.Alpha).Chat(f.Context(), q)}
				}()
			}
			var os []outcome
			for range 20 {
				os = append(os, <-done)
			}
			checkOutcomes(t, f, os)
			checkNotRun(t, f, os)
		}},
		"engine answers are lost after the start": {options: one, run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("engine-1", fault.Faults{Lost: 3})
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", "lost", 6)
			checkOutcomes(t, f, os)
			checkNotRun(t, f, os)
		}},
		"agent killed with a full queue": {options: one, run: func(t *testing.T, f *fleet.Fleet) {
			done := sendChats(f, f.Entries[0], fleet.Alpha, "deep", "queued", 8)
			proc.Eventually(t, "a request runs", func() bool { return f.Counters(time.Time{}).Engines["engine-1"].Started > 2 })
			f.Engine(0).Kill()
			os := <-done
			checkOutcomes(t, f, os)
			checkNotRun(t, f, os)
		}},
		"table down": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("table", fault.Faults{Down: true})
			r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("down", "{}"))
			if r.OK() {
				t.Fatal("a call that may run only once ran without a claim")
			}
			f.SetFaults("table", fault.Faults{})
			time.Sleep(3 * time.Second) // a run that starts after the refusal is counted by then
			if n := f.Runs("down"); n != 0 {
				t.Errorf("the call was refused with %s (%s) and ran %d times", r.Code, r.Ran, n)
			}
			if r.Code == refuse.ClaimsUnavailable && r.Ran != refuse.NotRun {
				t.Errorf("claims-unavailable says %s", r.Ran)
			}
		}},
		"repeat through another entry with the table down": {run: func(t *testing.T, f *fleet.Fleet) {
			if r := f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("ran", "{}")); !r.OK() {
				t.Fatal(r.Describe())
			}
			f.SetFaults("table", fault.Faults{Down: true})
			r := f.Client(f.Entries[1], fleet.Alpha).Call(f.Context(), orderCall("ran", "{}"))
			if r.OK() || r.Ran == refuse.NotRun {
				t.Errorf("the repeat of a call that ran says %s (%s)", r.Code, r.Ran)
			}
		}},
	})
}

// Guards against requests that start on an upstream whose agent drains while the instance list
// still shows it as live.
func TestLeaving(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"agent drains": {run: func(t *testing.T, f *fleet.Fleet) {
			long := sendChats(f, f.Entries[0], fleet.Alpha, "deep", "long", 6)
			proc.Eventually(t, "requests run", func() bool { return f.Counters(time.Time{}).Engines["engine-1"].Started > 0 })
			f.Engine(0).Terminate()
			time.Sleep(3 * time.Second) // the design allows a few seconds until requests stop
			before := f.Counters(time.Time{}).Engines["engine-1"].Started
			os := <-sendChats(f, f.Entries[1], fleet.Alpha, "quick", "after", 20)
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d requests were answered", whole, len(os))
			}
			if whole := checkOutcomes(t, f, <-long); whole != 6 {
				t.Errorf("%d of 6 requests that ran when the drain began were answered", whole)
			}
			if n := f.Counters(time.Time{}).Engines["engine-1"].Started; n != before {
				t.Errorf("%d requests started on the draining upstream", n-before)
			}
		}},
	})
}

// Guards against a shutdown that interrupts requests.
func TestGraceful(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"entry drains under load": {run: func(t *testing.T, f *fleet.Fleet) {
			o := actMidStream(t, f, f.Entries[0], 20, f.Entries[0].Terminate)
			f.CheckWhole(o.request, &o.reply)
			if c := f.Entries[0].ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
			q := fleet.ChatRequest("quick", "through the other entry")
			r := f.Client(f.Entries[1], fleet.Alpha).Chat(f.Context(), q)
			f.CheckWhole(q, &r)
		}},
		"agent drains under load": {run: func(t *testing.T, f *fleet.Fleet) {
			at := time.Now()
			var a *fleet.Agent
			o := actMidStream(t, f, f.Entries[0], 20, func() {
				a = lastStartedAgent(t, f, at, fleet.Deep1)
				a.Terminate()
			})
			f.CheckWhole(o.request, &o.reply)
			if c := a.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
		}},
		"agents restart in turn under load": {run: func(t *testing.T, f *fleet.Fleet) {
			stop := make(chan struct{})
			var mu sync.Mutex
			var os []outcome
			var w sync.WaitGroup
			for i := range 6 {
				w.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						o := <-sendChats(f, f.Entries[i%2], fleet.Alpha, "quick", fmt.Sprint("under load ", i, n), 1)
						mu.Lock()
						os = append(os, o...)
						mu.Unlock()
					}
				})
			}
			for i := range 2 {
				a := f.Engine(i)
				a.Terminate()
				if c := a.ExitCode(t); c != 0 {
					t.Errorf("exit code %d of %s", c, a.Name)
				}
				a.Restart()
				f.WaitInForce(1)
				f.WaitStarts(a)
			}
			close(stop)
			w.Wait()
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d requests were answered", whole, len(os))
			}
		}},
		"call in progress": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("orders-1", fault.Faults{SlowMs: 1500})
			f.SetFaults("orders-2", fault.Faults{SlowMs: 1500})
			done := make(chan client.Reply, 1)
			go func() { done <- f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), orderCall("graceful", "{}")) }()
			proc.Eventually(t, "the claim is dispatched", func() bool { return len(f.Rows("claim/")) > 0 })
			f.Agents["orders-1"].Terminate()
			f.Agents["orders-2"].Terminate()
			f.Entries[0].Terminate()
			if r := <-done; !r.OK() || f.Runs("graceful") != 1 {
				t.Errorf("%s, %d runs", r.Describe(), f.Runs("graceful"))
			}
		}},
	})
}
