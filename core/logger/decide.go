package logger

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// infoRate and infoBurst limit the lines per second of a kind below the level
	// warn. One line per request at the request rate of present deployments stays below.
	infoRate  = 60
	infoBurst = 120
	// warnRate and warnBurst limit the lines per second of a kind of warnings and
	// errors, which are needed most.
	warnRate  = 200
	warnBurst = 400
	// bufferLines is the maximum number of lines that wait for a slow output.
	bufferLines = 2000
)

// omittedField is the log field with the number of lines that were omitted before a line.
const omittedField = "left-out"

// Decisions returns a logger that writes the decisions of an instance as JSON lines,
// and a function that writes the buffered lines and closes the logger. Logging never
// waits for the output: lines that exceed the buffer are dropped. Each message has a
// rate limit, and another one for its warnings and errors. A later line holds the
// number of omitted lines in the field left-out.
func Decisions(w io.Writer, level zerolog.Level, instance string) (zerolog.Logger, func() error) {
	o := &rateLimitHook{kinds: map[kind]*lineLimiter{}}
	d := newLineQueue(w, o.addDropped)
	l := zerolog.New(d).Level(level).Hook(o).With().Str("instance", instance).Logger()
	return l, d.Close
}

// kind identifies the lines that share a rate limit.
type kind struct {
	message string
	failure bool // level warn or above
}

// lineLimiter is the rate limit of a kind.
type lineLimiter struct {
	*rate.Limiter
	omitted int // lines omitted since the last one that was written
}

// rateLimitHook is a zerolog hook that limits the rate of lines of each kind.
type rateLimitHook struct {
	mu      sync.Mutex
	kinds   map[kind]*lineLimiter
	dropped int // lines of any kind that the buffer dropped and no line has reported yet
}

// addDropped counts lines that exceeded the buffer.
func (o *rateLimitHook) addDropped(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped += n
}

// Run implements zerolog.Hook. It discards lines that exceed the rate limit and adds
// the time in Unix milliseconds to the others.
func (o *rateLimitHook) Run(e *zerolog.Event, level zerolog.Level, message string) {
	now := time.Now()
	left, ok := o.take(kind{message: message, failure: level >= zerolog.WarnLevel}, now)
	if !ok {
		e.Discard()
		return
	}
	e.Int64("time", now.UnixMilli())
	if left > 0 {
		e.Int(omittedField, left)
	}
}

// take reports whether a line may be written, and the number of lines omitted before it.
func (o *rateLimitHook) take(k kind, now time.Time) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x := o.kinds[k]
	if x == nil {
		x = &lineLimiter{Limiter: rate.NewLimiter(infoRate, infoBurst)}
		if k.failure {
			x.Limiter = rate.NewLimiter(warnRate, warnBurst)
		}
		o.kinds[k] = x
	}
	if !x.AllowN(now, 1) {
		x.omitted++
		return 0, false
	}
	left := x.omitted + o.dropped
	x.omitted, o.dropped = 0, 0
	return left, true
}
