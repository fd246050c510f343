// Package weight is a stand-in for the weight store: GET /v1/weights/{ref} of a
// version MODEL@VERSION sends version-bytes zero bytes. All downloads share
// bytes-per-second.
package weight

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/setup"
)

const chunkBytes = 64 << 10

// Store is the weight store. It is safe for concurrent use.
type Store struct {
	o       setup.Weights
	limiter *rate.Limiter
	faults  *fault.Injector
}

// New returns a store.
func New(o setup.Weights) *Store {
	return &Store{
		o:       o,
		limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), chunkBytes),
		faults:  fault.New("weights", fault.Options{}),
	}
}

// Faults returns the store's faults.
func (s *Store) Faults() *fault.Injector {
	return s.faults
}

// Fetch waits as long as a download takes.
func (s *Store) Fetch(ctx context.Context, _ ident.VersionRef) error {
	return s.send(ctx, func(int) error { return nil })
}

func (s *Store) send(ctx context.Context, write func(int) error) error {
	for left := s.o.VersionBytes; left > 0; {
		n := min(left, chunkBytes)
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if err := write(n); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// Handler returns the store's HTTP API with its faults.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/weights/{ref}", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(s.o.VersionBytes))
		b := make([]byte, chunkBytes)
		err := s.send(q.Context(), func(n int) error {
			_, err := w.Write(b[:n])
			return err
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	return s.faults.Wrap(r)
}
