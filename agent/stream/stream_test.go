package stream_test

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// clock is a clock that tests advance.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func newStore(f func(*stream.Options)) (*stream.Store, *clock) {
	c := &clock{t: time.UnixMilli(1_800_000_000_000)}
	o := stream.Default()
	o.Now = c.now
	if f != nil {
		f(&o)
	}
	return stream.NewStore(o), c
}

var key = stream.Key{Request: "r1", Attempt: 1}

func readText(r *stream.Reader) string {
	var s strings.Builder
	for {
		fs, last, changed := r.Next()
		for _, f := range fs {
			s.WriteString(f.GetData().GetText())
		}
		if last {
			return s.String()
		}
		<-changed
	}
}

// Guards against readers that miss, duplicate or reorder frames when several read one
// attempt from different positions while it is written.
func TestConcurrentReaders(t *testing.T) {
	s, _ := newStore(nil)
	b, _, err := s.Open(key, "a", func() {})
	if err != nil {
		t.Fatal(err)
	}
	const n = 500
	var g sync.WaitGroup
	for from := range 8 {
		g.Go(func() {
			r := b.Attach(uint64(from * 50))
			defer r.Close()
			if got := len(readText(r)); got != n-from*50 {
				t.Errorf("reader from %d got %d frames", from*50, got)
			}
		})
	}
	for range n {
		if err := b.Append(&wire.Data{Text: "x"}); err != nil {
			t.Error(err)
		}
	}
	b.End(&wire.End{FinishReason: "stop"})
	b.Refuse(&wire.Refusal{Code: "late"})
	g.Wait()
	fs, last, _ := b.Attach(n).Next()
	if !last || len(fs) != 1 || fs[0].GetEnd() == nil || fs[0].GetPosition() != n {
		t.Fatalf("frames past the end are %v, want only the End at position 500", fs)
	}
}

// Guards against a second run of an attempt that has a buffer, and against a Run that
// starts its attempt although the Cancel arrived first.
func TestOpenKnownAttempt(t *testing.T) {
	s, _ := newStore(nil)
	first, fresh, _ := s.Open(key, "a", func() {})
	again, other, _ := s.Open(key, "a", func() {})
	if !fresh || other || first != again {
		t.Fatal("an attempt with a buffer got a second one")
	}
	late := stream.Key{Request: "r2", Attempt: 1}
	s.Cancel(late, refuse.ToWire(refuse.New(refuse.Cancelled, refuse.Unknown, "cancelled")))
	b, fresh, _ := s.Open(late, "a", func() {})
	if fresh || !b.Ended() {
		t.Fatal("an attempt that was cancelled before its Run got a new buffer")
	}
}

// Guards against attempts that run on without a reader after the grace period, and
// against cancelling an attempt whose entry has reconnected.
func TestCancelWithoutReader(t *testing.T) {
	s, c := newStore(nil)
	cancelled := 0
	b, _, _ := s.Open(key, "a", func() { cancelled++ })
	r := b.Attach(0)
	c.add(time.Minute)
	s.Sweep()
	r.Close()
	c.add(9 * time.Second)
	s.Sweep()
	r = b.Attach(0)
	c.add(time.Minute)
	s.Sweep()
	if cancelled != 0 {
		t.Fatal("cancelled an attempt that had a reader or was within the grace period")
	}
	r.Close()
	r.Close()
	c.add(10 * time.Second)
	s.Sweep()
	if cancelled != 1 {
		t.Fatalf("cancelled %d times, want 1", cancelled)
	}
}

// Guards against output that is removed before its retention ends, or never.
func TestRetention(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		ack   bool
		kept  bool
	}{
		"within retention": {29 * time.Second, false, true},
		"after retention":  {30 * time.Second, false, false},
		"acknowledged":     {time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, k := newStore(nil)
			b, _, _ := s.Open(key, "a", func() {})
			s.Acknowledge(key) // ignored, since the attempt is running
			b.End(&wire.End{})
			if c.ack {
				s.Acknowledge(key)
			}
			k.add(c.after)
			s.Sweep()
			if _, ok := s.Find(key); ok != c.kept {
				t.Fatalf("kept %v, want %v", ok, c.kept)
			}
		})
	}
}

// Guards against unbounded memory: of one attempt, of all attempts, and through their
// number.
func TestBounds(t *testing.T) {
	s, c := newStore(func(o *stream.Options) { o.BufferBytes, o.TotalBytes, o.Attempts = 1000, 1500, 3 })
	b, _, _ := s.Open(key, "a", func() {})
	var over *stream.OverflowError
	var err error
	for i := 0; err == nil && i < 100; i++ {
		err = b.Append(&wire.Data{Text: "0123456789"})
	}
	if !errors.As(err, &over) {
		t.Fatalf("got %v, want an *OverflowError", err)
	}
	for n := range 2 {
		if _, _, err := s.Open(stream.Key{Request: "r2", Attempt: 1}, "a", func() {}); err != nil {
			t.Fatalf("open %d: %v", n, err)
		}
	}
	_, _, _ = s.Open(stream.Key{Request: "r3", Attempt: 1}, "a", func() {})
	var full *stream.FullError
	if _, _, err := s.Open(stream.Key{Request: "r4", Attempt: 1}, "a", func() {}); !errors.As(err, &full) {
		t.Fatalf("got %v, want a *FullError while no buffer is settled", err)
	}
	b.End(&wire.End{})
	c.add(10 * time.Second)
	if _, _, err := s.Open(stream.Key{Request: "r4", Attempt: 1}, "a", func() {}); err != nil {
		t.Fatalf("the settled buffer was not evicted: %v", err)
	}
}
