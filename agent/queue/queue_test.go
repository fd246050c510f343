package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/core/ident"
)

const seed = "4201"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("property seed", seed)
	os.Exit(m.Run())
}

var start = time.UnixMilli(1_800_000_000_000)

func drawAccount(r *rapid.T) ident.AccountID {
	return ident.AccountID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "account"))
}

// Guards against a queue that exceeds its limits, loses or duplicates items, or reports
// a backlog that differs from the sum of its items.
func TestBoundsAndContent(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := queue.Limits{Items: 12, PerAccount: 5}
		q := queue.New(l)
		held := map[uint64]queue.Item{}
		now := start
		for id := uint64(1); id < 80; id++ {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1, 2:
				it := queue.Item{
					ID:          id,
					Account:     drawAccount(r),
					Weight:      rapid.IntRange(0, 8).Draw(r, "weight"),
					Priority:    rapid.IntRange(-1, 1).Draw(r, "priority"),
					ServiceTime: time.Duration(rapid.IntRange(0, 2000).Draw(r, "service")) * time.Millisecond,
					Deadline:    now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(r, "left")) * time.Millisecond),
				}
				if _, ok := q.Push(it, queue.Load{Slots: 2, Running: 2}, now).(queue.Queued); ok {
					held[id] = it
				}
			case 3:
				if it, ok := q.Pop(); ok {
					delete(held, it.ID)
				}
			case 4:
				now = now.Add(time.Second)
				for _, it := range q.Expire(now) {
					delete(held, it.ID)
				}
			case 5:
				if q.Remove(id / 2) {
					delete(held, id/2)
				}
			}
			per := map[ident.AccountID]int{}
			var backlog time.Duration
			for _, it := range held {
				per[it.Account]++
				backlog += it.ServiceTime
			}
			if q.Len() != len(held) || q.Backlog() != backlog {
				r.Fatalf("queue holds %d items with %v, want %d with %v", q.Len(), q.Backlog(), len(held), backlog)
			}
			for a, n := range per {
				if n > l.PerAccount || len(held) > l.Items {
					r.Fatalf("account %s holds %d of %d items", a, n, len(held))
				}
			}
		}
	})
}

// Guards against starvation: whatever another account has queued, with any priority, an
// account gets its share of the service time by weight, within one item.
func TestNoAccountStarves(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := queue.New(queue.Limits{Items: 1000, PerAccount: 500})
		weight := map[ident.AccountID]int{}
		longest := map[ident.AccountID]time.Duration{}
		id := uint64(0)
		for _, a := range []ident.AccountID{"a", "b", "c"} {
			weight[a] = rapid.IntRange(1, 8).Draw(r, "weight")
			p := rapid.IntRange(-3, 3).Draw(r, "priority")
			for range 200 {
				id++
				s := time.Duration(rapid.IntRange(50, 500).Draw(r, "service")) * time.Millisecond
				longest[a] = max(longest[a], s)
				q.Push(queue.Item{ID: id, Account: a, Weight: weight[a], Priority: p, ServiceTime: s, Deadline: start.Add(time.Hour)}, queue.Load{Slots: 1, Running: 1}, start)
			}
		}
		got := map[ident.AccountID]time.Duration{}
		for range 60 {
			it, _ := q.Pop()
			got[it.Account] += it.ServiceTime
			for a := range weight {
				for b := range weight {
					// Start-time fair queueing bounds the difference by one item of each account.
					diff := got[a].Seconds()/float64(weight[a]) - got[b].Seconds()/float64(weight[b])
					bound := longest[a].Seconds()/float64(weight[a]) + longest[b].Seconds()/float64(weight[b])
					if diff > bound+1e-6 {
						r.Fatalf("account %s is ahead of %s by %.3f, bound %.3f", a, b, diff, bound)
					}
				}
			}
		}
	})
}

// Guards against priorities that are ignored within an account, and against items of
// equal priority that are not served in order of arrival.
func TestPriorityWithinAccount(t *testing.T) {
	q := queue.New(queue.Default())
	for i, p := range []int{0, 5, 0, 5} {
		q.Push(queue.Item{ID: uint64(i), Account: "a", Weight: 1, Priority: p, Deadline: start.Add(time.Hour)}, queue.Load{}, start)
	}
	for _, want := range []uint64{1, 3, 0, 2} {
		if it, ok := q.Pop(); !ok || it.ID != want {
			t.Fatalf("popped %d, want %d", it.ID, want)
		}
	}
}

// Guards against queueing work that can't meet its deadline behind the items ahead of
// it, and against refusing work of an account with no items of its own.
func TestLateItemIsRefusedOnArrival(t *testing.T) {
	q := queue.New(queue.Default())
	busy := queue.Load{Slots: 1, Running: 1, Remaining: time.Second}
	for i := range 10 {
		q.Push(queue.Item{ID: uint64(i), Account: "big", Weight: 1, ServiceTime: time.Second, Deadline: start.Add(time.Hour)}, busy, start)
	}
	soon := queue.Item{ID: 100, Account: "big", Weight: 1, ServiceTime: time.Second, Deadline: start.Add(5 * time.Second)}
	v, ok := q.Push(soon, busy, start).(queue.Late)
	if !ok || v.Wait != 11*time.Second || v.RetryAfter <= 0 {
		t.Fatalf("got %+v, want Late with a wait of 11s and a positive RetryAfter", v)
	}
	soon.Account = "small"
	if v, ok := q.Push(soon, busy, start).(queue.Queued); !ok || v.Wait > 2*time.Second {
		t.Fatalf("got %+v, want the other account's item queued with a wait of at most 2s", v)
	}
	if out := q.Expire(start.Add(4600 * time.Millisecond)); len(out) != 1 || out[0].ID != 100 {
		t.Fatalf("expired %v, want only item 100, which can no longer finish", out)
	}
}

// Guards against a wrong prediction that refuses all work: no work would run, so no
// sample would correct the prediction.
func TestFreeSlotIgnoresPrediction(t *testing.T) {
	q := queue.New(queue.Default())
	it := queue.Item{ID: 1, Account: "a", Weight: 1, ServiceTime: time.Hour, Deadline: start.Add(time.Second)}
	if _, ok := q.Push(it, queue.Load{Slots: 1}, start).(queue.Queued); !ok {
		t.Fatal("refused although a slot is free")
	}
}

// Guards against predictions that do not follow the observed service times.
func TestPredictor(t *testing.T) {
	var p queue.Predictor
	if d := p.Predict(1000, 100); d != 0 {
		t.Fatalf("predicted %v before the first sample, want 0", d)
	}
	for range 50 {
		p.Observe(queue.Sample{Input: 1000, Output: 51, MaxOutput: 102, FirstToken: 100 * time.Millisecond, Total: 600 * time.Millisecond})
	}
	if d := p.Predict(2000, 204).Round(time.Millisecond); d != 1220*time.Millisecond {
		t.Fatalf("predicted %v, want 1.22s: 200 ms of input and 102 tokens of 10 ms", d)
	}
}
