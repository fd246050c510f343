package logger

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// usualRate and usualBurst bound the lines of one kind per second. One line a
	// request at the rate of today's deployments stays below.
	usualRate  = 60
	usualBurst = 120
	// failureRate and failureBurst bound warnings and errors of one kind, which
	// are needed most.
	failureRate  = 200
	failureBurst = 400
	// buffered is the number of lines that wait for a slow reader of the output.
	buffered = 2000
)

// leftOut is the field with the number of lines of its kind that were left out before a line.
const leftOut = "left-out"

// Decisions returns a logger of JSON lines for decisions, and a function that
// writes what is buffered. The logger never waits for its output: lines beyond
// the buffer are dropped and counted in a later line. Each message has a rate of
// its own, with one for failures beside it; the next line tells how many were left out.
func Decisions(w io.Writer, level zerolog.Level, instance string) (zerolog.Logger, func() error) {
	o := &limits{kinds: map[kind]*limited{}}
	d := diode.NewWriter(w, buffered, 0, o.dropped)
	l := zerolog.New(d).Level(level).Hook(o).With().Str("instance", instance).Logger()
	return l, d.Close
}

// kind is a message, apart for failures.
type kind struct {
	message string
	failure bool
}

type limited struct {
	*rate.Limiter
	left int
}

// limits is a zerolog hook that bounds the lines of each kind.
type limits struct {
	mu    sync.Mutex
	kinds map[kind]*limited
	lost  int
}

// dropped records lines that the buffer had no room for.
func (o *limits) dropped(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost += n
}

// Run implements zerolog.Hook.
func (o *limits) Run(e *zerolog.Event, level zerolog.Level, message string) {
	now := time.Now()
	left, ok := o.take(kind{message: message, failure: level >= zerolog.WarnLevel}, now)
	if !ok {
		e.Discard()
		return
	}
	e.Int64("time", now.UnixMilli())
	if left > 0 {
		e.Int(leftOut, left)
	}
}

// take reports whether a line may be written and how many were left out before it.
func (o *limits) take(k kind, now time.Time) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x := o.kinds[k]
	if x == nil {
		x = &limited{Limiter: rate.NewLimiter(usualRate, usualBurst)}
		if k.failure {
			x.Limiter = rate.NewLimiter(failureRate, failureBurst)
		}
		o.kinds[k] = x
	}
	if !x.AllowN(now, 1) {
		x.left++
		return 0, false
	}
	left := x.left + o.lost
	x.left, o.lost = 0, 0
	return left, true
}
