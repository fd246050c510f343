package sched_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
)

const seed = "4301"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("property seed", seed)
	os.Exit(m.Run())
}

// outcomes collects the results of Ticket.Wait.
type outcomes struct {
	mu       sync.Mutex
	granted  []*sched.Ticket
	refused  int
	finished int
}

func (o *outcomes) takeGranted() []*sched.Ticket {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.granted
	o.granted = nil
	return out
}

func (o *outcomes) await(t *testing.T, k *sched.Ticket) {
	go func() {
		e := k.Wait(t.Context())
		o.mu.Lock()
		defer o.mu.Unlock()
		o.finished++
		if e != nil {
			if e.Ran != refuse.NotRun {
				t.Errorf("refusal of queued work is %v, want not-run", e)
			}
			o.refused++
			return
		}
		o.granted = append(o.granted, k)
	}()
}

// step is one step of a script. action selects what it does: 0 and 1 submit work, 2 ends
// the oldest running work, 3 publishes a document and 4 lets time pass.
type step struct {
	action  int
	account ident.AccountID
	timeout time.Duration
	live    bool
	sleep   time.Duration
}

func drawScript(p *rapid.T) []step {
	ms := func(name string, high int) time.Duration {
		return time.Duration(rapid.IntRange(1, high).Draw(p, name)) * time.Millisecond
	}
	out := make([]step, rapid.IntRange(5, 40).Draw(p, "steps"))
	for i := range out {
		out[i] = step{
			action:  rapid.IntRange(0, 4).Draw(p, "kind"),
			account: ident.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(p, "account")),
			timeout: ms("left", 200),
			live:    rapid.Bool().Draw(p, "live"),
			sleep:   ms("pass", 100),
		}
	}
	return out
}

// runScript runs a script and returns a violated property, or "" for none.
func runScript(t *testing.T, r *harness, script []step) (violation string) {
	var o outcomes
	var running []*sched.Ticket
	live, submitted, g := true, 0, ident.Generation(1)
	settle := func() {
		synctest.Wait()
		started := o.takeGranted()
		if len(started) > 0 && !live {
			violation = "work started on a withdrawn version"
		}
		running = append(running, started...)
		if len(running) > 2 {
			violation = fmt.Sprintf("%d running on 2 slots", len(running))
		}
	}
	for _, s := range script {
		switch s.action {
		case 0, 1:
			if k, e := r.submit(t, s.account, s.timeout); e == nil {
				submitted++
				o.await(t, k)
			}
		case 2:
			if len(running) > 0 {
				running[0].Done(nil)
				running = running[1:]
			}
		case 3:
			live = s.live
			g++
			r.views.set(g, map[bool]envdoc.VersionState{true: envdoc.StateLive, false: envdoc.StateWithdrawn}[live])
		case 4:
			time.Sleep(s.sleep)
		}
		settle()
	}
	time.Sleep(time.Second)
	for settle(); len(running) > 0; settle() {
		running[0].Done(nil)
		running = running[1:]
	}
	if o.finished != submitted {
		return fmt.Sprintf("%d of %d accepted units of work got a slot or a refusal", o.finished, submitted)
	}
	return violation
}

// Guards against work that starts on a withdrawn version, more running work than slots,
// and accepted work that gets neither a slot nor a refusal, for any order of arrivals,
// ends and documents.
func TestNoWorkStartsOnWithdrawnVersion(t *testing.T) {
	rapid.Check(t, func(p *rapid.T) {
		script := drawScript(p)
		violation := ""
		withScheduler(t, 2, func(t *testing.T, r *harness) { violation = runScript(t, r, script) })
		if violation != "" {
			p.Fatal(violation)
		}
	})
}
