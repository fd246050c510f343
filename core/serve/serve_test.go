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

type testComponent struct {
	name  string
	log   func(string)
	after time.Duration
	err   error
	ready chan struct{}
}

func (s *testComponent) Name() string { return s.name }

func (s *testComponent) Ready() <-chan struct{} { return s.ready }

func (s *testComponent) Run(ctx context.Context) error {
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

// Guards against components that start before their predecessors are ready or stop
// before their successors, and against Run hiding the error that stopped the program.
func TestRunOrder(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		after time.Duration
		err   error
		want  []string
	}{
		"ends with the context": {want: []string{"+a", "+b", "+c", "-c", "-b", "-a"}},
		"component fails":       {after: time.Second, err: broken, want: []string{"+a", "+b", "+c", "-c", "-a"}},
		"component is done":     {after: time.Second, want: []string{"+a", "+b", "+c", "-c", "-a"}},
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
				var components []serve.Component
				for _, n := range []string{"a", "b", "c"} {
					s := &testComponent{name: n, log: log, ready: make(chan struct{})}
					if n == "b" {
						s.after, s.err = c.after, c.err
					}
					components = append(components, s)
				}
				err := serve.Run(ctx, components)
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
