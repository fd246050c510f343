package proof_test

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/engine"
)

// Limits of retries that the design states for each entry.
const (
	firstRetries  = 3
	retryFraction = 0.1
)

// Guards against requests that crash one engine after the other beyond the retry budget, and against
// engines that sound requests don't reach once they are back.
func TestRequestsCrashEngines(t *testing.T) {
	const crashes = 6
	o := fleet.Options{Entries: 2, Engines: 3, Slots: 4}
	// inTurn sends each guilty request once the engines are back after the one before.
	inTurn := func(content func(i int) string) func(*testing.T, *fleet.Fleet) []outcome {
		return func(t *testing.T, f *fleet.Fleet) (out []outcome) {
			for i := range crashes {
				waitEngines(t, f)
				q := fleet.ChatRequest("quick", engine.CrashPrefix+content(i))
				out = append(out, outcome{request: q, reply: f.Client(f.Entries[0], fleet.Alpha).Chat(f.Context(), q)})
			}
			return out
		}
	}
	atOnce := func(_ *testing.T, f *fleet.Fleet) []outcome {
		return <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", engine.CrashPrefix, crashes)
	}
	crash := func(send func(*testing.T, *fleet.Fleet) []outcome) scenario {
		return scenario{options: o, run: func(t *testing.T, f *fleet.Fleet) {
			// Requests of the fleet's start add to the budget: a chat and two calls for each entry
			// in each round.
			earlier := 3 * len(f.Starts(fleet.Quick1))
			var guilty, sound []outcome
			end := make(chan struct{})
			var w sync.WaitGroup
			w.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-end:
						return
					default:
						sound = append(sound, <-sendChats(f, f.Entries[0], fleet.Alpha, "quick", fmt.Sprint("sound ", n), 2)...)
					}
				}
			})
			guilty = append(guilty, send(t, f)...)
			close(end)
			w.Wait()
			checkOutcomes(t, f, guilty)
			checkNotRun(t, f, guilty)
			served := checkOutcomes(t, f, sound)
			checkNotRun(t, f, sound)

			repeats, most := 0, 0
			for i, o := range slices.Concat(guilty, sound) {
				n := startsOf(f, &o.reply)
				repeats += max(0, n-1)
				if i < crashes {
					most = max(most, n)
				}
			}
			limit := firstRetries + int(math.Ceil(retryFraction*float64(earlier+len(guilty)+len(sound))))
			t.Logf("%d of %d sound requests served; repeats %d, limit %d; most engines ended by one request %d", served, len(sound), repeats, limit, most)
			if repeats > limit {
				t.Errorf("%d repeats started on engines, the budget allows %d", repeats, limit)
			}
			if most > o.Engines {
				t.Errorf("one request started on engines %d times", most)
			}

			waitEngines(t, f)
			os, again := sendPatiently(f, 48)
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d requests were answered after the engines were back, %d were repeated", whole, len(os), again)
			}
			t.Logf("after the engines were back %d of %d requests were repeated", again, len(os))
		}}
	}
	runParallel(t, map[string]scenario{
		"same content":    crash(inTurn(func(int) string { return "same" })),
		"another content": crash(inTurn(func(i int) string { return fmt.Sprint("another ", i) })),
		"at once":         crash(atOnce),
	})
}

// backSends bounds how often a caller sends a request once an engine is back. Its agent reads its
// report each second and tells the entries within a second, so they know of it after two waits of the
// 1 s that their refusals name.
const backSends = 3

// sendPatiently sends n chats concurrently through both entries, each again after the time that its
// refusal names if that says not-run. It returns the last outcomes, and how many were repeated.
func sendPatiently(f *fleet.Fleet, n int) (out []outcome, repeated int) {
	out = make([]outcome, n)
	var again atomic.Int64
	var w sync.WaitGroup
	for i := range out {
		w.Go(func() {
			for s := range backSends {
				out[i] = (<-sendChats(f, f.Entries[i%2], fleet.Alpha, "quick", fmt.Sprint("after ", i), 1))[0]
				r := &out[i].reply
				if r.OK() || r.Ran != refuse.NotRun || r.RetryAfter == 0 {
					return
				}
				if s == 0 {
					again.Add(1)
				}
				time.Sleep(r.RetryAfter)
			}
		})
	}
	w.Wait()
	return out, int(again.Load())
}

// waitEngines waits until all engines answer.
func waitEngines(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for id, addr := range f.Addr.Engines {
		proc.Eventually(t, string(id)+" is back", func() bool {
			res, err := http.Get("http://" + addr + "/load")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
}
