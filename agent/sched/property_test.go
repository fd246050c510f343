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

// outcomes collects the answers of tickets.
type outcomes struct {
	mu       sync.Mutex
	granted  []*sched.Ticket
	refused  int
	finished int
}

func (o *outcomes) take() []*sched.Ticket {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.granted
	o.granted = nil
	return out
}

func (o *outcomes) follow(t *testing.T, k *sched.Ticket) {
	go func() {
		e := k.Wait(t.Context())
		o.mu.Lock()
		defer o.mu.Unlock()
		o.finished++
		if e != nil {
			if e.Ran != refuse.NotRun {
				t.Errorf("refusal %v of queued work is not not-run", e)
			}
			o.refused++
			return
		}
		o.granted = append(o.granted, k)
	}()
}

// step is one step of a script.
type step struct {
	kind    int
	account ident.AccountID
	left    time.Duration
	live    bool
	pass    time.Duration
}

func drawScript(p *rapid.T) []step {
	ms := func(name string, high int) time.Duration {
		return time.Duration(rapid.IntRange(1, high).Draw(p, name)) * time.Millisecond
	}
	out := make([]step, rapid.IntRange(5, 40).Draw(p, "steps"))
	for i := range out {
		out[i] = step{
			kind:    rapid.IntRange(0, 4).Draw(p, "kind"),
			account: ident.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(p, "account")),
			left:    ms("left", 200),
			live:    rapid.Bool().Draw(p, "live"),
			pass:    ms("pass", 100),
		}
	}
	return out
}

// play runs a script and returns what went wrong.
func play(t *testing.T, r *rig, script []step) (wrong string) {
	var o outcomes
	var running []*sched.Ticket
	live, submitted, g := true, 0, ident.Generation(1)
	settle := func() {
		synctest.Wait()
		started := o.take()
		if len(started) > 0 && !live {
			wrong = "work started on a withdrawn version"
		}
		running = append(running, started...)
		if len(running) > 2 {
			wrong = fmt.Sprintf("%d running on 2 slots", len(running))
		}
	}
	for _, s := range script {
		switch s.kind {
		case 0, 1:
			if k, e := r.submit(t, s.account, s.left); e == nil {
				submitted++
				o.follow(t, k)
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
			time.Sleep(s.pass)
		}
		settle()
	}
	time.Sleep(time.Second)
	for settle(); len(running) > 0; settle() {
		running[0].Done(nil)
		running = running[1:]
	}
	if o.finished != submitted {
		return fmt.Sprintf("%d of %d accepted pieces of work got an answer", o.finished, submitted)
	}
	return wrong
}

// Guards against work that starts on a withdrawn version, more running work
// than slots, and accepted work that gets no answer, in any order of arrivals,
// ends and documents.
func TestNoWorkStartsOnWithdrawnVersion(t *testing.T) {
	rapid.Check(t, func(p *rapid.T) {
		script := drawScript(p)
		wrong := ""
		run(t, 2, func(t *testing.T, r *rig) { wrong = play(t, r, script) })
		if wrong != "" {
			p.Fatal(wrong)
		}
	})
}
