// Package weight is a stand-in for the store of model weights. GET /v1/weights/{ref} with a
// version MODEL@VERSION sends version-bytes zero bytes, whichever the version. All downloads
// share the bandwidth bytes-per-second.
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

// chunkBytes is the size of one write and the burst of the bandwidth limit.
const chunkBytes = 64 << 10

// Store is the weight store. It is safe for concurrent use.
type Store struct {
	o       setup.Weights
	limiter *rate.Limiter
	faults  *fault.Injector
}

// New returns a store with the given sizes and bandwidth.
func New(o setup.Weights) *Store {
	return &Store{
		o:       o,
		limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), chunkBytes),
		faults:  fault.New("weights", fault.Options{}),
	}
}

// Faults returns the store's fault injector.
func (s *Store) Faults() *fault.Injector {
	return s.faults
}

// Fetch blocks for as long as the download of a version takes with its share of the
// bandwidth. It fails if the context ends first.
func (s *Store) Fetch(ctx context.Context, _ ident.VersionRef) error {
	return s.send(ctx, func(int) error { return nil })
}

// send calls write with the size of each chunk of one version as the bandwidth allows.
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

// Handler returns the store's HTTP handler with its fault injector applied.
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
