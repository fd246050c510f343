package agents

import (
	"sync"
	"time"

	"tarragonvalve.example/core/late"
)

// silence ends a stream on which nothing arrives for a while.
type silence struct {
	limit time.Duration
	late  late.Func

	mu    sync.Mutex
	timer *time.Timer
	// extended is true once the wait was extended, until something arrives.
	extended bool
}

// newSilence calls end when nothing has arrived for limit.
func newSilence(limit time.Duration, late late.Func, end func()) *silence {
	s := &silence{limit: limit, late: late}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, func() {
		if !s.extend() {
			end()
		}
	})
	return s
}

// extend extends the wait once by the lateness of the process, in which what has arrived meanwhile is read. It reports false
// if the process is on time or the wait was extended before.
func (s *silence) extend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := min(s.late.Lateness(), s.limit)
	if s.extended || d <= 0 {
		return false
	}
	s.extended = true
	s.timer.Reset(d)
	return true
}

// reset records that something arrived.
func (s *silence) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extended = false
	s.timer.Reset(s.limit)
}

// stop ends the wait.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A call of extend that runs now must not start the timer again.
	s.extended = true
	s.timer.Stop()
}
