package engine

import (
	"context"
	"slices"
	"time"

	"tarragonvalve.example/standin/answer"
)

// Run executes the steps of the batch until the context ends. It blocks while there is no work.
func (e *Engine) Run(ctx context.Context) {
	for {
		d, busy := e.beginStep()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		e.finishStep()
	}
}

// wakeLoop wakes Run after a request was queued.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// beginStep cancels abandoned streams, admits queued sequences by priority and returns the
// duration of the next step, or false if the batch is empty.
func (e *Engine) beginStep() (time.Duration, bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return a.priority - b.priority })
	var prefill float64
	for len(e.running) < e.o.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		prefill += e.admit(s, now)
	}
	e.recordLoad(now)
	if len(e.running) == 0 {
		return 0, false
	}
	slow := 0.0
	for _, s := range e.running {
		slow = max(slow, e.models.Current(s.ref).Slowness)
	}
	step := e.o.TokenTime.Seconds() * slow * (1 + e.o.BatchSlope*float64(len(e.running)-1))
	return time.Duration((step + prefill) * float64(time.Second)), true
}

// admit moves a sequence into the batch and returns its prefill time in seconds.
func (e *Engine) admit(s *stream, now time.Time) float64 {
	s.cached = e.cache.cachedTokens(s.messages, now)
	s.state = stateRunning
	e.running = append(e.running, s)
	e.counts.Started++
	e.counts.Cached += s.cached
	if len(e.starts) < maxStarts {
		e.starts = append(e.starts, Start{At: now, ID: s.id, Model: s.ref.Model, Version: s.ref.Version, Engine: e.o.ID})
	}
	e.cache.store(s.messages, now)
	return float64(s.answer.Input-s.cached) * e.models.Current(s.ref).Slowness / e.o.PrefillRate
}

// finishStep emits the next token of every running sequence and removes those that are
// complete from the batch.
func (e *Engine) finishStep() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.running[:0]
	for _, s := range e.running {
		if s.state != stateRunning {
			continue
		}
		s.emitted++
		e.counts.Tokens++
		if s.emitted < len(s.answer.Tokens) {
			s.notify()
			left = append(left, s)
			continue
		}
		s.end(stateFinished)
		s.ended = now
		e.counts.Finished++
		e.cache.store(append(slices.Clone(s.messages), answer.Message{Role: "assistant", Content: s.answer.Text()}), now)
	}
	clear(e.running[len(left):])
	e.running = left
}

// expire cancels streams that have had no reader for the grace time and deletes those that
// ended longer ago than the keep time.
func (e *Engine) expire(now time.Time) {
	for id, s := range e.streams {
		switch {
		case s.state == stateFinished || s.state == stateCancelled:
			if now.Sub(s.ended) > e.o.Keep {
				delete(e.streams, id)
			}
		case s.readers == 0 && now.Sub(s.lastReaderLeft) > e.o.Grace:
			e.cancelStream(s, now)
		}
	}
}

// cancelStream cancels a stream that has not ended and removes it from queue and batch.
func (e *Engine) cancelStream(s *stream, now time.Time) {
	if s.state == stateFinished || s.state == stateCancelled {
		return
	}
	s.end(stateCancelled)
	s.ended = now
	e.counts.Cancelled++
	same := func(o *stream) bool { return o == s }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
}
