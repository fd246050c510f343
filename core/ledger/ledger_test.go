package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1501")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// receipt returns a complete receipt of an attempt that streamed to the caller. Its
// price is the number of the attempt.
func receipt(request int, role ledger.Role, attempt ident.Attempt) ledger.Receipt {
	return ledger.Receipt{
		Request: ident.RequestID(fmt.Sprintf("r-%03d", request)),
		Role:    role,
		Attempt: attempt,
		Account: "a",
		Output:  10 * ident.Tokens(attempt),
		Price:   ident.MicroCents(attempt),
		Direct:  true,
		Outcome: ledger.OutcomeComplete,
	}
}

// start returns a running buffer and the function that stops it.
func start(t *testing.T, o ledger.Options) (*ledger.Buffer, context.CancelFunc) {
	b := ledger.New(o)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = b.Run(ctx) }()
	return b, cancel
}

// Guards against a wrong choice of the receipt that bills a request.
func TestNewBill(t *testing.T) {
	hidden := receipt(1, ledger.RoleAttempt, 2)
	hidden.Direct = false
	broken := receipt(1, ledger.RoleBill, 1)
	broken.Outcome = ledger.OutcomeBroken
	for name, c := range map[string]struct {
		receipts []ledger.Receipt
		price    ident.MicroCents
		cost     ident.MicroCents
		lines    int
	}{
		"entry and agent":         {[]ledger.Receipt{receipt(1, ledger.RoleAttempt, 1), receipt(1, ledger.RoleBill, 1)}, 1, 1, 1},
		"agents only":             {[]ledger.Receipt{receipt(1, ledger.RoleAttempt, 1), receipt(1, ledger.RoleAttempt, 3)}, 3, 4, 1},
		"entry wins over retries": {[]ledger.Receipt{receipt(1, ledger.RoleAttempt, 3), receipt(1, ledger.RoleBill, 2)}, 2, 3, 1},
		"hidden cascade attempt":  {[]ledger.Receipt{hidden}, 0, 2, 0},
		"hidden and shown":        {[]ledger.Receipt{hidden, receipt(1, ledger.RoleAttempt, 1)}, 1, 3, 1},
		"repeated":                {[]ledger.Receipt{broken, broken, broken}, 1, 0, 1},
		"two requests":            {[]ledger.Receipt{receipt(1, ledger.RoleBill, 1), receipt(2, ledger.RoleBill, 2)}, 3, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := ledger.NewBill(c.receipts)
			if got := b.Totals["a"]; got.Price != c.price || got.Requests != c.lines || len(b.Lines) != c.lines || b.Cost != c.cost {
				t.Errorf("got %+v", b)
			}
		})
	}
}

// Guards against a bill that depends on the order, number or grouping of receipts.
func TestNewBillIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := rapid.Custom(func(r *rapid.T) ledger.Receipt {
			x := receipt(rapid.IntRange(1, 4).Draw(r, "request"),
				rapid.SampledFrom([]ledger.Role{ledger.RoleBill, ledger.RoleAttempt}).Draw(r, "role"),
				ident.Attempt(rapid.IntRange(1, 3).Draw(r, "attempt")))
			x.Direct = rapid.Bool().Draw(r, "direct")
			x.Output = ident.Tokens(rapid.IntRange(0, 3).Draw(r, "output"))
			x.Instance = rapid.SampledFrom([]ident.InstanceID{"i", "j"}).Draw(r, "instance")
			x.At = time.Unix(int64(rapid.IntRange(0, 2).Draw(r, "at")), 0).UTC()
			return x
		})
		rs := rapid.SliceOfN(draw, 1, 20).Draw(r, "receipts")
		again := rapid.SliceOf(rapid.SampledFrom(rs)).Draw(r, "repeats")
		other := rapid.Permutation(append(append([]ledger.Receipt{}, rs...), again...)).Draw(r, "order")
		if a, b := ledger.NewBill(rs), ledger.NewBill(other); !reflect.DeepEqual(a, b) {
			r.Errorf("bills differ:\n%+v\n%+v", a, b)
		}
	})
}

