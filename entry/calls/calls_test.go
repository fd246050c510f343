package calls

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/entry/abort"
)

// long is a pause that exceeds the deadline of every call.
const long = 30 * time.Second

// Guards against a second run, against a refusal that is wrong about whether the
// call ran, and against a refusal although another agent could have run the call,
// for each way in which an agent can fail to answer.
func TestKeyedCallOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		agents []behaviour
		runs   int
		code   refuse.Code
		ran    refuse.Ran
		bills  int
	}{
		"answered":                     {[]behaviour{{}}, 1, "", "", 1},
		"refused, then answered":       {[]behaviour{{refuse: refuse.Overloaded}, {}}, 1, "", "", 1},
		"all refuse":                   {[]behaviour{{refuse: refuse.Overloaded}, {refuse: refuse.Overloaded}}, 0, refuse.Overloaded, refuse.NotRun, 0},
		"no agent":                     {nil, 0, refuse.NoUpstream, refuse.NotRun, 0},
		"link broke, then answered":    {[]behaviour{{breaks: true}, {}}, 1, "", "", 1},
		"link broke, no other":         {[]behaviour{{breaks: true}}, 0, refuse.UpstreamFailed, refuse.NotRun, 0},
		"paused before dispatch":       {[]behaviour{{before: long}}, 0, refuse.UpstreamFailed, refuse.NotRun, 0},
		"paused before run":            {[]behaviour{{run: long}}, 1, refuse.ClaimUnknown, refuse.Unknown, 0},
		"paused after the result":      {[]behaviour{{after: long}}, 1, "", "", 0},
		"crashed before run":           {[]behaviour{{crashes: true}, {}}, 0, refuse.ClaimUnknown, refuse.Unknown, 0},
		"crashed after run":            {[]behaviour{{losesResult: true}, {}}, 1, refuse.ClaimUnknown, refuse.Unknown, 0},
		"invalid request, not retried": {[]behaviour{{refuse: refuse.BadRequest}, {}}, 0, refuse.BadRequest, refuse.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(c.agents...)
				defer w.stop()
				_, err := w.call("body")
				time.Sleep(2 * long)
				e, _ := refuse.As(err)
				if (e == nil) != (c.code == "") || e != nil && (e.Code != c.code || e.Ran != c.ran) {
					t.Errorf("the call returned %v", err)
				}
				if w.runCount() != c.runs || len(w.receipts) != c.bills {
					t.Errorf("ran %d times, receipts %+v", w.runCount(), w.receipts)
				}
			})
		})
	}
}

// Guards against a call that is repeated with the same key and runs again, is
// billed again, or gets the result of another call.
func TestRepeatedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(behaviour{}, behaviour{})
		defer w.stop()
		if _, err := w.call("body"); err != nil {
			t.Fatal(err)
		}
		r, err := w.call("body")
		if err != nil || !r.Replayed || string(r.Body) != "body" {
			t.Fatalf("the repeat returned %+v, %v, want the replayed result", r, err)
		}
		if _, err := w.call("another"); !isCode(err, refuse.KeyReused) {
			t.Fatalf("another body with the same key: got %v, want key-reused", err)
		}
		if w.runCount() != 1 || len(w.receipts) != 1 {
			t.Fatalf("ran %d times, %d receipts", w.runCount(), len(w.receipts))
		}
	})
}

// Guards against refusals that keep asking callers to retry for the result of a
// call whose agent was lost.
func TestLostResultIsFinalAfterTheLongestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(behaviour{crashes: true}, behaviour{})
		defer w.stop()
		for _, c := range []struct {
			pause time.Duration
			code  refuse.Code
			retry bool
		}{{0, refuse.ClaimUnknown, true}, {time.Second, refuse.KeyInProgress, true}, {w.exec.o.MaxTimeout + 2*time.Minute, refuse.ClaimUnknown, false}} {
			time.Sleep(c.pause)
			_, err := w.call("body")
			e, ok := refuse.As(err)
			if !ok || e.Code != c.code || e.Ran != refuse.Unknown || (e.RetryAfter > 0) != c.retry {
				t.Fatalf("after %v: got %v, retry after %v", c.pause, err, e.RetryAfter)
			}
		}
	})
}

