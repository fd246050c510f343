package serve_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonvalve.example/core/serve"
)

type step struct {
	name  string
	log   func(string)
	after time.Duration
	err   error
	ready chan struct{}
}

func (s *step) Name() string { return s.name }

func (s *step) Ready() <-chan struct{} { return s.ready }

func (s *step) Run(ctx context.Context) error {
	s.log("+" + s.name)
	time.Sleep(time.Millisecond)
	close(s.ready)
	if s.after > 0 {
		time.Sleep(s.after)
		return s.err
	}
	<-ctx.Done()
	s.log("-" + s.name)
	return ctx.Err()
}

// Guards against steps that start before their predecessors are ready, stop before
// their successors, or hide the error that stopped the program.
func TestRunOrder(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		after time.Duration
		err   error
		want  []string
	}{
		"ends with the context": {want: []string{"+a", "+b", "+c", "-c", "-b", "-a"}},
		"step fails":            {after: time.Second, err: broken, want: []string{"+a", "+b", "+c", "-c", "-a"}},
		"step is done":          {after: time.Second, want: []string{"+a", "+b", "+c", "-c", "-a"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				var mu sync.Mutex
				var got []string
				log := func(s string) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, s)
				}
				var steps []serve.Step
				for _, n := range []string{"a", "b", "c"} {
					s := &step{name: n, log: log, ready: make(chan struct{})}
					if n == "b" {
						s.after, s.err = c.after, c.err
					}
					steps = append(steps, s)
				}
				err := serve.Run(ctx, steps)
				if !errors.Is(err, c.err) || (c.err == nil) != (err == nil) {
					t.Errorf("got error %v, want %v", err, c.err)
				}
				if !slices.Equal(got, c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}