// Guards against a request that is lost or billed twice when batches are repeated or
// late, acknowledgements are lost, the table is down, or one bill ends and the next
// begins between the receipts of entry and agent.
func TestBilledOnce(t *testing.T) {
	const tick = 10 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		kinds := []memory.Fault{memory.None, memory.Refused, memory.Unanswered, memory.LostAnswer, memory.Delayed}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 30).Draw(r, "faults")
		requests := rapid.IntRange(1, 30).Draw(r, "requests")
		seed := rapid.Uint64().Draw(r, "seed")
		synctest.Test(t, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1501)
			random := rand.New(rand.NewPCG(seed, 0))
			begin := time.Now()
			m := memory.New()
			calls := 0
			m.SetFaultFunc(func(memory.Op, table.Key) memory.Fault {
				calls++
				return faults[calls%len(faults)]
			})
			agent, stopAgent := start(t, ledger.Options{Instance: "agent", Client: m, Interval: tick, AckWait: 15 * time.Second, MaxBatch: 7})
			// The buffers tick one after another, so that a seed gives the same run each time.
			time.Sleep(time.Microsecond)
			losses := rand.New(rand.NewPCG(seed, 1))
			entry, stopEntry := start(t, ledger.Options{Instance: "entry", Client: m, Interval: tick, MaxBatch: 7, OnStored: func(ids []ledger.ID) {
				if losses.IntN(3) == 0 {
					return
				}
				for i := range ids {
					ids[i].Role = ledger.RoleAttempt
				}
				agent.Ack(ids)
			}})
			for i := range requests {
				time.Sleep(time.Duration(random.IntN(400)) * time.Second)
				lost := random.IntN(6)
				if lost != 0 {
					_ = agent.Add(receipt(i, ledger.RoleAttempt, 1))
				}
				time.Sleep(time.Duration(random.IntN(90)) * time.Second)
				if lost != 1 {
					_ = entry.Add(receipt(i, ledger.RoleBill, 1))
				}
			}
			time.Sleep(10 * time.Minute)
			m.SetFault(memory.None)
			m.ApplyDelayed()
			time.Sleep(10 * time.Minute)
			stopEntry()
			stopAgent()
			checkBills(r, m, begin, requests)
		})
	})
}

// checkBills checks that the bills of adjoining ranges of 20 minutes hold each request
// once.
func checkBills(r *rapid.T, m *memory.Table, begin time.Time, requests int) {
	counts := map[ident.RequestID]int{}
	for from := begin; from.Before(time.Now()); from = from.Add(20 * time.Minute) {
		rs, err := ledger.Load(context.Background(), m, from, from.Add(20*time.Minute))
		if err != nil {
			r.Error(err)
			return
		}
		for _, l := range ledger.NewBill(rs).Lines {
			counts[l.Request]++
		}
	}
	for q, n := range counts {
		if n != 1 {
			r.Errorf("request %s is in %d bills", q, n)
		}
	}
	if len(counts) != requests {
		r.Errorf("%d requests billed, want %d", len(counts), requests)
	}
}

// Guards against a buffer without a bound, receipts of running requests that are lost
// once new requests are refused, and a table that is flooded after an outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memory.New()
		m.SetFault(memory.Refused)
		b, cancel := start(t, ledger.Options{Instance: "i", Client: m, Capacity: 100, MaxBatch: 10})
		defer cancel()
		for i := range 100 {
			if b.Full() {
				t.Fatalf("full at %d receipts", i)
			}
			if err := b.Add(receipt(i, ledger.RoleBill, 1)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 10 {
			if err := b.Add(receipt(100+i, ledger.RoleBill, 1)); err != nil || !b.Full() {
				t.Errorf("receipt of a running request: %v, full %v", err, b.Full())
			}
		}
		if e, ok := refuse.As(b.Add(receipt(200, ledger.RoleBill, 1))); !ok || e.Code != refuse.LedgerFull || b.Refused() != 1 {
			t.Errorf("above capacity and reserve: %v, %d refused", e, b.Refused())
		}
		time.Sleep(time.Minute)
		m.SetFault(memory.None)
		before := m.Calls(memory.OpPut)
		time.Sleep(4 * time.Second)
		if n := m.Calls(memory.OpPut) - before; n < 2 || n > 9 {
			t.Errorf("%d batches in the first 4 s after the outage, want at most 2 per second", n)
		}
		time.Sleep(time.Minute)
		if b.Pending() != 0 {
			t.Errorf("%d receipts are not stored", b.Pending())
		}
	})
}

// Guards against an agent that stores receipts which the entry acknowledged, and
// against receipts that a shutdown loses.
func TestAckWaitAndFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memory.New()
		b, cancel := start(t, ledger.Options{Instance: "i", Client: m, AckWait: 15 * time.Second})
		defer cancel()
		x, y := receipt(1, ledger.RoleAttempt, 1), receipt(2, ledger.RoleAttempt, 1)
		_ = b.Add(x)
		_ = b.Add(x)
		time.Sleep(10 * time.Second)
		b.Ack([]ledger.ID{x.ID(), y.ID()})
		_ = b.Add(y)
		time.Sleep(10 * time.Second)
		if n := m.Calls(memory.OpPut); n != 0 || b.Pending() != 1 {
			t.Errorf("%d batches, %d pending", n, b.Pending())
		}
		if err := b.Flush(t.Context()); err != nil || b.Pending() != 0 || m.Calls(memory.OpPut) != 1 {
			t.Errorf("flush: %v, %d pending", err, b.Pending())
		}
	})
}
