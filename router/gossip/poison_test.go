package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

// sharedPrompt returns a prompt with two shared parts and one of its own.
func sharedPrompt(first, second string, n int) crash.Prompt {
	return crash.NewPrompt("llm", call.Request{ID: call.ID(fmt.Sprint(n)), Prefix: []call.PromptPart{{ID: first}, {ID: second}, {ID: fmt.Sprint("own-", n)}}}, crash.Content{})
}

// Each crash is seen by another router, and the sound requests that share the first part are served
// through others again. Guards against routers that each wait for their own evidence, and against
// decisions on the crashes of all routers that don't count what upstreams survived at others.
func TestCrashesOfOthers(t *testing.T) {
	// The users' stability_window_ms at this number of routers: how long after the fifth crash
	// requests with the part may still reach servers.
	tests := map[string]struct {
		size  int
		grace time.Duration
	}{
		"few":  {5, 3 * time.Second},
		"many": {103, 5 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			withRouters(t, c.size, func(r *routers) {
				ticks := make(chan struct{})
				go func() {
					defer close(ticks)
					for range 150 {
						time.Sleep(100 * time.Millisecond)
						for _, p := range r.poisons {
							p.Update(time.Now())
						}
					}
				}()
				time.Sleep(2 * time.Second)
				r.poisons[c.size-1].Survived(sharedPrompt("first", "sound", 0), time.Now())
				for i := range 5 {
					time.Sleep(100 * time.Millisecond)
					r.poisons[i*(c.size-1)/5].Crashed(crash.Report{
						Upstream: fleet.Incarnation{ID: ident.UpstreamID(fmt.Sprint("u", i)), StartedMs: 1},
						Suspects: []crash.Suspect{{Prompt: sharedPrompt("first", "bad", 100+i), Began: true}, {Prompt: sharedPrompt("first", fmt.Sprint("other", i), 200+i)}},
					}, time.Now())
				}
				time.Sleep(c.grace)
				for i, p := range r.poisons {
					if p.Check(sharedPrompt("first", "bad", 1), time.Now()) == 0 {
						t.Errorf("router %d sends requests with the part", i)
					}
					for _, sound := range []string{"sound", "other0", "new"} {
						if p.Check(sharedPrompt("first", sound, 2), time.Now()) > 0 {
							t.Errorf("router %d refuses %s", i, sound)
						}
					}
				}
				<-ticks
			})
		})
	}
}
