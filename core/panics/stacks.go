package panics

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// stackInterval is the least time between two logged stacks of the same place.
	stackInterval = time.Minute
	// maxPlaces bounds the places whose last stack is remembered.
	maxPlaces = 64
	// maxFrames bounds the frames that are searched for the place of a panic.
	maxFrames = 32
)

// Stacks limits how often the stack of a place is logged. Its zero value is ready for use. It is safe for
// concurrent use.
type Stacks struct {
	mu sync.Mutex
	// last maps places to the time of their last stack.
	last map[string]time.Time
}

// Describe adds to a log line the value and place of a panic, and its stack unless that of the place was logged a
// moment ago. It must be called while the panic is handled.
func (l *Stacks) Describe(e *zerolog.Event, p any) *zerolog.Event {
	where := place()
	e = e.Str("place", where).Str("error", fmt.Sprint(p))
	if l.allows(where, time.Now()) {
		e = e.Bytes("stack", debug.Stack())
	}
	return e
}

// allows reports whether the stack of a place may be logged now, and if so records that it is.
func (l *Stacks) allows(where string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, t := range l.last {
		if now.Sub(t) >= stackInterval {
			delete(l.last, k)
		}
	}
	if _, ok := l.last[where]; ok || len(l.last) >= maxPlaces {
		return false
	}
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	l.last[where] = now
	return true
}

// place returns the function and line that panicked.
func place() string {
	pcs := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	panicking := false
	for {
		f, more := frames.Next()
		if panicking && !strings.HasPrefix(f.Function, "runtime.") {
			return fmt.Sprintf("%s:%d", f.Function, f.Line)
		}
		panicking = panicking || f.Function == "runtime.gopanic"
		if !more {
			return "unknown"
		}
	}
}