// Guards against a duplicate that runs in parallel with the first call, or that
// waits longer than duplicateWait for its result.
func TestRunningDuplicate(t *testing.T) {
	for name, c := range map[string]struct {
		run  time.Duration
		code refuse.Code
	}{
		"first ends soon": {time.Second, ""},
		"first runs long": {5 * time.Second, refuse.KeyInProgress},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(behaviour{run: c.run}, behaviour{})
				defer w.stop()
				first := make(chan error, 1)
				go func() {
					_, err := w.call("body")
					first <- err
				}()
				time.Sleep(100 * time.Millisecond)
				at := time.Now()
				r, err := w.call("body")
				if c.code == "" && (err != nil || !r.Replayed) || c.code != "" && !isCode(err, c.code) {
					t.Errorf("the duplicate returned %+v, %v", r, err)
				}
				if d := time.Since(at); d > duplicateWait+pollInterval {
					t.Errorf("the duplicate waited for %v", d)
				}
				if err := <-first; err != nil || w.runCount() != 1 {
					t.Errorf("the first call: %v, ran %d times", err, w.runCount())
				}
			})
		})
	}
}

// Guards against calls that run without a claim while the table is unavailable, and
// against a refusal with not-run for a key whose earlier call may have run, through
// this entry or another.
func TestTableUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(behaviour{losesResult: true})
		defer w.stop()
		w.table.SetFault(memory.Unanswered)
		if _, err := w.call("body"); !isCode(err, refuse.ClaimUnknown) || ranOf(err) != refuse.Unknown {
			t.Fatalf("table unavailable before the first call: got %v", err)
		}
		if _, err := w.do("GET", "/status", "", ""); err != nil {
			t.Fatalf("a repeatable call failed without the table: %v", err)
		}
		w.table.SetFault(memory.None)
		if _, err := w.call("body"); ranOf(err) != refuse.Unknown {
			t.Fatalf("result lost: got %v, want an unknown outcome", err)
		}
		w.table.SetFault(memory.Unanswered)
		if _, err := w.call("body"); ranOf(err) != refuse.Unknown {
			t.Fatalf("table unavailable after a lost result: got %v, want an unknown outcome", err)
		}
	})
}

// Guards against calls of unknown paths or without a key that reach an agent.
func TestInvalidCallsReachNoAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(behaviour{})
		defer w.stop()
		for name, c := range map[string]struct {
			method, path, key string
			code              refuse.Code
		}{
			"no key":  {"POST", "/runs", "", refuse.KeyRequired},
			"no rule": {"DELETE", "/runs", "k", refuse.ServiceNotAllowed},
		} {
			if _, err := w.do(c.method, c.path, c.key, ""); !isCode(err, c.code) || ranOf(err) != refuse.NotRun {
				t.Errorf("%s: the call returned %v", name, err)
			}
		}
		if w.agents[0].got != 0 {
			t.Error("a call without a key or a matching rule reached an agent")
		}
	})
}

// Guards against a refusal at the drain limit that says that the caller left, that is wrong about whether
// the call ran, or that replaces a result that comes soon after.
func TestDrainLimit(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		agent     behaviour
		code      refuse.Code
		ran       refuse.Ran
		runs      int
	}{
		"keyed, not sent yet":   {"/runs", "k", behaviour{before: 5 * time.Second}, refuse.UpstreamFailed, refuse.NotRun, 0},
		"keyed, ends soon":      {"/runs", "k", behaviour{run: 1500 * time.Millisecond}, "", "", 1},
		"keyed, at work":        {"/runs", "k", behaviour{run: 5 * time.Second}, refuse.ClaimUnknown, refuse.Unknown, 1},
		"repeatable, in flight": {"/status", "", behaviour{before: 5 * time.Second}, refuse.Draining, refuse.Unknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(c.agent, behaviour{})
				defer w.stop()
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(time.Second, func() { cancel(abort.ErrDrained) })
				at := time.Now()
				method := "GET"
				if c.key != "" {
					method = "POST"
				}
				_, err := w.exec.Call(ctx, Call{
					ID: "r1", Account: "a", Service: "orders", Method: method, Path: c.path, Target: c.path,
					Key: c.key, Deadline: at.Add(10 * time.Second),
				})
				if d := time.Since(at); d >= 3*time.Second {
					t.Errorf("the answer came %v after the limit, want less than 2s", d-time.Second)
				}
				time.Sleep(2 * long)
				e, _ := refuse.As(err)
				if (e == nil) != (c.code == "") || e != nil && (e.Code != c.code || e.Ran != c.ran) {
					t.Errorf("the call returned %v, want %s and %s", err, c.code, c.ran)
				}
				if n := w.runCount(); n != c.runs {
					t.Errorf("ran %d times, want %d", n, c.runs)
				}
			})
		})
	}
}

