package lease_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/lease"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1601")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// contender is a lease whose Run goes on until stop is called.
type contender struct {
	*lease.Lease
	ring *event.Ring
	stop context.CancelFunc
}

func start(t *testing.T, m table.Client, id ident.InstanceID, now func() time.Time) *contender {
	c := &contender{ring: event.NewRing(event.NewClock(time.Now), id, 100)}
	c.Lease = lease.New(lease.Options{Client: m, Name: "r", Instance: id, Now: now, Ring: c.ring})
	ctx, cancel := context.WithCancel(t.Context())
	var w sync.WaitGroup
	w.Go(func() { _ = c.Run(ctx) })
	c.stop = func() {
		cancel()
		w.Wait()
	}
	t.Cleanup(c.stop)
	return c
}

func wantToken(t *testing.T, c *contender, want ident.FencingToken) {
	t.Helper()
	if got, ok := c.Held(); got != want || ok != (want > 0) {
		t.Errorf("held with token %d, want %d", got, want)
	}
}

// Guards against a takeover that comes too early, too late or with a token that does
// not order the holders, and against a released lease that others still wait for.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memory.New()
		a := start(t, m, "a", nil)
		time.Sleep(time.Second)
		b := start(t, m, "b", nil)
		time.Sleep(time.Minute)
		wantToken(t, a, 1)
		wantToken(t, b, 0)
		a.stop()
		// The other contender reads the row every half term.
		time.Sleep(lease.DefaultTerm/2 + time.Second)
		wantToken(t, a, 0)
		token, ok := b.Held()
		if !ok || token <= 1 {
			t.Fatalf("released lease: token %d, held %v", token, ok)
		}
		if h, err := lease.HighestToken(t.Context(), m, "r"); err != nil || h != token {
			t.Errorf("highest token %d, %v, want %d", h, err, token)
		}
		if h, err := lease.HighestToken(t.Context(), m, "other"); err != nil || h != 0 {
			t.Errorf("token of an unknown lease: %d, %v", h, err)
		}
		es, _ := a.ring.Snapshot()
		if len(es) != 2 || es[0].Kind != event.LeaseAcquired || es[1].Kind != event.LeaseLost {
			t.Errorf("events %v", es)
		}
	})
}

// Guards against a holder that acts after its lease ran out during an outage, and
// against a lease that no process gets after the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memory.New()
		a := start(t, m, "a", nil)
		time.Sleep(time.Second)
		wantToken(t, a, 1)
		m.SetFault(memory.Unanswered)
		time.Sleep(lease.DefaultTerm - lease.DefaultMargin)
		wantToken(t, a, 0)
		time.Sleep(time.Minute)
		m.SetFault(memory.None)
		time.Sleep(2 * lease.DefaultTerm)
		if token, ok := a.Held(); !ok || token <= 1 {
			t.Errorf("after the outage: token %d, held %v", token, ok)
		}
	})
}

// pausingClient is a Client whose process pauses before and after each call.
type pausingClient struct {
	table.Client
	next func() time.Duration
}

func (p *pausingClient) Get(ctx context.Context, k table.Key) (table.Row, error) {
	time.Sleep(p.next())
	r, err := p.Client.Get(ctx, k)
	time.Sleep(p.next())
	return r, err
}

func (p *pausingClient) PutWithRetry(ctx context.Context, w table.Write) error {
	time.Sleep(p.next())
	err := p.Client.PutWithRetry(ctx, w)
	time.Sleep(p.next())
	return err
}

// schedule holds the pauses, the clock rate and the shutdown of one contender.
type schedule struct {
	pauses []time.Duration
	// rate is the speed of its clock in thousandths of real time; the margin covers 900
	// to 1100.
	rate  int
	stops time.Duration
}

func drawSchedule(r *rapid.T) schedule {
	steady := make([]time.Duration, rapid.SampledFrom([]int{4, 16, 64}).Draw(r, "calls without pause"))
	pause := rapid.SampledFrom(append(steady, 10*time.Millisecond, time.Second, 7*time.Second, 9*time.Second, 30*time.Second))
	return schedule{
		pauses: rapid.SliceOfN(pause, 40, 40).Draw(r, "pauses"),
		rate:   rapid.SampledFrom([]int{900, 1000, 1100}).Draw(r, "rate"),
		stops:  rapid.SampledFrom([]time.Duration{20 * time.Second, 100 * time.Second, time.Hour}).Draw(r, "stops"),
	}
}

func (s schedule) clock() func() time.Time {
	begin := time.Now()
	return func() time.Time {
		return begin.Add(time.Since(begin) * time.Duration(s.rate) / 1000)
	}
}

func (s schedule) client(m table.Client) table.Client {
	n := 0
	return &pausingClient{Client: m, next: func() time.Duration {
		n++
		return s.pauses[n%len(s.pauses)]
	}}
}

// Guards against two holders at one time, and against a later holder with a lower
// token, under lost and late answers, writes that take effect late, outages, pauses of
// the contenders between all steps, and clocks that run at different rates.
func TestOneHolder(t *testing.T) {
	checks, acquisitions := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		kinds := make([]memory.Fault, rapid.SampledFrom([]int{2, 8, 100}).Draw(r, "calls without fault"))
		kinds = append(kinds, memory.Refused, memory.Unanswered, memory.LostAnswer, memory.Delayed)
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 60, 60).Draw(r, "faults")
		schedules := rapid.SliceOfN(rapid.Custom(drawSchedule), 3, 3).Draw(r, "contenders")
		release := time.Duration(rapid.IntRange(1, 30).Draw(r, "late effects")) * time.Second
		synctest.Test(t, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1601)
			m := memory.New()
			calls := 0
			m.SetFaultFunc(func(memory.Op, table.Key) memory.Fault {
				calls++
				return faults[calls%len(faults)]
			})
			var cs []*contender
			for i, s := range schedules {
				// Contenders start one after another, so that a seed gives the same run each time.
				time.Sleep(time.Microsecond)
				c := start(t, s.client(m), ident.InstanceID(fmt.Sprint(i)), s.clock())
				time.AfterFunc(s.stops, c.stop)
				cs = append(cs, c)
			}
			var highest ident.FencingToken
			for at := time.Duration(0); at < 5*time.Minute; at += 100 * time.Millisecond {
				time.Sleep(100 * time.Millisecond)
				if at%release == 0 {
					m.ApplyDelayed()
				}
				checks++
				holders := 0
				for _, c := range cs {
					token, ok := c.Held()
					if !ok {
						continue
					}
					holders++
					if token < highest {
						r.Errorf("token %d is held after token %d", token, highest)
					}
					if token > highest {
						acquisitions++
					}
					highest = max(highest, token)
				}
				if holders > 1 {
					r.Errorf("%d holders at %s", holders, at)
					return
				}
			}
		})
	})
	t.Logf("seed 1601: %d checks, %d acquisitions", checks, acquisitions)
}
