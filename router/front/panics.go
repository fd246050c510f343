package front

import (
	"net/http"
	"time"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/refuse"
)

// handler wraps h so that a panic is logged and counted, and answered as long as no answer has begun. Otherwise
// it ends the connection, so that the answer doesn't look complete.
func (r *endReporter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		x := &exchange{header: q.Header, arrived: time.Now(), closeDelimited: !q.ProtoAtLeast(1, 1)}
		s := newStatusWriter(w)
		if c, ok := q.Context().Value(connKey{}).(*clientConn); ok {
			c.begin(x)
		}
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself
				x.cut.Store(true)
				panic(p)
			}
			x.reported.Store(true)
			r.reportPanic(p, x, s.status != 0)
			if s.status != 0 {
				x.cut.Store(true)
				panic(http.ErrAbortHandler)
			}
			// The headers may be those of an answer that was about to be written.
			clear(w.Header())
			w.Header().Set("Connection", "close")
			writeRefusal(w, refuse.New(refuse.Internal, refuse.Unknown, "the router failed while it served the request"))
		}()
		h.ServeHTTP(s, q)
	})
}

// reportPanic logs and counts a panic. begun states whether the answer had begun.
func (r *endReporter) reportPanic(p any, x *exchange, begun bool) {
	r.add(ending.HandlerPanic)
	e := r.line(ending.HandlerPanic, x).Bool("answer-begun", begun)
	r.stacks.Describe(e, p).Msg(message(ending.HandlerPanic))
}