// Guards against calls that wait for a slow upstream although a hedge is allowed,
// against hedges that the rule or the budget does not allow, and against billing
// both attempts.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		budget int
		hedges uint64
		took   time.Duration
	}{
		"allowed":         {"/caps", 1, 1, time.Second},
		"rule forbids":    {"/status", 1, 0, 6 * time.Second},
		"budget is spent": {"/caps", 0, 0, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(behaviour{before: 5 * time.Second}, behaviour{})
				defer w.stop()
				w.budget = c.budget
				at := time.Now()
				if _, err := w.do("GET", c.path, "", ""); err != nil {
					t.Fatal(err)
				}
				if d := time.Since(at); d > c.took || w.exec.Counters().Hedges.Load() != c.hedges {
					t.Errorf("took %v with %d hedges", d, w.exec.Counters().Hedges.Load())
				}
				if len(w.receipts) != 1 {
					t.Errorf("%d receipts", len(w.receipts))
				}
			})
		})
	}
}

// Guards against a second run, and against answers that are wrong about whether the
// call ran, under any mix of agent pauses, crashes and refusals, repeated calls and
// lost answers of the table.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pause := rapid.SampledFrom([]time.Duration{0, 0, 3 * time.Second, 9 * time.Second, long})
		var bs []behaviour
		for i := range rapid.IntRange(1, 3).Draw(r, "agents") {
			bs = append(bs, behaviour{
				refuse:      rapid.SampledFrom([]refuse.Code{"", "", "", refuse.Overloaded, refuse.Draining}).Draw(r, fmt.Sprint("refuse", i)),
				before:      pause.Draw(r, fmt.Sprint("before", i)),
				run:         pause.Draw(r, fmt.Sprint("run", i)),
				after:       pause.Draw(r, fmt.Sprint("after", i)),
				breaks:      rapid.IntRange(0, 5).Draw(r, fmt.Sprint("breaks", i)) == 0,
				crashes:     rapid.IntRange(0, 5).Draw(r, fmt.Sprint("crashes", i)) == 0,
				losesResult: rapid.IntRange(0, 5).Draw(r, fmt.Sprint("loses result", i)) == 0,
			})
		}
		faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{memory.None, memory.None, memory.None, memory.LostAnswer, memory.Unanswered}), 40, 40).Draw(r, "faults")
		calls := rapid.IntRange(1, 3).Draw(r, "calls")
		apart := rapid.SampledFrom([]time.Duration{0, 4 * time.Second, 12 * time.Second}).Draw(r, "apart")
		var err error
		synctest.Test(t, func(*testing.T) { err = runCalls(bs, faults, calls, apart) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// runCalls makes calls with the same key, one per pause, and returns an error when they
// ran more than once or their answers contradict the number of runs.
func runCalls(bs []behaviour, faults []memory.Fault, calls int, apart time.Duration) error {
	w := newHarness(bs...)
	defer w.stop()
	n := 0
	w.table.SetFaultFunc(func(memory.Op, table.Key) memory.Fault {
		n++
		return faults[n%len(faults)]
	})
	errs := make(chan error, calls)
	for range calls {
		go func() {
			_, err := w.call("body")
			errs <- err
		}()
		time.Sleep(apart)
	}
	results, notRun := 0, 0
	for range calls {
		err := <-errs
		switch {
		case err == nil:
			results++
		case ranOf(err) == refuse.NotRun:
			notRun++
		}
	}
	time.Sleep(4 * long)
	switch runs := w.runCount(); {
	case runs > 1:
		return fmt.Errorf("ran %d times", runs)
	case results > 0 && runs == 0:
		return errors.New("a call returned a result, but none ran")
	case notRun == calls && runs > 0:
		return errors.New("every refusal says not-run, but a call ran")
	}
	return nil
}

func isCode(err error, c refuse.Code) bool {
	e, ok := refuse.As(err)
	return ok && e.Code == c
}

func ranOf(err error) refuse.Ran {
	e, _ := refuse.As(err)
	if e == nil {
		return ""
	}
	return e.Ran
}
