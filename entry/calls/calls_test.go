package calls

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
)

// long is a pause beyond the deadline of every call.
const long = 30 * time.Second

// Guards against a second run, against an untruthful answer, and against a
// refusal where another agent could have run the call, for each way in which an
// agent can fail to answer.
func TestOneCall(t *testing.T) {
	for name, c := range map[string]struct {
		agents []behaviour
		runs   int
		code   refuse.Code
		ran    refuse.Ran
		bills  int
	}{
		"answered":                      {[]behaviour{{}}, 1, "", "", 1},
		"refused, then answered":        {[]behaviour{{refuse: refuse.Overloaded}, {}}, 1, "", "", 1},
		"all refuse":                    {[]behaviour{{refuse: refuse.Overloaded}, {refuse: refuse.Overloaded}}, 0, refuse.Overloaded, refuse.NotRun, 0},
		"no agent":                      {nil, 0, refuse.NoUpstream, refuse.NotRun, 0},
		"link broke, then answered":     {[]behaviour{{breaks: true}, {}}, 1, "", "", 1},
		"link broke, no other":          {[]behaviour{{breaks: true}}, 0, refuse.UpstreamFailed, refuse.NotRun, 0},
		"paused before dispatch":        {[]behaviour{{before: long}}, 0, refuse.UpstreamFailed, refuse.NotRun, 0},
		"paused before run":             {[]behaviour{{run: long}}, 1, refuse.ClaimUnknown, refuse.Unknown, 0},
		"paused after the result":       {[]behaviour{{after: long}}, 1, "", "", 0},
		"died before run":               {[]behaviour{{dies: true}, {}}, 0, refuse.ClaimUnknown, refuse.Unknown, 0},
		"died after run":                {[]behaviour{{forgets: true}, {}}, 1, refuse.ClaimUnknown, refuse.Unknown, 0},
		"mistake of the caller, no try": {[]behaviour{{refuse: refuse.BadRequest}, {}}, 0, refuse.BadRequest, refuse.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(c.agents...)
				defer w.stop()
				_, err := w.call("body")
				time.Sleep(2 * long)
				e, _ := refuse.As(err)
				if (e == nil) != (c.code == "") || e != nil && (e.Code != c.code || e.Ran != c.ran) {
					t.Errorf("got %v", err)
				}
				if w.count() != c.runs || len(w.receipts) != c.bills {
					t.Errorf("ran %d times, receipts %+v", w.count(), w.receipts)
				}
			})
		})
	}
}

// Guards against a caller who repeats a call and gets a second run, a second
// bill, or another call's result.
func TestRepeatedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(behaviour{}, behaviour{})
		defer w.stop()
		if _, err := w.call("body"); err != nil {
			t.Fatal(err)
		}
		r, err := w.call("body")
		if err != nil || !r.Replayed || string(r.Body) != "body" {
			t.Fatalf("got %+v, %v", r, err)
		}
		if _, err := w.call("another"); !isCode(err, refuse.KeyReused) {
			t.Fatalf("got %v", err)
		}
		if w.count() != 1 || len(w.receipts) != 1 {
			t.Fatalf("ran %d times, %d receipts", w.count(), len(w.receipts))
		}
	})
}

// Guards against callers who are told for ever to come back for the result of a
// call whose agent was lost.
func TestLostResultIsFinalAfterTheLongestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(behaviour{dies: true}, behaviour{})
		defer w.stop()
		for _, c := range []struct {
			pause time.Duration
			code  refuse.Code
			retry bool
		}{{0, refuse.ClaimUnknown, true}, {time.Second, refuse.KeyInProgress, true}, {w.desk.o.MaxTimeout + 2*time.Minute, refuse.ClaimUnknown, false}} {
			time.Sleep(c.pause)
			_, err := w.call("body")
			e, ok := refuse.As(err)
			if !ok || e.Code != c.code || e.Ran != refuse.Unknown || (e.RetryAfter > 0) != c.retry {
				t.Fatalf("after %v: %v, retry after %v", c.pause, err, e.RetryAfter)
			}
		}
	})
}

// Guards against a duplicate that runs beside the first call, or that waits for long.
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
				w := newWorld(behaviour{run: c.run}, behaviour{})
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
					t.Errorf("got %+v, %v", r, err)
				}
				if d := time.Since(at); d > duplicateWait+pollEvery {
					t.Errorf("the duplicate waited for %v", d)
				}
				if err := <-first; err != nil || w.count() != 1 {
					t.Errorf("the first call: %v, ran %d times", err, w.count())
				}
			})
		})
	}
}

