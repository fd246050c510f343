package table_test

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1401")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against a write that is reported as made, conflicting or not applied while the
// row, after all delayed writes, shows something else.
func TestPutWithRetryOutcome(t *testing.T) {
	faults := rapid.SampledFrom([]memory.Fault{memory.None, memory.Refused, memory.Unanswered, memory.LostAnswer, memory.Delayed})
	k := table.Key{Partition: "p", Sort: "s"}
	made, notMade, unknown := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(faults, 1, 20).Draw(r, "faults")
		writers := rapid.IntRange(1, 4).Draw(r, "writers")
		synctest.Test(t, func(t *testing.T) {
			m := memory.New()
			calls := 0
			m.SetFaultFunc(func(memory.Op, table.Key) memory.Fault {
				calls++
				return plan[calls%len(plan)]
			})
			type result struct {
				token table.WriteToken
				err   error
			}
			results := make(chan result, writers)
			for i := range writers {
				go func() {
					// Writers start one after another, so that a seed gives the same run each time.
					time.Sleep(time.Duration(i) * time.Microsecond)
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					w := table.Write{Key: k, Token: table.WriteToken('a' + rune(i))}
					results <- result{token: w.Token, err: m.PutWithRetry(ctx, w)}
				}()
			}
			var all []result
			for range writers {
				all = append(all, <-results)
			}
			m.SetFault(memory.None)
			m.ApplyDelayed()
			row, _ := m.Get(t.Context(), k)
			for _, o := range all {
				own := row.Token == o.token
				_, conflict := table.AsConflict(o.err)
				switch {
				case o.err == nil:
					made++
					if !own {
						r.Errorf("write %s was reported as made, the row has %q", o.token, row.Token)
					}
				case conflict || table.NotApplied(o.err):
					notMade++
					if own {
						r.Errorf("write %s was reported as not made and is in the row: %v", o.token, o.err)
					}
				case table.IsUnavailable(o.err):
					unknown++
				default:
					r.Errorf("unexpected error: %v", o.err)
				}
			}
		})
	})
	t.Logf("seed 1401: %d made, %d not made, %d unknown", made, notMade, unknown)
}

// Guards against a write to a row that no longer exists and that is repeated until the
// deadline.
func TestPutWithRetryMissingRow(t *testing.T) {
	err := memory.New().PutWithRetry(t.Context(), table.Write{Key: table.Key{Partition: "p", Sort: "s"}, Expect: 3, Token: "a"})
	if _, ok := table.AsConflict(err); !ok {
		t.Errorf("got %v, want a conflict", err)
	}
}
