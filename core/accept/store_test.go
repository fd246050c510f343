package accept_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1101")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func document(name string) []byte {
	return fmt.Appendf(nil, "[environment]\nname = %s\n\n[model ipek]\nshares = a:100\n\n"+
		"[version ipek@a]\ninput-price-micro-cents = 1\noutput-price-micro-cents = 2\n\n[end]\n", name)
}

func promote(t testing.TB, s *accept.Store, seen ident.Generation) *spread.AcceptedDocument {
	t.Helper()
	a, err := s.Promote(t.Context(), accept.Promotion{Seen: seen, Body: document("ilmek"), Operator: "op"})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against reads that miss, repeat or reorder accepted documents.
func TestReads(t *testing.T) {
	s := accept.New(memory.New(), "ilmek")
	if a, err := s.Latest(t.Context(), 0); a != nil || err != nil {
		t.Fatalf("latest of an empty table: %v, %v", a, err)
	}
	for g := range ident.Generation(12) {
		promote(t, s, g)
	}
	if a, err := s.Latest(t.Context(), 3); err != nil || a.Generation != 12 {
		t.Errorf("latest above 3: %v, %v", a, err)
	}
	if a, err := s.Latest(t.Context(), 12); a != nil || err != nil {
		t.Errorf("latest above the newest: %v, %v", a, err)
	}
	h, err := s.History(t.Context(), 2)
	if err != nil || len(h) != 2 || h[0].Generation != 12 || h[1].Generation != 11 {
		t.Errorf("history: %v, %v", h, err)
	}
	if a, err := s.Get(t.Context(), 10); err != nil || a.Generation != 10 || a.Operator != "op" {
		t.Errorf("generation 10: %v, %v", a, err)
	}
	var e *refuse.Error
	if _, err := s.Get(t.Context(), 13); !errors.As(err, &e) || e.Code != refuse.NotFound {
		t.Errorf("generation 13: %v", err)
	}
}

// Guards against a promotion on top of a generation that does not exist, a promotion of
// an invalid document, and a refusal that reports wrongly during an outage whether the
// document was written.
func TestPromoteRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		seen  ident.Generation
		body  []byte
		fault memory.Fault
		code  refuse.Code
		ran   refuse.Ran
	}{
		"gap":            {seen: 7, body: document("ilmek"), code: refuse.GenerationConflict, ran: refuse.NotRun},
		"bad document":   {body: []byte("[nonsense"), code: refuse.DocumentInvalid, ran: refuse.NotRun},
		"not reached":    {body: document("ilmek"), fault: memory.Refused, code: refuse.TableUnavailable, ran: refuse.NotRun},
		"never answered": {body: document("ilmek"), fault: memory.LostAnswer, code: refuse.OutcomeUnknown, ran: refuse.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memory.New()
				m.SetFault(c.fault)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := accept.New(m, "ilmek").Promote(ctx, accept.Promotion{Seen: c.seen, Body: c.body})
				var e *refuse.Error
				if !errors.As(err, &e) || e.Code != c.code || e.Ran != c.ran {
					t.Errorf("got %v, want %s (%s)", err, c.code, c.ran)
				}
			})
		})
	}
}

// Guards against two promotions that both create one generation, a failed promotion
// whose error names a wrong winner, and an unknown outcome that is reported as known, under
// lost and late answers.
func TestPromoteRace(t *testing.T) {
	faults := rapid.SampledFrom([]memory.Fault{memory.None, memory.None, memory.Refused, memory.Unanswered, memory.LostAnswer, memory.Delayed})
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(faults, 40, 40).Draw(r, "faults")
		promotions := rapid.IntRange(2, 5).Draw(r, "promotions")
		synctest.Test(t, func(*testing.T) {
			m := memory.New()
			next := 0
			m.SetFaultFunc(func(memory.Op, table.Key) memory.Fault {
				next++
				return plan[next%len(plan)]
			})
			results := race(accept.New(m, "ilmek"), promotions)
			m.SetFault(memory.None)
			m.ApplyDelayed()
			checkRace(r, accept.New(m, "ilmek"), results)
		})
	})
}

