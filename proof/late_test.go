package proof_test

import (
	"testing"
	"time"

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
