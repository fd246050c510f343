package mirror

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/routes"
)

// Guards against a configuration, an order or the progress of a roll-out that is replaced
// by an older one.
func TestNeverReverts(t *testing.T) {
	s := newStoreState()
	s.apply(DocumentChanged{Document: &routes.Document{Generation: 5}}, 0)
	s.apply(DocumentChanged{Document: &routes.Document{Generation: 3}}, 0)
	if s.document.Generation != 5 {
		t.Errorf("generation %d replaced 5", s.document.Generation)
	}
	s.apply(RolloutOrdered{Order: canary.Order{Service: "s", To: "v3", Revision: 9}}, 0)
	s.apply(RolloutOrdered{Order: canary.Order{Service: "s", To: "v2", Revision: 4}}, 0)
	if s.orders["s"].To != "v3" {
		t.Error("an older order replaced a newer one")
	}
	s.apply(ProgressChanged{Progress: canary.Progress{Service: "s", Phase: canary.PhaseReverted}, Revision: 9}, 0)
	s.apply(ProgressChanged{Progress: canary.Progress{Service: "s", Phase: canary.PhaseShift}, Revision: 8}, 0)
	if s.progress["s"].Progress.Phase != canary.PhaseReverted {
		t.Error("older progress replaced newer progress")
	}
}

// Guards against dropping upstreams whose entries expired during an outage of the store,
// and against keeping those that were removed.
func TestUpstreamsAfterOutage(t *testing.T) {
	tests := map[string]struct {
		returned time.Duration // when the outage ended; negative means no outage
		draining bool
		at       time.Duration
		back     bool
		kept     bool
	}{
		"no outage":                  {-10 * time.Second, false, time.Second, false, false},
		"right after an outage":      {0, false, time.Second, false, true},
		"after the grace time":       {0, false, 2300 * time.Millisecond, false, false},
		"draining before the outage": {0, true, time.Second, false, false},
		"listed again":               {0, false, time.Second, true, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStoreState()
			u := &fleet.Upstream{ID: "u", Service: "s", Draining: c.draining}
			s.apply(UpstreamChanged{Upstream: u}, -time.Minute)
			s.outageEnded(c.returned)
			s.reset(nil, c.at)
			if c.back {
				s.apply(UpstreamChanged{Upstream: u}, c.at)
			}
			if _, ok := s.upstreams["u"]; ok != c.kept {
				t.Errorf("kept %v, want %v", ok, c.kept)
			}
			s.expire(c.returned + 3*time.Second)
			if _, ok := s.upstreams["u"]; ok != c.back {
				t.Errorf("three seconds later: kept %v, want %v", ok, c.back)
			}
		})
	}
}