// outcome is the result of one promotion in a race.
type outcome struct {
	digest envdoc.Digest
	err    error
}

// race makes concurrent promotions of different documents to generation 1 and returns
// their results.
func race(s *accept.Store, promotions int) []outcome {
	results := make(chan outcome, promotions)
	for i := range promotions {
		go func() {
			// Promotions start one after another, so that a seed gives the same run each time.
			time.Sleep(time.Duration(i) * time.Microsecond)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			body := document(fmt.Sprintf("ilmek-%c", 'a'+i))
			_, err := s.Promote(ctx, accept.Promotion{Body: body, Operator: "op", Token: table.WriteToken(fmt.Sprint(i))})
			results <- outcome{digest: envdoc.DigestOf(body), err: err}
		}()
	}
	var out []outcome
	for range promotions {
		out = append(out, <-results)
	}
	return out
}

// checkRace compares the results with the document that the table holds.
func checkRace(r *rapid.T, s *accept.Store, results []outcome) {
	stored, err := s.Latest(context.Background(), 0)
	if err != nil {
		r.Error(err)
		return
	}
	for _, o := range results {
		var (
			c *accept.ConflictError
			e *refuse.Error
		)
		switch {
		case o.err == nil:
			if stored == nil || stored.Document.Digest != o.digest {
				r.Errorf("%s was reported as accepted, the table holds %v", o.digest, stored)
			}
		case errors.As(o.err, &c):
			if stored == nil || c.Winner.Document.Digest != stored.Document.Digest || o.digest == stored.Document.Digest {
				r.Errorf("%s was reported as preceded by %s, the table holds %v", o.digest, c.Winner.Document.Digest, stored)
			}
		case errors.As(o.err, &e) && e.Ran == refuse.NotRun:
			if stored != nil && stored.Document.Digest == o.digest {
				r.Errorf("%s was reported as not written and is stored", o.digest)
			}
		case errors.As(o.err, &e) && e.Code == refuse.OutcomeUnknown:
		default:
			r.Errorf("unexpected error: %v", o.err)
		}
	}
}

// Guards against a roll-out step that a paused lease holder writes a second time, and
// against an older halt that replaces a newer one.
func TestStepsAndHalts(t *testing.T) {
	s := accept.New(memory.New(), "ilmek")
	if err := s.AdvanceStep(t.Context(), 3, "r", 0, 1, "a"); err != nil {
		t.Fatal(err)
	}
	if err := s.AdvanceStep(t.Context(), 3, "r", 0, 1, "a"); err != nil {
		t.Errorf("repeat with the same token: %v", err)
	}
	var c *accept.StepConflictError
	if err := s.AdvanceStep(t.Context(), 3, "r", 0, 1, "b"); !errors.As(err, &c) || c.Current != 1 {
		t.Errorf("paused holder: %v", err)
	}
	if m, err := s.Steps(t.Context(), 3); err != nil || len(m) != 1 || m["r"] != 1 {
		t.Errorf("steps: %v, %v", m, err)
	}
	v := ident.VersionRef{Model: "ipek", Version: "a"}
	for _, g := range []ident.Generation{4, 2, 6, 5} {
		if err := s.SaveHalt(t.Context(), spread.Halt{Version: v, Generation: g}); err != nil {
			t.Fatal(err)
		}
	}
	if hs, err := s.Halts(t.Context()); err != nil || len(hs) != 1 || hs[0].Generation != 6 {
		t.Errorf("halts: %v, %v", hs, err)
	}
}

// Guards against a promotion without a trial of its bytes: a trial must be found if and
// only if it was recorded.
func TestTrials(t *testing.T) {
	s := accept.New(memory.New(), "ilmek")
	if ok, err := s.HasTrial(t.Context(), "d"); ok || err != nil {
		t.Errorf("before the trial: %v, %v", ok, err)
	}
	for range 2 {
		if err := s.SaveTrial(t.Context(), accept.Trial{Digest: "d"}); err != nil {
			t.Fatal(err)
		}
	}
	if ok, err := s.HasTrial(t.Context(), "d"); !ok || err != nil {
		t.Errorf("after the trial: %v, %v", ok, err)
	}
}
