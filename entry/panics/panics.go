// Package panics recovers panics of the handlers of HTTP and gRPC servers, logs and counts them, and
// answers as far as no answer has begun.
package panics

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// stackInterval is the least time between two logged stacks of the same place.
	stackInterval = time.Minute
	// maxPlaces bounds the places whose last stack is remembered.
	maxPlaces = 64
	// maxFrames bounds the frames that are searched for the place of a panic.
	maxFrames = 32
)

// Reporter logs and counts panics. It is safe for concurrent use.
type Reporter struct {
	log   zerolog.Logger
	count atomic.Uint64

	mu sync.Mutex
	// last maps places to the time of their last logged stack.
	last map[string]time.Time
}

// New returns a reporter that has seen no panic.
func New(l zerolog.Logger) *Reporter {
	return &Reporter{log: l, last: map[string]time.Time{}}
}

// Count returns the number of panics.
func (r *Reporter) Count() uint64 { return r.count.Load() }

// Report logs and counts a panic with the value p in a request, which is described by the name and
// value of a field. It must be called while the panic is handled.
func (r *Reporter) Report(p any, field, request string) {
	r.count.Add(1)
	where := place()
	e := r.log.Error().Str(field, request).Str("place", where).Str("error", fmt.Sprint(p))
	if r.mayLogStack(where, time.Now()) {
		e = e.Bytes("stack", debug.Stack())
	}
	e.Msg("a handler panicked")
}

// mayLogStack reports whether the stack of a place may be logged now, and if so records that it is.
func (r *Reporter) mayLogStack(where string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.last {
		if now.Sub(t) >= stackInterval {
			delete(r.last, k)
		}
	}
	if _, ok := r.last[where]; ok || len(r.last) >= maxPlaces {
		return false
	}
	r.last[where] = now
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

// Handler returns h with panics reported. Their requests are answered with 500, or their connections
// are closed if the answer has begun, so that it does not look complete.
func (r *Reporter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s := &startedWriter{ResponseWriter: w}
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself
				panic(p)
			}
			r.Report(p, "path", q.URL.Path)
			if s.started {
				panic(http.ErrAbortHandler)
			}
			clear(w.Header())
			http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
		}()
		h.ServeHTTP(s, q)
	})
}

// startedWriter records whether an answer has begun.
type startedWriter struct {
	http.ResponseWriter

	started bool
}

func (s *startedWriter) WriteHeader(code int) {
	s.started = true
	s.ResponseWriter.WriteHeader(code)
}

func (s *startedWriter) Write(b []byte) (int, error) {
	s.started = true
	return s.ResponseWriter.Write(b)
}

// Unwrap is for http.ResponseController.
func (s *startedWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// ServerOptions returns the options of a gRPC server whose handlers' panics are reported. Their calls
// end with codes.Internal, which does not say whether the call had an effect.
func (r *Reporter) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, q any, i *grpc.UnaryServerInfo, h grpc.UnaryHandler) (m any, err error) {
			defer r.recoverCall(i.FullMethod, &err)
			return h(ctx, q)
		}),
		grpc.ChainStreamInterceptor(func(v any, s grpc.ServerStream, i *grpc.StreamServerInfo, h grpc.StreamHandler) (err error) {
			defer r.recoverCall(i.FullMethod, &err)
			return h(v, s)
		}),
	}
}

// recoverCall reports a panic in a gRPC method and sets the error of the call.
func (r *Reporter) recoverCall(method string, err *error) {
	p := recover()
	if p == nil {
		return
	}
	r.Report(p, "method", method)
	*err = status.Errorf(codes.Internal, "the handler of %s panicked, it is not known how far it came", method)
}
