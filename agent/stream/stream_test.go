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

func store(f func(*stream.Options)) (*stream.Store, *clock) {
	c := &clock{t: time.UnixMilli(1_800_000_000_000)}
	o := stream.Default()
	o.Now = c.now
	if f != nil {
		f(&o)
	}
	return stream.NewStore(o), c
}

var key = stream.Key{Request: "r1", Attempt: 1}

func read(r *stream.Reader) string {
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

// Guards against readers that miss, double or mix up frames when several follow
// one attempt from different positions while it is written.
func TestSeveralResumesAtOnce(t *testing.T) {
	s, _ := store(nil)
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
			if got := len(read(r)); got != n-from*50 {
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
		t.Fatalf("end is %v", fs)
	}
}

// Guards against a second run of an attempt that is known, and against a Run
// that starts after its own Cancel overtook it.
func TestOpenOnce(t *testing.T) {
	s, _ := store(nil)
	first, fresh, _ := s.Open(key, "a", func() {})
	again, other, _ := s.Open(key, "a", func() {})
	if !fresh || other || first != again {
		t.Fatal("a known attempt got a second buffer")
	}
	late := stream.Key{Request: "r2", Attempt: 1}
	s.Cancel(late, refuse.ToWire(refuse.New(refuse.Cancelled, refuse.Unknown, "cancelled")))
	b, fresh, _ := s.Open(late, "a", func() {})
	if fresh || !b.Ended() {
		t.Fatal("a cancelled attempt may start")
	}
}

// Guards against attempts that go on without a reader for longer than the
// grace, and against cancelling one that an entry came back for.
func TestLostLink(t *testing.T) {
	s, c := store(nil)
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
		t.Fatal("cancelled an attempt with a reader or within the grace")
	}
	r.Close()
	r.Close()
	c.add(10 * time.Second)
	s.Sweep()
	if cancelled != 1 {
		t.Fatalf("cancelled %d times, want 1", cancelled)
	}
}

// Guards against output that is dropped before its time or kept for ever.
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
			s, k := store(nil)
			b, _, _ := s.Open(key, "a", func() {})
			s.Acknowledge(key) // an attempt that runs can't be acknowledged
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

// Guards against memory without a bound: of one attempt, of all, and of their number.
func TestBounds(t *testing.T) {
	s, c := store(func(o *stream.Options) { o.BufferBytes, o.TotalBytes, o.Attempts = 1000, 1500, 3 })
	b, _, _ := s.Open(key, "a", func() {})
	var over *stream.OverflowError
	var err error
	for i := 0; err == nil && i < 100; i++ {
		err = b.Append(&wire.Data{Text: "0123456789"})
	}
	if !errors.As(err, &over) {
		t.Fatalf("got %v, want an overflow", err)
	}
	for n := range 2 {
		if _, _, err := s.Open(stream.Key{Request: "r2", Attempt: 1}, "a", func() {}); err != nil {
			t.Fatalf("open %d: %v", n, err)
		}
	}
	_, _, _ = s.Open(stream.Key{Request: "r3", Attempt: 1}, "a", func() {})
	var full *stream.FullError
	if _, _, err := s.Open(stream.Key{Request: "r4", Attempt: 1}, "a", func() {}); !errors.As(err, &full) {
		t.Fatalf("got %v, want a full store while all attempts run", err)
	}
	b.End(&wire.End{})
	c.add(10 * time.Second)
	if _, _, err := s.Open(stream.Key{Request: "r4", Attempt: 1}, "a", func() {}); err != nil {
		t.Fatalf("an ended attempt was not evicted: %v", err)
	}
}
