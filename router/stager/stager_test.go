package stager_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/stager"
)

// store holds one roll-out and can be made to refuse writes.
type store struct {
	began time.Time

	mu       sync.Mutex
	refuse   bool
	progress canary.Progress
	revision mirror.Revision
	tallies  int
	writes   int
}

func (s *store) Snapshot(_ context.Context, t mirror.Topic) (mirror.ReadResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := mirror.ReadResult{Snapshot: true, Revision: s.revision, StoreClock: time.Since(s.began)}
	if t != mirror.TopicUpstreams && (t == mirror.TopicOrders || s.writes > 0) {
		p.Records = []mirror.Record{{Key: t.String(), Revision: s.revision}}
	}
	return p, nil
}

func (s *store) Watch(ctx context.Context, t mirror.Topic, after mirror.Revision, wait time.Duration) (mirror.ReadResult, error) {
	select {
	case <-ctx.Done():
		return mirror.ReadResult{}, ctx.Err()
	case <-time.After(min(wait, 50*time.Millisecond)):
	}
	s.mu.Lock()
	newer := s.revision > after
	s.mu.Unlock()
	p, err := s.Snapshot(ctx, t)
	p.Snapshot = false
	if !newer {
		p.Records = nil
	}
	return p, err
}

func (s *store) Decode(t mirror.Topic, rs []mirror.Record) []mirror.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cs []mirror.Change
	for _, r := range rs {
		if t == mirror.TopicOrders {
			cs = append(cs, mirror.RolloutOrdered{Order: canary.Order{Service: "s", To: "v2", MaxDuration: 20 * time.Second, Revision: 1, Origin: 1}})
			continue
		}
		cs = append(cs, mirror.ProgressChanged{Progress: s.progress, Revision: r.Revision})
	}
	return cs
}

func (s *store) SaveProgress(_ context.Context, p canary.Progress, seen mirror.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return errors.New("the store is down")
	}
	if s.writes > 0 && seen != s.revision {
		return &mirror.ConflictError{Key: "s"}
	}
	s.progress = p
	s.revision++
	s.writes++
	return nil
}

func (s *store) SaveTally(context.Context, canary.Tally) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tallies++
	if s.refuse {
		return errors.New("the store is down")
	}
	return nil
}

// Guards against writes that are repeated several times a second during an outage of the
// store (incident inc-ebf0 of ksls-valve: 45 tallies refused in 8 s), and against a bad
// version that isn't reverted after the outage.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{began: time.Now().Add(-time.Hour), revision: 1}
		l := zerolog.New(io.Discard)
		n := mirror.New(s, nil, func() time.Duration { return time.Since(s.began) }, l)
		w := canary.NewMonitor(func() time.Duration { return 0 })
		m := stager.New(n, w, canary.NewPresence(), "r1", func() float64 { return 0.15 }, l)
		ctx, stop := context.WithCancel(t.Context())
		var g sync.WaitGroup
		for _, run := range []func(context.Context) error{n.Run, m.Run} {
			g.Go(func() {
				if err := run(ctx); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		if s.writes != 1 || s.progress.Phase != canary.PhaseCanary {
			t.Errorf("%d writes of progress, phase %v", s.writes, s.progress.Phase)
		}
		s.refuse = true
		s.mu.Unlock()
		for range 10 {
			w.Observe(canary.Response{Service: "s", New: true, Failed: true}, 1)
		}
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		if s.tallies < 2 || s.tallies > 12 {
			t.Errorf("%d tallies in 10 s", s.tallies)
		}
		s.refuse = false
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		if s.progress.Phase != canary.PhaseReverted {
			t.Errorf("phase %v after the store returned", s.progress.Phase)
		}
		s.mu.Unlock()
		stop()
		g.Wait()
	})
}

func (*store) SaveTrials(context.Context, poison.Trials, mirror.Revision) error {
	return errors.New("not expected")
}
