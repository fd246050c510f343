package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1301")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var key = claim.Key{Account: "a", Service: "orders", Idempotency: "k"}

// Guards against a claim that returns to an earlier state, a dispatch that the current
// claim forbids, and a result that is lost or recorded for another call.
func TestStates(t *testing.T) {
	s := claim.New(memory.New())
	ctx := t.Context()
	if c, err := s.Read(ctx, key); c != nil || err != nil {
		t.Fatalf("unclaimed key: %v, %v", c, err)
	}
	n, err := s.MarkNotRun(ctx, key, claim.NotRunMark{Digest: "d"})
	if err != nil || n.Revision != 1 || n.State != claim.StateNotRun {
		t.Fatalf("mark: %v, %v", n, err)
	}
	if again, err := s.MarkNotRun(ctx, key, claim.NotRunMark{Digest: "d"}); err != nil || again.Revision != 1 {
		t.Errorf("mark by a second entry: %v, %v", again, err)
	}
	c, err := s.Dispatch(ctx, key, claim.Dispatch{Expect: 1, Digest: "d", Upstream: "u"})
	if err != nil || c.Revision != 2 || c.State != claim.StateDispatched {
		t.Fatalf("dispatch: %v, %v", c, err)
	}
	for name, f := range map[string]func() error{
		"fenced dispatch":        func() error { _, err := s.Dispatch(ctx, key, claim.Dispatch{Digest: "d"}); return err },
		"dispatch of dispatched": func() error { _, err := s.Dispatch(ctx, key, claim.Dispatch{Expect: 2, Digest: "d"}); return err },
		"mark of dispatched":     func() error { _, err := s.MarkNotRun(ctx, key, claim.NotRunMark{Expect: 2, Digest: "d"}); return err },
	} {
		var conflict *claim.ConflictError
		if err := f(); !errors.As(err, &conflict) || conflict.Claim.State != claim.StateDispatched {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := s.Finish(ctx, c, claim.Result{StatusCode: 201, Body: make([]byte, claim.MaxResultBytes+1)}); err != nil {
		t.Fatal(err)
	}
	done, err := s.Read(ctx, key)
	if err != nil || done.State != claim.StateDone || done.Result.StatusCode != 201 || !done.Result.Truncated || done.Result.Body != nil {
		t.Errorf("done: %+v, %v", done, err)
	}
}

// Guards against a call that was claimed but not sent and blocks its key for ever.
func TestAbandon(t *testing.T) {
	s := claim.New(memory.New())
	c, err := s.Dispatch(t.Context(), key, claim.Dispatch{Digest: "d", Upstream: "u"})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Abandon(t.Context(), c); err != nil {
		t.Fatal(err)
	}
	n, err := s.Read(t.Context(), key)
	if err != nil || n.State != claim.StateNotRun || n.Revision != 2 {
		t.Errorf("abandoned: %v, %v", n, err)
	}
	var conflict *claim.ConflictError
	if err := s.Finish(t.Context(), c, claim.Result{}); !errors.As(err, &conflict) {
		t.Errorf("result of an abandoned call: %v", err)
	}
}

// Guards against calls with different bodies under one key.
func TestKeyReused(t *testing.T) {
	s := claim.New(memory.New())
	if _, err := s.MarkNotRun(t.Context(), key, claim.NotRunMark{Digest: "d"}); err != nil {
		t.Fatal(err)
	}
	for name, expect := range map[string]ident.Revision{"stale": 0, "current": 1} {
		_, err := s.Dispatch(t.Context(), key, claim.Dispatch{Expect: expect, Digest: "other"})
		if e, ok := refuse.As(err); !ok || e.Code != refuse.KeyReused || e.Ran != refuse.NotRun {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a dispatch with an unknown outcome that blocks its key for ever, and
// against two calls that share one claim.
func TestUnknownDispatch(t *testing.T) {
	for name, f := range map[string]memory.Fault{"took effect": memory.LostAnswer, "had no effect": memory.Unanswered, "takes effect later": memory.Delayed} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memory.New()
				s := claim.New(m)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = s.Run(ctx) }()
				m.SetFault(f)
				short, stop := context.WithTimeout(ctx, time.Second)
				defer stop()
				d := claim.Dispatch{Digest: "d", Token: "attempt-1"}
				_, err := s.Dispatch(short, key, d)
				if e, ok := refuse.As(err); !ok || e.Code != refuse.ClaimUnknown || e.Ran != refuse.Unknown {
					t.Fatalf("got %v, want claim-unknown", err)
				}
				time.Sleep(time.Minute)
				m.SetFault(memory.None)
				m.ApplyDelayed()
				time.Sleep(time.Minute)
				c, err := s.Read(ctx, key)
				if err != nil || c == nil || c.State != claim.StateNotRun {
					t.Fatalf("after the outage: %v, %v", c, err)
				}
				d.Expect = c.Revision
				if _, err := s.Dispatch(ctx, key, d); err != nil {
					t.Errorf("next dispatch: %v", err)
				}
				if _, err := s.Dispatch(ctx, key, d); err == nil {
					t.Error("the same attempt was dispatched twice")
				}
			})
		})
	}
}

// faultPlan is the sequence of faults and delays of a run, drawn before the run.
type faultPlan struct {
	faults []memory.Fault
	delays []time.Duration
	cursor int
}

