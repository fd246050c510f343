package agents

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/wire"
)

// Guards against a list of agents that arrives while the set starts and is replaced by the empty list of before: until
// the next list, requests are refused with no-upstream.
func TestUpdateWhileStarting(t *testing.T) {
	const pause = 2 * time.Millisecond
	s := New(Options{
		Instance: "entry-1", Control: &control{}, Log: zerolog.Nop(),
		Ring:   event.NewRing(event.NewClock(time.Now), "entry-1", 1),
		Dialer: func(context.Context, string) (net.Conn, error) { return nil, errors.New("no agent") },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var run, update sync.WaitGroup
	// A mutex whose waiters wait for over a millisecond while others lock it is passed on in their order: Run gets
	// it, then Update, and then Run if it locks it again.
	s.mu.Lock()
	run.Go(func() { s.Run(ctx) })
	time.Sleep(pause)
	update.Go(func() { s.Update([]Target{{Upstream: "engine-1", Addr: "127.0.0.1:1"}}) })
	time.Sleep(pause)
	s.mu.Unlock()
	s.mu.Lock()
	time.Sleep(pause)
	s.mu.Unlock()
	update.Wait()
	time.Sleep(pause)
	if s.Link("engine-1") == nil {
		t.Error("the list was lost")
	}
	cancel()
	run.Wait()
}

// Guards against agents that count as dead by the time in which this process was stopped, so that requests are refused
// with no-upstream until the next statuses are read; and against ones that are never found dead as the process is late.
func TestUsableAfterOwnStop(t *testing.T) {
	var late time.Duration
	l := newLink(Options{Late: func() time.Duration { return late }}, Target{Upstream: "engine-1"}, func() {})
	at := time.Unix(0, 0)
	l.Observe(&wire.Status{Upstream: "engine-1"}, at)
	for name, c := range map[string]struct {
		age, late time.Duration
		want      bool
	}{
		"ran, status is recent":        {2 * time.Second, 0, true},
		"ran, status is old":           {4 * time.Second, 0, false},
		"stopped since the status":     {6 * time.Second, 5 * time.Second, true},
		"status was old before a stop": {9 * time.Second, 5 * time.Second, false},
	} {
		late = c.late
		if got := l.Usable(at.Add(c.age)); got != c.want {
			t.Errorf("%s: usable %t, want %t", name, got, c.want)
		}
	}
}