// Guards against requests that are served before the progress of a roll-out is known, and against an instance that
// makes its requests wait whenever a roll-out is ordered.
func TestComplete(t *testing.T) {
	for name, c := range map[string]struct {
		ordered bool
		want    []bool
	}{
		"no roll-out":               {false, []bool{false, false, true, true, true}},
		"roll-out before the start": {true, []bool{false, false, false, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoreState()
			order := RolloutOrdered{Order: canary.Order{Service: "s", To: "v2", Revision: 7}}
			var got []bool
			for _, step := range []func(){
				func() {},
				func() { s.apply(DocumentChanged{Document: &routes.Document{Generation: 1}}, 0) },
				func() {
					if c.ordered {
						s.apply(order, 0)
					}
					s.reset(nil, 0)
				},
				func() { s.apply(order, 0) },
				func() { s.progressRead = true },
			} {
				step()
				got = append(got, s.view().Complete)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a stale response that counts as fresh.
func TestClockEstimate(t *testing.T) {
	var e clockEstimate
	ms := time.Millisecond
	if got := e.AsOf(1000*ms, 1010*ms, 501_010*ms); got > 1000*ms {
		t.Errorf("first response: as of %v", got)
	}
	if got := e.AsOf(2000*ms, 2010*ms, 502_008*ms); got < 1990*ms || got > 2000*ms {
		t.Errorf("fresh response: as of %v", got)
	}
	if got := e.AsOf(9000*ms, 9010*ms, 506_010*ms); got > 6010*ms {
		t.Errorf("response three seconds behind: as of %v", got)
	}
	if got := e.AsOf(20_000*ms, 20_010*ms, 100*ms); got < 19_990*ms {
		t.Errorf("after a restart of the store's clock: as of %v", got)
	}
}

// The local clock runs fast or slow by 100 ppm for a day. Guards against an offset that is kept for good, so that
// all responses count as stale once the clocks have drifted apart.
func TestClockDrift(t *testing.T) {
	for name, ppm := range map[string]float64{"fast": 100, "slow": -100} {
		t.Run(name, func(t *testing.T) {
			var e clockEstimate
			for store := time.Duration(0); store < 24*time.Hour; store += 500 * time.Millisecond {
				local := store + time.Duration(ppm*1e-6*float64(store))
				if got := e.AsOf(local-4*time.Millisecond, local+4*time.Millisecond, store); got < local-50*time.Millisecond {
					t.Fatalf("after %s: a fresh response counts as of %s before", store, local-got)
				}
			}
			// A response that is three seconds behind, after all that.
			store := 24 * time.Hour
			local := store + time.Duration(ppm*1e-6*float64(store))
			if got := e.AsOf(local-4*time.Millisecond, local+4*time.Millisecond, store-3*time.Second); got > local-2900*time.Millisecond {
				t.Errorf("a response three seconds behind counts as of %s before", local-got)
			}
		})
	}
}

// fakeStore is a store whose responses are set by the test.
type fakeStore struct {
	snapshot func(t Topic) (ReadResult, error)
	watch    func(ctx context.Context, t Topic, after Revision) (ReadResult, error)
}

func (s *fakeStore) Snapshot(_ context.Context, t Topic) (ReadResult, error) { return s.snapshot(t) }

func (s *fakeStore) Watch(ctx context.Context, t Topic, after Revision, _ time.Duration) (ReadResult, error) {
	return s.watch(ctx, t, after)
}

// Decode uses a record's revision as the generation of the configuration.
func (*fakeStore) Decode(_ Topic, rs []Record) []Change {
	var cs []Change
	for _, r := range rs {
		cs = append(cs, DocumentChanged{Document: &routes.Document{Generation: ident.Generation(r.Revision)}})
	}
	return cs
}

func (*fakeStore) SaveProgress(context.Context, canary.Progress, Revision) error { return nil }

func (*fakeStore) SaveTally(context.Context, canary.Tally) error { return nil }

// Guards against a watch that can't continue after its history was lost, and against an
// age that stays low while the store doesn't respond.
func TestWatchAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Hour }
		var generation atomic.Int64
		generation.Store(1)
		var unresponsive atomic.Bool
		s := &fakeStore{
			snapshot: func(Topic) (ReadResult, error) {
				if unresponsive.Load() {
					return ReadResult{}, errors.New("no response")
				}
				r := Record{Key: "config", Revision: Revision(generation.Load())}
				return ReadResult{Snapshot: true, Records: []Record{r}, Revision: Revision(generation.Load()), StoreClock: time.Since(began)}, nil
			},
			watch: func(ctx context.Context, _ Topic, after Revision) (ReadResult, error) {
				select {
				case <-ctx.Done():
					return ReadResult{}, ctx.Err()
				case <-time.After(900 * time.Millisecond):
				}
				switch {
				case unresponsive.Load():
					<-ctx.Done()
					return ReadResult{}, ctx.Err()
				case generation.Load() == 2 && after == 1:
					return ReadResult{}, &HistoryLostError{After: after}
				}
				return ReadResult{Revision: after, StoreClock: time.Since(began)}, nil
			},
		}
		n := New(s, nil, now, zerolog.New(io.Discard))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		if _, ok := n.ConfigAge(); ok {
			t.Error("a configuration age before the first response")
		}
		time.Sleep(2 * time.Second)
		if a, ok := n.ConfigAge(); !ok || a > 1800*time.Millisecond {
			t.Errorf("age %v %v", a, ok)
		}
		generation.Store(2)
		time.Sleep(2 * time.Second)
		if g := n.View().Document.Generation; g != 2 {
			t.Errorf("generation %d after the history was lost", g)
		}
		unresponsive.Store(true)
		time.Sleep(5 * time.Second)
		if a, _ := n.ConfigAge(); a < 4*time.Second {
			t.Errorf("age %v after five seconds without a response", a)
		}
		unresponsive.Store(false)
		time.Sleep(4 * time.Second)
		if a, _ := n.ConfigAge(); a > 1800*time.Millisecond {
			t.Errorf("age %v after the store returned", a)
		}
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// A suspended machine's timers don't run, so that nothing seems late, and a response to a
// request from before the suspension proves nothing. Guards against accepting revoked
// keys after a suspension.
func TestSuspension(t *testing.T) {
	// Longer than the apparent age at which the store's clock counts as restarted.
	const suspension = 2 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var jump atomic.Int64
		now := func() time.Duration { return time.Since(began) + time.Duration(jump.Load()) + time.Hour }
		s := &fakeStore{
			snapshot: func(Topic) (ReadResult, error) {
				return ReadResult{Snapshot: true, Records: []Record{{Key: "config", Revision: 1}}, Revision: 1, StoreClock: now()}, nil
			},
			watch: func(ctx context.Context, _ Topic, after Revision) (ReadResult, error) {
				made := now() + 100*time.Millisecond
				select {
				case <-ctx.Done():
					return ReadResult{}, ctx.Err()
				case <-time.After(500 * time.Millisecond):
				}
				return ReadResult{Revision: after, StoreClock: made}, nil
			},
		}
		n := New(s, nil, now, zerolog.New(io.Discard))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if a, ok := n.ConfigAge(); !ok || a > 2*time.Second {
			t.Errorf("age %v %v before the suspension", a, ok)
		}
		// Not a multiple of the watch's duration, so that a read is in progress.
		time.Sleep(170 * time.Millisecond)
		jump.Store(int64(suspension))
		if a, _ := n.ConfigAge(); a < suspension {
			t.Errorf("age %v right after %v of suspension", a, suspension)
		}
		for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if a, _ := n.ConfigAge(); a < suspension-2*time.Second {
				t.Fatalf("age %v after a response to a request from before the suspension", a)
			}
		}
		time.Sleep(5 * time.Second)
		if a, _ := n.ConfigAge(); a > 2*time.Second {
			t.Errorf("age %v five seconds after the suspension", a)
		}
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func (*fakeStore) SaveTrials(context.Context, poison.Trials, Revision) error {
	return errors.New("not expected")
}
