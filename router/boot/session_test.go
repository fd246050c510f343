package boot

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// The day one-class-version on ksls-valve: sessions whose requests come through several routers had
// begun before a roll-out, and moved to the canary. Guards against that, and against a canary that gets
// no sessions at all.
func TestSessionsKeepTheirVersion(t *testing.T) {
	t.Parallel()
	const (
		// movedTolerance is the users' rule: at most so many requests of sessions run on the new version
		// in the first half of its roll-out after one on the old.
		movedTolerance = 3
		sessions       = 60
		duration       = 16 * time.Second
	)
	t.Log("seed 1")
	ws := startRouters(t, standardDocument(), 4)
	for i := range 3 {
		ws[0].server("llm", fmt.Sprint("s", i), "v1", always(server.Events{Count: 2, Confidence: 100}))
	}
	for _, w := range ws {
		w.awaitUpstreams(3)
	}
	run := func(prefix string, d time.Duration) {
		var wg sync.WaitGroup
		for i := range sessions {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			wg.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(500+r.IntN(500)) * time.Millisecond) {
					ws[r.IntN(len(ws))].send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "*", "Session", fmt.Sprint(prefix, i))
				}
			})
		}
		wg.Wait()
	}
	var before sync.WaitGroup
	before.Go(func() { run("early-", 3*time.Second+duration/2) })
	time.Sleep(3 * time.Second)
	canary := ws[0].server("llm", "n1", "v2", always(server.Events{Count: 2, Confidence: 100}))
	if err := ws[0].store.PutJSON("op", "rollout/llm", map[string]any{"service": "llm", "to": "v2", "duration_s": duration.Seconds()}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(duration / 4)
	run("late-", duration/4-time.Second)
	before.Wait()
	moved, late := 0, 0
	for _, q := range canary.Requests() {
		if s := q.Header.Get("Session"); len(s) > 6 && s[:6] == "early-" {
			moved++
		} else {
			late++
		}
	}
	if moved > movedTolerance {
		t.Errorf("%d requests of sessions from before the order ran on the new version, allowed %d", moved, movedTolerance)
	}
	if late == 0 {
		t.Error("the new version got no request of a later session")
	}
	t.Logf("%d of early, %d of late sessions at the new version", moved, late)
}
