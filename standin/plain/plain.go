// Package plain is a stand-in for an instance of a plain service.
//
// It accepts any method and path and counts every run. It doesn't deduplicate, so the
// counters show a call that ran twice. A call takes 0.5 to 1.5 times the configured
// time, multiplied by max(1, n/s) when n calls run on s slots. The response to a call is the
// JSON object
//
//	{"service":S,"method":M,"path":P,"key":K,"body-sha256":H,"run":N}
//
// with K the Idempotency-Key, H the SHA-256 of the request body in lower-case hex and N the
// number of runs of this key so far on all instances of the service, 1 without a key. Calls
// other than GET and HEAD have an effect.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/setup"
)

const (
	maxBodyBytes = 1 << 20
	maxRuns      = 100_000
)

// Run records one execution of a call.
type Run struct {
	At       time.Time        `json:"at"`
	Service  ident.ServiceID  `json:"service"`
	Upstream ident.UpstreamID `json:"upstream"`
	Method   string           `json:"method"`
	Path     string           `json:"path"`
	Key      string           `json:"key"`
	Digest   string           `json:"body-sha256"`
}

// Runs records the runs on all instances of all services. It keeps the first maxRuns runs and
// counts all runs with a key. It is safe for concurrent use.
type Runs struct {
	mu   sync.Mutex
	runs []Run
	keys map[string]int
}

// NewRuns returns a Runs without records.
func NewRuns() *Runs {
	return &Runs{keys: map[string]int{}}
}

// KeyID returns the counter name SERVICE/KEY of an idempotency key.
func KeyID(s ident.ServiceID, key string) string {
	return string(s) + "/" + key
}

// add records a run and returns the number of runs of its key so far, 1 without a key.
func (r *Runs) add(v Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) < maxRuns {
		r.runs = append(r.runs, v)
	}
	if v.Key == "" {
		return 1
	}
	id := KeyID(v.Service, v.Key)
	r.keys[id]++
	return r.keys[id]
}

// PerKey returns the number of runs per KeyID.
func (r *Runs) PerKey() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.keys))
	for k, n := range r.keys {
		out[k] = n
	}
	return out
}

// All returns the recorded runs in the order of their start.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Plain is one instance of a plain service. It is safe for concurrent use.
type Plain struct {
	o      setup.Plain
	runs   *Runs
	faults *fault.Injector

	mu      sync.Mutex
	running int
}

// New returns an instance that records its runs in r.
func New(o setup.Plain, r *Runs) *Plain {
	return &Plain{o: o, runs: r, faults: fault.New(string(o.ID), fault.Options{HasEffect: hasEffect})}
}

// Faults returns the instance's fault injector.
func (p *Plain) Faults() *fault.Injector {
	return p.faults
}

// Handler returns the instance's HTTP handler with its fault injector applied.
func (p *Plain) Handler() http.Handler {
	return p.faults.Wrap(http.HandlerFunc(p.serve))
}

// hasEffect reports whether a call may change state.
func hasEffect(r *http.Request) bool {
	return r.Method != http.MethodGet && r.Method != http.MethodHead
}

// Answer is the response body of a call.
type Answer struct {
	Service ident.ServiceID `json:"service"`
	Method  string          `json:"method"`
	Path    string          `json:"path"`
	Key     string          `json:"key"`
	Digest  string          `json:"body-sha256"`
	Run     int             `json:"run"`
}

// serve runs a call. The run is counted at its start, because a service does not stop when
// its client closes the connection.
func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sum := sha256.Sum256(b)
	v := Run{
		At:       time.Now(),
		Service:  p.o.Service,
		Upstream: p.o.ID,
		Method:   r.Method,
		Path:     r.URL.Path,
		Key:      r.Header.Get("Idempotency-Key"),
		Digest:   hex.EncodeToString(sum[:]),
	}
	n := p.runs.add(v)
	time.Sleep(p.begin())
	p.end()
	a := Answer{Service: v.Service, Method: v.Method, Path: v.Path, Key: v.Key, Digest: v.Digest, Run: n}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// begin counts a running call and returns how long it takes.
func (p *Plain) begin() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	load := max(1, float64(p.running)/float64(p.o.Slots))
	return time.Duration(float64(p.o.Time) * (0.5 + rand.Float64()) * load)
}

// end counts a call as no longer running.
func (p *Plain) end() {
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
}
