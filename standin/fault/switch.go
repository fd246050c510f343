// Package fault injects faults into a stand-in while it serves HTTP.
//
// An Injector wraps the handler and the listener of one component. Its faults are:
//
//   - down: open connections are reset and new ones are reset after accept
//   - silent: connections are accepted and requests read, but no response is sent
//   - slow-ms: every request is delayed by this many milliseconds before it is handled
//   - error-rate: this fraction of the requests, from 0 to 1, gets an error response and
//     has no effect
//   - lost: the next N requests that have an effect are handled, then their connection is
//     closed without a response
//   - cuts: each of the next responses ends after so many bytes of head and body, the first
//     number for the first; its connection is closed, or with stall stays open and silent
//
// SilenceOpen discards all further data, in both directions, of the connections that are
// open when it is called; new connections work.
package fault

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the active faults of one component; the zero value means none.
type Faults struct {
	Down      bool    `json:"down"`
	Silent    bool    `json:"silent"`
	SlowMs    int     `json:"slow-ms"`
	ErrorRate float64 `json:"error-rate"`
	// Lost is the number of responses still to lose. It decreases with each lost response;
	// -1 loses all.
	Lost int `json:"lost"`
	// Cuts are the lengths in bytes, from the status line on, after which the next responses
	// end. The first is removed with each response that it was applied to.
	Cuts []int `json:"cuts"`
	// Stall keeps the connection of a response that was cut open.
	Stall bool `json:"stall"`
}

// Options describe the component that an injector belongs to.
type Options struct {
	// HasEffect reports whether a request changes state. Only the responses to such requests
	// are subject to the fault lost; nil means that every request has an effect.
	HasEffect func(*http.Request) bool
	// MayCut reports whether the response to a request is subject to the fault cuts; nil means
	// that every response is.
	MayCut func(*http.Request) bool
	// WriteError writes the response of an injected error; nil writes a plain-text 500.
	WriteError func(http.ResponseWriter)
}

// Injector holds the faults of one component and applies them. It is safe for concurrent use.
type Injector struct {
	o Options

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
	rng     *rand.Rand
	conns   map[*conn]bool
}

// New returns an injector without active faults. The name seeds the random choice of the
// requests that error-rate fails, so that each run fails the same ones.
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

// Set replaces all faults. Requests that a silent fault holds back see the change; setting
// down resets the open connections.
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

// Get returns the active faults.
func (s *Injector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Reset closes all open connections with a TCP reset.
func (s *Injector) Reset() {
	for _, c := range s.openConns() {
		c.reset()
	}
}

// SilenceOpen discards all further data of the connections that are open now, until they
// are closed, and returns how many there are.
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

// Wrap returns a handler that applies the request faults before and after h. It aborts the
// connection of a request whose response is not to be sent.
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
			s.sampleCut(r)
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// wait blocks while the component is silent and then for the slow-ms delay. It returns
// false if the request must be aborted: the component is down or the context has ended.
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

// delay waits for the slow-ms delay; it returns false if the context ends before.
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

// sampleFault decides whether a request fails with an error, or is handled and loses its
// response. effect tells whether the request changes state.
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

// sampleCut limits the response to a request to the first of the active cuts, if there is one.
func (s *Injector) sampleCut(r *http.Request) {
	if s.o.MayCut != nil && !s.o.MayCut(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults.Cuts) == 0 {
		return
	}
	for c := range s.conns {
		if c.RemoteAddr().String() == r.RemoteAddr {
			c.cut.Store(&cut{left: s.faults.Cuts[0], stall: s.faults.Stall})
			s.faults.Cuts = s.faults.Cuts[1:]
			return
		}
	}
}

func (s *Injector) writeError(w http.ResponseWriter) {
	if s.o.WriteError != nil {
		s.o.WriteError(w)
		return
	}
	http.Error(w, "error fault", http.StatusInternalServerError)
}

// discardWriter is a ResponseWriter that discards a response that is to be lost.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// Flush does nothing; handlers of streams require it.
func (d *discardWriter) Flush() {}