func drawFaultPlan(r *rapid.T) *faultPlan {
	kinds := []memory.Fault{memory.Refused, memory.Unanswered, memory.LostAnswer, memory.Delayed}
	for range rapid.IntRange(1, 30).Draw(r, "calls without fault") {
		kinds = append(kinds, memory.None)
	}
	f := rapid.SampledFrom(kinds)
	d := rapid.SampledFrom([]time.Duration{
		0, 0, 0, 0, time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 20 * time.Second,
	})
	return &faultPlan{
		faults: rapid.SliceOfN(f, 60, 60).Draw(r, "faults"),
		delays: rapid.SliceOfN(d, 61, 61).Draw(r, "delays"),
	}
}

// simulation runs entries and agents against one table and counts the dispatches of
// each attempt.
type simulation struct {
	table *memory.Table
	plan  *faultPlan

	mu         sync.Mutex
	dispatched map[string]int
}

func (s *simulation) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.cursor++
	return s.plan.delays[s.plan.cursor%len(s.plan.delays)]
}

// agent dispatches and finishes one call with pauses between all steps. The channel
// receives nil if the call ran, otherwise the error of the dispatch.
func (s *simulation) agent(ctx context.Context, id string, expect ident.Revision) <-chan error {
	out := make(chan error, 1)
	store := claim.New(s.table)
	go func() { _ = store.Run(ctx) }()
	go func() {
		time.Sleep(s.delay())
		c, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		made, err := store.Dispatch(c, key, claim.Dispatch{Expect: expect, Digest: "d", Token: "t"})
		if err != nil {
			out <- err
			return
		}
		time.Sleep(s.delay())
		s.mu.Lock()
		s.dispatched[id]++
		s.mu.Unlock()
		f, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		_ = store.Finish(f, made, claim.Result{StatusCode: 200})
		out <- nil
	}()
	return out
}

// entry makes up to two attempts, each on another agent. It returns whether the call
// ran, as the caller is told, and the ids of the attempts.
func (s *simulation) entry(ctx context.Context, name string) (refuse.Ran, []string) {
	store := claim.New(s.table)
	c, err := store.Read(ctx, key)
	if err != nil {
		return refuse.FromError(err, refuse.Unknown).Ran, nil
	}
	var expect ident.Revision
	if c != nil && c.State != claim.StateNotRun {
		return refuse.Unknown, nil
	}
	if c != nil {
		expect = c.Revision
	}
	var ids []string
	for i := range 2 {
		id := fmt.Sprintf("%s/%d", name, i)
		ids = append(ids, id)
		select {
		case err := <-s.agent(ctx, id, expect):
			if err == nil {
				return refuse.DidRun, ids
			}
			if e, ok := refuse.As(err); ok && e.Ran == refuse.NotRun {
				continue
			}
		case <-time.After(time.Second + s.delay()):
		}
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		n, err := store.MarkNotRun(short, key, claim.NotRunMark{Expect: expect, Digest: "d"})
		cancel()
		if err != nil {
			return refuse.Unknown, ids
		}
		expect = n.Revision
	}
	return refuse.NotRun, ids
}

// answer is what an entry answers its caller, with the ids of its attempts.
type answer struct {
	ran refuse.Ran
	ids []string
}

// run starts the entries, collects their answers and waits until all paused agents and
// queued writes are done.
func (s *simulation) run(ctx context.Context, entries int) []answer {
	out := make(chan answer, entries)
	for i := range entries {
		go func() {
			// Entries start one after another, so that a seed gives the same run each time.
			time.Sleep(time.Duration(i) * time.Microsecond)
			time.Sleep(s.delay())
			ran, ids := s.entry(ctx, fmt.Sprintf("entry-%d", i))
			out <- answer{ran: ran, ids: ids}
		}()
	}
	var as []answer
	for range entries {
		as = append(as, <-out)
	}
	// Paused agents and queued writes continue after the last answer.
	time.Sleep(10 * time.Minute)
	s.table.ApplyDelayed()
	time.Sleep(10 * time.Minute)
	return as
}

// Guards against a second dispatch of a key and against a not-run answer for a call
// that was sent before or after the answer, under lost and late answers, writes that
// take effect late, outages, and pauses of entries and agents between all steps.
func TestAtMostOnce(t *testing.T) {
	answers := map[refuse.Ran]int{}
	rapid.Check(t, func(r *rapid.T) {
		p := drawFaultPlan(r)
		entries := rapid.IntRange(1, 4).Draw(r, "entries")
		synctest.Test(t, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1301)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &simulation{table: memory.New(), plan: p, dispatched: map[string]int{}}
			calls := 0
			s.table.SetFaultFunc(func(memory.Op, table.Key) memory.Fault {
				calls++
				return p.faults[calls%len(p.faults)]
			})
			s.table.SetDelayFunc(func(memory.Op, table.Key) (time.Duration, time.Duration) { return s.delay(), s.delay() })
			as := s.run(ctx, entries)
			total := 0
			for _, n := range s.dispatched {
				total += n
			}
			if total > 1 {
				r.Errorf("the key was dispatched %d times: %v", total, s.dispatched)
			}
			for _, a := range as {
				answers[a.ran]++
				for _, id := range a.ids {
					if a.ran == refuse.NotRun && s.dispatched[id] > 0 {
						r.Errorf("%s was dispatched and its caller was told not-run", id)
					}
				}
			}
		})
	})
	t.Logf("seed 1301, answers: %v", answers)
	for _, ran := range []refuse.Ran{refuse.NotRun, refuse.DidRun, refuse.Unknown} {
		if answers[ran] == 0 {
			t.Errorf("no entry answered %s in any run", ran)
		}
	}
}
