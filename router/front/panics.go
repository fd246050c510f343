package front

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"tarragonvalve.example/core/refuse"
)

const (
	// stackInterval is the least time between two logged stacks of the same place.
	stackInterval = time.Minute
	// maxStackPlaces bounds the places whose last stack is remembered.
	maxStackPlaces = 64
	// maxStackFrames bounds the frames that are searched for the place of a panic.
	maxStackFrames = 32
)

// handler wraps h so that a panic is logged and counted, and answered as long as no answer has begun. Otherwise
// it ends the connection, so that the answer doesn't look complete.
func (r *endReporter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		x := &exchange{header: q.Header}
		s := &statusWriter{ResponseWriter: w}
		if c, ok := q.Context().Value(connKey{}).(*clientConn); ok {
			c.begin(x)
		}
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself
				panic(p)
			}
			x.reported.Store(true)
			r.reportPanic(p, x, s.status != 0)
			if s.status != 0 {
				panic(http.ErrAbortHandler)
			}
			// The headers may be those of an answer that was about to be written.
			clear(w.Header())
			w.Header().Set("Connection", "close")
			writeRefusal(w, refuse.New(refuse.Internal, refuse.Unknown, "the router failed while it served the request"))
		}()
		h.ServeHTTP(s, q.WithContext(context.WithValue(q.Context(), exchangeKey{}, x)))
	})
}

// reportPanic logs a panic with its place, and with its stack unless that place's was logged a moment ago. begun
// states whether the answer had begun.
func (r *endReporter) reportPanic(p any, x *exchange, begun bool) {
	where := panicPlace()
	r.add(HandlerPanic)
	e := r.line(HandlerPanic, x).Str("place", where).Str("error", fmt.Sprint(p)).Bool("answer-begun", begun)
	if r.stacks.allows(where, time.Now()) {
		e = e.Bytes("stack", debug.Stack())
	}
	e.Msg(message(HandlerPanic))
}

// panicPlace returns the function and line that panicked. It must be called while the panic is handled.
func panicPlace() string {
	pcs := make([]uintptr, maxStackFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	panicking := false
	for {
		f, more := frames.Next()
		inRuntime := strings.HasPrefix(f.Function, "runtime.")
		if panicking && !inRuntime {
			return fmt.Sprintf("%s:%d", f.Function, f.Line)
		}
		panicking = panicking || f.Function == "runtime.gopanic"
		if !more {
			return "unknown"
		}
	}
}

// stackLimiter limits how often the stack of a place is logged. Its zero value is ready for use. It is
// safe for concurrent use.
type stackLimiter struct {
	mu sync.Mutex
	// last maps places to the time of their last stack.
	last map[string]time.Time
}

// allows reports whether the stack of a place may be logged now, and if so records that it is.
func (l *stackLimiter) allows(where string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, t := range l.last {
		if now.Sub(t) >= stackInterval {
			delete(l.last, k)
		}
	}
	if _, ok := l.last[where]; ok || len(l.last) >= maxStackPlaces {
		return false
	}
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	l.last[where] = now
	return true
}
