package proof_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/engine"
)

// pausedStep is the time that an engine takes for one token while it pauses. It is longer than an
// agent waits for the next byte.
const pausedStep = engineSilence + 500*time.Millisecond

// pause lets the engine that runs a version take pausedStep for its next step.
func pause(f *fleet.Fleet, r ident.VersionRef) {
	slow := float64(pausedStep) / float64(6*time.Millisecond) // the token time of the fleet's engines
	f.OverrideVersion(r, engine.Override{Slowness: &slow})
}

// fill keeps the slots of all engines taken until stop is called, which returns the outcomes.
func fill(t *testing.T, f *fleet.Fleet, slots int) (stop func() []outcome) {
	t.Helper()
	var mu sync.Mutex
	var os []outcome
	var w sync.WaitGroup
	end := make(chan struct{})
	for i := range 2 * slots * len(f.Addr.Engines) {
		w.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				o := <-sendChats(f, f.Entries[i%2], fleet.Alpha, "deep@1", fmt.Sprint("fill ", i, n), 1)
				mu.Lock()
				os = append(os, o...)
				mu.Unlock()
			}
		})
	}
	proc.Eventually(t, "all engines are full", func() bool { return len(notFull(f, slots)) == 0 })
	return func() []outcome {
		close(end)
		w.Wait()
		return os
	}
}

// notFull returns the engines that run fewer requests than they have slots.
func notFull(f *fleet.Fleet, slots int) (out []ident.UpstreamID) {
	for id, c := range f.Counters(time.Now()).Engines {
		if c.Started-c.Finished-c.Cancelled < slots {
			out = append(out, id)
		}
	}
	return out
}

// counter counts the texts of a stream.
type counter struct {
	mu   sync.Mutex
	n    int
	last time.Time
}

// add is called after each text.
func (c *counter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n, c.last = n, time.Now()
}

// state returns the number of texts and the time since the last one.
func (c *counter) state() (n int, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n, time.Since(c.last)
}

// pausedStream sends a stream whose engine pauses for some steps after the given number of texts,
// while the other engines are full. It fails the test unless the stream reaches its caller whole,
// from its only start.
func pausedStream(t *testing.T, f *fleet.Fleet, slots, texts, steps int) {
	t.Helper()
	stop := fill(t, f, slots)
	if texts == 0 {
		pause(f, fleet.Deep2)
	}
	var c counter
	q := fleet.ChatRequest("deep@2", "paused")
	q.OnText = c.add
	done := make(chan client.Reply, 1)
	go func() { done <- f.Client(f.Entries[0], fleet.Alpha).Chat(f.Context(), q) }()
	proc.Eventually(t, "the stream has its texts", func() bool {
		n, _ := c.state()
		return n >= texts && len(f.Starts(fleet.Deep2)) > 0
	})
	if texts > 0 {
		pause(f, fleet.Deep2)
		proc.Eventually(t, "the stream pauses", func() bool { _, d := c.state(); return d > time.Second })
	}
	holder := lastStartedAgent(t, f, time.Time{}, fleet.Deep2).ID
	at := time.Now()
	before, _ := c.state()
	samples, full := 0, 0
	var r client.Reply
	for ended := false; !ended; {
		n, _ := c.state()
		if n >= before+steps-1 {
			f.OverrideVersion(fleet.Deep2, engine.Override{})
		}
		if n >= before+steps {
			break
		}
		samples++
		if !slices.ContainsFunc(notFull(f, slots), func(id ident.UpstreamID) bool { return id != holder }) {
			full++
		}
		select {
		case r = <-done:
			ended = true
			done <- r
		case <-time.After(50 * time.Millisecond):
		}
	}
	length := time.Since(at)
	r = <-done
	f.OverrideVersion(fleet.Deep2, engine.Override{})
	f.CheckText(q, &r)
	if n := startsOf(f, &r); !r.OK() || n != 1 {
		t.Errorf("after pauses of together %s the stream started %d times and ended with %s", length, n, r.Describe())
	}
	if length < time.Duration(steps)*pausedStep/2 || full < samples/2 {
		t.Errorf("paused for %s, the other engines full in %d of %d samples", length, full, samples)
	}
	os := stop()
	t.Logf("paused for %s; the other engines full in %d of %d samples; %d of %d other streams whole", length, full, samples, checkOutcomes(t, f, os), len(os))
}

// Guards against a stream that is given up, or run again, because its engine pauses while the others
// are full.
func TestStreamPauses(t *testing.T) {
	full := fleet.Options{Entries: 2, Engines: 2, Slots: 2}
	paused := func(texts, steps int) scenario {
		return scenario{options: full, run: func(t *testing.T, f *fleet.Fleet) { pausedStream(t, f, full.Slots, texts, steps) }}
	}
	runParallel(t, map[string]scenario{
		"before the first text": paused(0, 1),
		"after some text":       paused(5, 1),
	})
}

// Guards against a stream that is given up after several pauses although its engine went on between
// them and the other engines are full.
func TestStreamPausesOften(t *testing.T) {
	o := fleet.Options{Entries: 2, Engines: 2, Slots: 2}
	runParallel(t, map[string]scenario{
		"five times": {options: o, run: func(t *testing.T, f *fleet.Fleet) { pausedStream(t, f, o.Slots, 5, 5) }},
	})
}
