// Package fault switches faults of a stand-in on and off while it serves HTTP.
//
// A Switch wraps the handler and the listener of one part. Its faults are:
//
//   - down: open connections are reset and new ones are reset after accept
//   - silent: connections are accepted and requests read, but nothing is answered
//   - slow-ms: every request waits this long before it is handled
//   - error-rate: this part of the requests is answered with an error and has no effect
//   - lost: the next N requests with an effect take effect, then their connection is reset
//
// SilenceOpen makes the connections that are open now silent for good in both
// directions, while new ones work.
package fault

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults of one part; the zero value means none.
type Faults struct {
	Down      bool    `json:"down"`
	Silent    bool    `json:"silent"`
	SlowMs    int     `json:"slow-ms"`
	ErrorRate float64 `json:"error-rate"`
	// Lost counts down by one with each answer that is lost; -1 loses all.
	Lost int `json:"lost"`
}

// Options describe the part that a switch belongs to.
type Options struct {
	// HasEffect reports whether a request has an effect, so that its answer can be lost after it; nil means every request.
	HasEffect func(*http.Request) bool
	// WriteError writes the part's error answer; nil writes a plain 500.
	WriteError func(http.ResponseWriter)
}

// Injector holds the faults of one part. It is safe for concurrent use.
type Injector struct {
	o Options

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	rng     *rand.Rand
	conns   map[*conn]bool
}

// New returns a switch without faults. The name seeds the choice of failing requests.
func New(name string, o Options) *Injector {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &Injector{
		o:       o,
		changed: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(h.Sum64(), 1)),
		conns:   map[*conn]bool{},
	}
}

// Set replaces the faults.
func (s *Injector) Set(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if f.Down {
		s.Reset()
	}
}

// Get returns the faults.
func (s *Injector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Reset resets all open connections.
func (s *Injector) Reset() {
	for _, c := range s.openConns() {
		c.reset()
	}
}

// SilenceOpen makes the open connections silent for good and returns how many.
func (s *Injector) SilenceOpen() int {
	cs := s.openConns()
	for _, c := range cs {
		c.silent.Store(true)
	}
	return len(cs)
}

func (s *Injector) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	cs := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		cs = append(cs, c)
	}
	return cs
}

// Wrap returns a handler that suffers the faults.
func (s *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.wait(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		effect := s.o.HasEffect == nil || s.o.HasEffect(r)
		fail, lose := s.sampleFault(effect)
		if fail {
			s.writeError(w)
			return
		}
		if !lose {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// wait waits out the silent and slow faults; it reports whether to go on.
func (s *Injector) wait(ctx context.Context) bool {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		s.mu.Unlock()
		if f.Down {
			return false
		}
		if !f.Silent {
			return s.delay(ctx, f)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (s *Injector) delay(ctx context.Context, f Faults) bool {
	if f.SlowMs <= 0 {
		return true
	}
	t := time.NewTimer(time.Duration(f.SlowMs) * time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (s *Injector) sampleFault(effect bool) (fail, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ErrorRate > 0 && s.rng.Float64() < s.faults.ErrorRate {
		return true, false
	}
	if !effect || s.faults.Lost == 0 {
		return false, false
	}
	if s.faults.Lost > 0 {
		s.faults.Lost--
	}
	return false, true
}

func (s *Injector) writeError(w http.ResponseWriter) {
	if s.o.WriteError != nil {
		s.o.WriteError(w)
		return
	}
	http.Error(w, "error fault", http.StatusInternalServerError)
}

// discardWriter takes an answer that never reaches the client.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// Flush lets handlers of streams run unchanged.
func (d *discardWriter) Flush() {}
