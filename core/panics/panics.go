// Package panics recovers panics of the handlers of HTTP and gRPC servers, logs and counts them, and
// answers as far as no answer has begun.
package panics

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Reporter logs and counts panics. It is safe for concurrent use.
type Reporter struct {
	log    zerolog.Logger
	count  atomic.Uint64
	stacks Stacks
}

// New returns a reporter that has seen no panic.
func New(l zerolog.Logger) *Reporter {
	return &Reporter{log: l}
}

// Count returns the number of panics.
func (r *Reporter) Count() uint64 { return r.count.Load() }

// Report logs and counts a panic with the value p in a request, which is described by the name and
// value of a field. It must be called while the panic is handled.
func (r *Reporter) Report(p any, field, request string) {
	r.count.Add(1)
	e := r.log.Error().Str(field, request)
	r.stacks.Describe(e, p).Msg("a handler panicked")
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