// Guards against calls without a claim while the table is down, and against a
// not-run for a key whose earlier call may have run, through this entry or another.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(behaviour{forgets: true})
		defer w.stop()
		w.table.SetFault(memory.Unanswered)
		if _, err := w.call("body"); !isCode(err, refuse.ClaimUnknown) || ranOf(err) != refuse.Unknown {
			t.Fatalf("got %v", err)
		}
		if _, err := w.do("GET", "/status", "", ""); err != nil {
			t.Fatalf("a repeatable call needs no table: %v", err)
		}
		w.table.SetFault(memory.None)
		if _, err := w.call("body"); ranOf(err) != refuse.Unknown {
			t.Fatalf("got %v", err)
		}
		w.table.SetFault(memory.Unanswered)
		if _, err := w.call("body"); ranOf(err) != refuse.Unknown {
			t.Fatalf("got %v", err)
		}
	})
}

// Guards against calls of unknown paths or without a key that reach an agent.
func TestBadCallsReachNoAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(behaviour{})
		defer w.stop()
		for name, c := range map[string]struct {
			method, path, key string
			code              refuse.Code
		}{
			"no key":  {"POST", "/runs", "", refuse.KeyRequired},
			"no rule": {"DELETE", "/runs", "k", refuse.ServiceNotAllowed},
		} {
			if _, err := w.do(c.method, c.path, c.key, ""); !isCode(err, c.code) || ranOf(err) != refuse.NotRun {
				t.Errorf("%s: got %v", name, err)
			}
		}
		if w.agents[0].got != 0 {
			t.Error("an agent was called")
		}
	})
}

// Guards against look-ups that wait for a slow upstream where a hedge is allowed,
// against hedges elsewhere or beyond the budget, and against billing both.
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
				w := newWorld(behaviour{before: 5 * time.Second}, behaviour{})
				defer w.stop()
				w.budget = c.budget
				at := time.Now()
				if _, err := w.do("GET", c.path, "", ""); err != nil {
					t.Fatal(err)
				}
				if d := time.Since(at); d > c.took || w.desk.Counters().Hedges.Load() != c.hedges {
					t.Errorf("took %v with %d hedges", d, w.desk.Counters().Hedges.Load())
				}
				if len(w.receipts) != 1 {
					t.Errorf("%d receipts", len(w.receipts))
				}
			})
		})
	}
}

// Guards against a second run and against untruthful answers under any mix of
// pauses, deaths, refusals, repeats and lost answers of the table.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pause := rapid.SampledFrom([]time.Duration{0, 0, 3 * time.Second, 9 * time.Second, long})
		var bs []behaviour
		for i := range rapid.IntRange(1, 3).Draw(r, "agents") {
			bs = append(bs, behaviour{
				refuse:  rapid.SampledFrom([]refuse.Code{"", "", "", refuse.Overloaded, refuse.Draining}).Draw(r, fmt.Sprint("refuse", i)),
				before:  pause.Draw(r, fmt.Sprint("before", i)),
				run:     pause.Draw(r, fmt.Sprint("run", i)),
				after:   pause.Draw(r, fmt.Sprint("after", i)),
				breaks:  rapid.IntRange(0, 5).Draw(r, fmt.Sprint("breaks", i)) == 0,
				dies:    rapid.IntRange(0, 5).Draw(r, fmt.Sprint("dies", i)) == 0,
				forgets: rapid.IntRange(0, 5).Draw(r, fmt.Sprint("forgets", i)) == 0,
			})
		}
		faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{memory.None, memory.None, memory.None, memory.LostAnswer, memory.Unanswered}), 40, 40).Draw(r, "faults")
		calls := rapid.IntRange(1, 3).Draw(r, "calls")
		apart := rapid.SampledFrom([]time.Duration{0, 4 * time.Second, 12 * time.Second}).Draw(r, "apart")
		var err error
		synctest.Test(t, func(*testing.T) { err = run(bs, faults, calls, apart) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// run makes calls with one key and returns what is wrong with their answers.
func run(bs []behaviour, faults []memory.Fault, calls int, apart time.Duration) error {
	w := newWorld(bs...)
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
	switch runs := w.count(); {
	case runs > 1:
		return fmt.Errorf("ran %d times", runs)
	case results > 0 && runs == 0:
		return errors.New("an answer without a run")
	case notRun == calls && runs > 0:
		return errors.New("every answer says not-run, but it ran")
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
