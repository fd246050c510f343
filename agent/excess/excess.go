// Package excess counts and logs answers of upstreams that were abandoned because they
// exceed a bound or are malformed.
package excess

import (
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
)

// lineInterval is the least time between two log lines for one part, so that a faulty
// upstream can't fill the log.
const lineInterval = time.Second

// malformed stands, among the parts, for answers that HTTP doesn't allow.
const malformed inlet.Part = "malformed"

// Options configures a Reporter.
type Options struct {
	// Upstream is the upstream of the agent.
	Upstream ident.UpstreamID
	Log      zerolog.Logger
	Now      func() time.Time
}

// Reporter counts and logs abandoned answers. It is safe for concurrent use. A nil Reporter
// does nothing.
type Reporter struct {
	*prometheus.CounterVec

	options Options

	mu    sync.Mutex
	parts map[inlet.Part]*lineLimit
}

// lineLimit limits the log lines for one part.
type lineLimit struct {
	next time.Time
	// omitted is the number of lines omitted since the last one.
	omitted int
}

// New returns a reporter. Its counter has a series for each part from the start.
func New(o Options) *Reporter {
	r := &Reporter{
		CounterVec: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "tarragonvalve_agent",
			Name:      "answers_exceeded_total",
			Help:      "Answers of the upstream abandoned because they exceed a bound, by part, or are malformed.",
		}, []string{"part"}),
		options: o,
		parts:   make(map[inlet.Part]*lineLimit),
	}
	for _, p := range append(inlet.Parts(), malformed) {
		r.WithLabelValues(string(p))
		r.parts[p] = &lineLimit{}
	}
	return r
}

// Report counts and logs err if it is an *inlet.TooLongError or *inlet.MalformedError, and
// ignores other errors. id is empty for an answer that belongs to no request.
func (r *Reporter) Report(id ident.RequestID, err error) {
	var l *inlet.TooLongError
	var m *inlet.MalformedError
	if r == nil {
		return
	}
	switch {
	case errors.As(err, &l):
		r.report(id, l.Part, "answer of the upstream exceeds a bound", func(e *zerolog.Event) *zerolog.Event {
			return e.Str("part", string(l.Part)).Int64("limit", l.Limit).Str("peer", l.Peer)
		})
	case errors.As(err, &m):
		r.report(id, malformed, "answer of the upstream is malformed", func(e *zerolog.Event) *zerolog.Event {
			return e.Str("part", string(m.Part)).Str("reason", m.Reason).Str("peer", m.Peer)
		})
	}
}

// report counts an answer and logs it, with the fields that describe adds, unless a line for the same
// label was just written.
func (r *Reporter) report(id ident.RequestID, label inlet.Part, message string, describe func(*zerolog.Event) *zerolog.Event) {
	r.WithLabelValues(string(label)).Inc()
	omitted, ok := r.take(label)
	if !ok {
		return
	}
	e := describe(r.options.Log.Warn()).Str("upstream", string(r.options.Upstream))
	if id != "" {
		e = e.Str("request", string(id))
	}
	if omitted > 0 {
		e = e.Int("left-out", omitted)
	}
	e.Msg(message)
}

// take reports whether a line for a part may be written, and the number of lines omitted
// before it.
func (r *Reporter) take(p inlet.Part) (int, bool) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.parts[p]
	if x == nil {
		x = &lineLimit{}
		r.parts[p] = x
	}
	if now.Before(x.next) {
		x.omitted++
		return 0, false
	}
	n := x.omitted
	x.next, x.omitted = now.Add(lineInterval), 0
	return n, true
}
