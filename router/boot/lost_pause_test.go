package boot

import (
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// pauseGrace is the grace period, in s, of the tests below, and drainEnd the time after the start of a stop at which its drain ends.
	pauseGrace = 6
	drainEnd   = 5400 * time.Millisecond
	// eventPause is the time between two events of their streams, which have eventCount events: more than end before drainEnd.
	eventPause = 100 * time.Millisecond
	eventCount = 200
)

// goesOn is the rest of a stream.
var goesOn = server.Events{Count: eventCount, Pause: eventPause, Confidence: 100}

// pausing returns a stream that makes events until a time before the end of the drain, and then none until after it.
func pausing(before time.Duration) server.Paused {
	return server.Paused{Events: goesOn, After: int((drainEnd - before) / eventPause), For: 4 * time.Second}
}

// broken returns a stream that breaks off at a time before the end of the drain.
func broken(before time.Duration) server.Paused {
	p := pausing(before)
	p.TruncateAfter, p.For = p.After, eventPause
	return p
}

// cutStream is a stream that is cut at the end of a drain.
type cutStream struct {
	first server.Paused
	// others are what the other upstreams answer in turn.
	others []server.Reply
	// atWork is true if an upstream must be at work on the stream when it is cut.
	atWork bool
}

// check reports a stream that is not cut at the end of the drain, or while no upstream is at work on it.
func (c cutStream) check(t *testing.T) {
	t.Helper()
	w := startRouterWithGrace(t, document(1, route("chat", "streaming", "llm", "resumable", true, "attempts", 3, "timeout_ms", 30_000)), pauseGrace)
	others := sequence(c.others...)
	// continued is true once another upstream sends events of the stream.
	var continued atomic.Bool
	script := func(r server.Request) server.Reply {
		if r.Header.Get("Last-Event-Id") == "" {
			return c.first
		}
		x := others(r)
		if _, ok := x.(server.Events); ok {
			continued.Store(true)
		}
		return x
	}
	var ss []*server.Server
	for _, name := range []string{"m1", "m2", "m3"} {
		ss = append(ss, w.server("llm", name, "v1", script))
	}
	w.awaitUpstreams(len(ss))
	answer := make(chan response, 1)
	go func() {
		answer <- w.send("POST", "/chat/1", "prompt", "Tarragonvalve-Model-Name", "small", "Tarragonvalve-Deadline-Ms", "30000")
	}()
	w.eventually("the stream at an upstream", func() bool { return requestsAt(ss) > 0 })
	began := time.Now()
	w.stop()
	a := <-answer
	if past := time.Since(began); a.err == nil || past < drainEnd {
		t.Errorf("ended %s after the start of the stop with %d %v, want a cut at %s", past, a.status, a.err, drainEnd)
	}
	last := time.Duration(c.first.After-1) * eventPause
	t.Logf("%d requests; the first upstream made its last event %s after the start of the stop; continued: %v", requestsAt(ss), last, continued.Load())
	if c.atWork && !continued.Load() && last < pauseGrace*time.Second*5/6 {
		t.Errorf("cut, and no upstream has been at work on it since %s after the start of the stop", last)
	}
}

// A stream whose upstream preempts it, or breaks it off, before the end of a drain. Guards against a stream that is cut though
// no upstream has been at work on it in the last sixth of the grace period and another one was free, and against one that is
// cut before the end of the drain as its upstream is silent.
func TestLostPauseAtDrainEnd(t *testing.T) {
	t.Parallel()
	full := server.Reject{Status: 503}
	// queued is the rest of a stream that waits in a queue until after the end of the drain.
	queued := server.Late{Events: goesOn, Delay: 5 * time.Second}
	for name, c := range map[string]cutStream{
		"pauses 1.8 s before, others free":       {pausing(1800 * time.Millisecond), []server.Reply{goesOn}, true},
		"pauses 0.3 s before, others free":       {pausing(300 * time.Millisecond), []server.Reply{goesOn}, true},
		"pauses 1.8 s before, others full":       {pausing(1800 * time.Millisecond), []server.Reply{full}, false},
		"pauses 0.9 s before, others full":       {pausing(900 * time.Millisecond), []server.Reply{full}, false},
		"pauses 1.8 s before, another queues it": {pausing(1800 * time.Millisecond), []server.Reply{queued}, false},
		"breaks off 0.9 s before, others free":   {broken(900 * time.Millisecond), []server.Reply{goesOn}, true},
		"breaks off 0.9 s before, one full":      {broken(900 * time.Millisecond), []server.Reply{full, goesOn}, true},
		"breaks off 1.8 s before, one queues it": {broken(1800 * time.Millisecond), []server.Reply{queued, goesOn}, true},
		"breaks off 0.9 s before, all queue it":  {broken(900 * time.Millisecond), []server.Reply{queued}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}
