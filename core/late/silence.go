package late

import (
	"sync"
	"time"
)

// Silence calls a function when nothing has arrived for a while. The wait is extended once by the lateness of the process,
// in which what has arrived meanwhile is read. It is safe for concurrent use.
type Silence struct {
	limit time.Duration
	late  Func

	mu    sync.Mutex
	timer *time.Timer
	// extended is true once the wait was extended, until something arrives.
	extended bool
}

// NewSilence calls end when nothing has arrived for limit in a process that is f late.
func NewSilence(limit time.Duration, f Func, end func()) *Silence {
	s := &Silence{limit: limit, late: f}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, func() {
		if !s.extend() {
			end()
		}
	})
	return s
}

// extend extends the wait. It reports false if the process is on time or the wait was extended before.
func (s *Silence) extend() bool {
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

// Reset records that something arrived.
func (s *Silence) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extended = false
	s.timer.Reset(s.limit)
}

// Stop ends the wait.
func (s *Silence) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A call of extend that runs now must not start the timer again.
	s.extended = true
	s.timer.Stop()
}
