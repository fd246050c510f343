package mirror

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// revocableStore is a store whose configuration changes and which may be away. It responds at once.
type revocableStore struct {
	fakeStore
	mu    sync.Mutex
	began time.Time
	// written holds when each generation was written, the first one at index 0.
	written []time.Time
	away    bool
}

func newRevocableStore() *revocableStore {
	s := &revocableStore{began: time.Now()}
	s.write()
	s.snapshot = func(t Topic) (ReadResult, error) { return s.read(t, 0) }
	s.watch = func(ctx context.Context, t Topic, after Revision) (ReadResult, error) {
		select {
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		case <-time.After(100 * time.Millisecond):
			return s.read(t, after)
		}
	}
	return s
}

// write writes the next generation.
func (s *revocableStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = append(s.written, time.Now())
}

func (s *revocableStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// read returns the newest generation if the topic holds it, as a snapshot if after is 0.
func (s *revocableStore) read(t Topic, after Revision) (ReadResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return ReadResult{}, errors.New("no response")
	}
	r := ReadResult{Snapshot: after == 0, Revision: Revision(len(s.written)), StoreClock: time.Since(s.began)}
	if t == TopicOrders && r.Revision > after {
		r.Records = []Record{{Key: "config", Revision: r.Revision}}
	}
	return r, nil
}

// pausingLog stops the goroutine that writes that a configuration is in force, which is between reading it
// and publishing it.
type pausingLog struct {
	mu     sync.Mutex
	paused bool
	resume chan struct{}
}

func (l *pausingLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	paused, resume := l.paused, l.resume
	l.mu.Unlock()
	if paused && bytes.Contains(b, []byte("configuration in force")) {
		<-resume
	}
	return len(b), nil
}

func (l *pausingLog) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.paused {
		l.paused, l.resume = true, make(chan struct{})
	}
}

func (l *pausingLog) unpause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		l.paused = false
		close(l.resume)
	}
}

// checkAge returns an error if a generation counts as fresher than it is: it had been replaced for longer than
// its age says.
func (s *revocableStore) checkAge(n *Syncer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := n.ConfigAge()
	if !ok {
		return nil
	}
	g := int(n.View().Document.Generation)
	if g < len(s.written) && time.Since(s.written[g]) > age {
		return fmt.Errorf("generation %d counts as of %s ago, but was replaced %s ago", g, age, time.Since(s.written[g]))
	}
	return nil
}

// runAge runs a syncer on the store until steps have ended.
func runAge(t *testing.T, steps func(s *revocableStore, l *pausingLog, n *Syncer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, l := newRevocableStore(), &pausingLog{}
		n := New(s, nil, func() time.Duration { return time.Since(s.began) + time.Hour }, zerolog.New(l))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		time.Sleep(time.Second)
		steps(s, l, n)
		l.unpause()
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Review case 2: the store answers again after a key was taken away, and requests come before the new
// configuration is published. Guards against an old configuration that counts as fresh by the read of the
// new one.
func TestAgeOfUnpublishedConfiguration(t *testing.T) {
	runAge(t, func(s *revocableStore, l *pausingLog, n *Syncer) {
		s.setAway(true)
		s.write()
		time.Sleep(6 * time.Second)
		l.pause()
		s.setAway(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if g := n.View().Document.Generation; g != 1 {
			t.Fatalf("generation %d is published, want the goroutine to stop before that", g)
		}
		if err := s.checkAge(n); err != nil {
			t.Error(err)
		}
		l.unpause()
		synctest.Wait()
		time.Sleep(time.Second)
		if a, _ := n.ConfigAge(); n.View().Document.Generation != 2 || a > time.Second {
			t.Errorf("generation %d of %s ago after the publication", n.View().Document.Generation, a)
		}
	})
}

// Guards against any order of writes, outages, reads, publications and requests in which a configuration
// counts as fresher than it is.
func TestAgeInAnyOrder(t *testing.T) {
	const (
		write = iota
		away
		back
		pause
		unpause
		kinds
	)
	rapid.Check(t, func(r *rapid.T) {
		kind := rapid.SliceOfN(rapid.IntRange(0, kinds-1), 1, 30).Draw(r, "steps")
		wait := rapid.SliceOfN(rapid.IntRange(0, 3000), len(kind), len(kind)).Draw(r, "waits in ms")
		var failure error
		runAge(t, func(s *revocableStore, l *pausingLog, n *Syncer) {
			for i, k := range kind {
				map[int]func(){
					write: s.write, away: func() { s.setAway(true) }, back: func() { s.setAway(false) }, pause: l.pause, unpause: l.unpause,
				}[k]()
				time.Sleep(time.Duration(wait[i]) * time.Millisecond)
				synctest.Wait()
				if err := s.checkAge(n); err != nil && failure == nil {
					failure = fmt.Errorf("step %d: %w", i, err)
				}
			}
		})
		if failure != nil {
			r.Fatal(failure)
		}
	})
}
