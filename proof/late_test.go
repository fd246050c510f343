package proof_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/engine"
)

// slowest makes the answers of deep@1 take longer than any drain of these tests.
func slowest(f *fleet.Fleet) {
	x := 20.0
	f.OverrideVersion(fleet.Deep1, engine.Override{Slowness: &x})
}

// terminateStopped sends SIGTERM to a process that is stopped for a while, and returns when.
func terminateStopped(p *proc.Process, late time.Duration) time.Time {
	p.Pause()
	at := time.Now()
	p.Terminate()
	time.Sleep(late)
	p.Resume()
	return at
}

// Guards against a drain that counts from when a process that did not run noticed SIGTERM, so that its service manager
// kills it before its requests have got their refusals.
func TestStopNoticedLate(t *testing.T) {
	const (
		lateBy = time.Second
		notice = 500 * time.Millisecond // of the fleet's entries
		margin = lateBy / 2
	)
	o := fleet.Default()
	o.DrainLimit = 3 * time.Second
	runParallel(t, map[string]scenario{
		"entry": {options: o, run: func(t *testing.T, f *fleet.Fleet) {
			e := f.Entries[0]
			slowest(f)
			var at time.Time
			s := actMidStream(t, f, e, 3, func() { at = terminateStopped(e.Process, lateBy) })
			took := time.Since(at)
			checkEnded(t, f, e, s, "drain-ended")
			if took > notice+o.DrainLimit+margin {
				t.Errorf("the stream was ended %s after SIGTERM, want %s", took, notice+o.DrainLimit)
			}
		}},
		"agent": {options: o, run: func(t *testing.T, f *fleet.Fleet) {
			slowest(f)
			began := time.Now()
			var at time.Time
			s := actMidStream(t, f, f.Entries[0], 3, func() {
				at = terminateStopped(lastStartedAgent(t, f, began, fleet.Deep1).Process, lateBy)
			})
			took := time.Since(at)
			checkEnded(t, f, f.Entries[0], s, "upstream-broke-off")
			if took > o.DrainLimit+margin {
				t.Errorf("the stream was ended %s after SIGTERM, want %s", took, o.DrainLimit)
			}
		}},
	})
}

// metric returns the value of a metric of an entry.
func metric(t *testing.T, e *fleet.Entry, name string) string {
	t.Helper()
	for l := range strings.Lines(metrics(t, e)) {
		if v, ok := strings.CutPrefix(l, "tarragonvalve_entry_"+name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	t.Fatalf("no metric %s", name)
	return ""
}

// metrics returns the metrics of an entry.
func metrics(t *testing.T, e *fleet.Entry) string {
	t.Helper()
	p, err := http.Get("http://" + e.Addr.Admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// silentResumes returns how many streams entries have opened again because no frame arrived.
func silentResumes(t *testing.T, f *fleet.Fleet, e *fleet.Entry) (n int) {
	t.Helper()
	var out opsapi.EventsReply
	if err := f.Admin(e, http.MethodGet, "/events?limit=1000", nil, &out); err != nil {
		t.Fatal(err)
	}
	for _, v := range out.Events {
		if v.Kind == string(event.StreamResumed) && v.Fields["why"] == "silent" {
			n++
		}
	}
	return n
}

// streamWhileStopped sends streams that are slow, stops a process in the middle of them for a while, and fails the test unless
// they end whole.
func streamWhileStopped(t *testing.T, f *fleet.Fleet, n int, stopped time.Duration, find func() *proc.Process) {
	t.Helper()
	slowest(f)
	done := sendChats(f, f.Entries[0], fleet.Alpha, "deep@1", "stopped", n)
	proc.Eventually(t, "the streams run", func() bool { return len(f.Starts(fleet.Deep1)) == n })
	time.Sleep(500 * time.Millisecond)
	p := find()
	p.Pause()
	time.Sleep(stopped)
	p.Resume()
	// What arrived meanwhile is read at the present pace, and the rest fast.
	time.Sleep(500 * time.Millisecond)
	f.OverrideVersion(fleet.Deep1, engine.Override{})
	os := <-done
	if whole := checkOutcomes(t, f, os); whole != n {
		t.Errorf("%d of %d streams are whole", whole, n)
	}
}

// Guards against an engine, or an agent, that counts as silent by the time in which the process that judges it was itself
// stopped: its streams are opened again, its connection is replaced, and new work is refused.
func TestJudgedWhileStopped(t *testing.T) {
	const streams = 4
	runParallel(t, map[string]scenario{
		"engine by its agent": {options: fleet.Options{Entries: 1, Engines: 1, Slots: streams}, run: func(t *testing.T, f *fleet.Fleet) {
			a := f.Engine(0)
			streamWhileStopped(t, f, streams, engineSilence+500*time.Millisecond, func() *proc.Process { return a.Process })
			for _, s := range []string{"resume stream at the engine", "reachable=false"} {
				if n := strings.Count(a.Log(), s); n > 0 {
					t.Errorf("%d lines with %q", n, s)
				}
			}
		}},
		"agents by their entry": {options: fleet.Options{Entries: 1, Engines: 1, Slots: 2 * streams}, run: func(t *testing.T, f *fleet.Fleet) {
			e := f.Entries[0]
			streamWhileStopped(t, f, streams, 2500*time.Millisecond, func() *proc.Process { return e.Process })
			if n := metric(t, e, "links_replaced_total"); n != "0" {
				t.Errorf("%s connections were replaced", n)
			}
			// An agent, which runs, may close the connection of a stopped entry from 2 s on; that isn't the entry's judgement.
			if n := silentResumes(t, f, e); n > 0 {
				t.Errorf("%d streams were opened again as silent", n)
			}
		}},
	})
}
