// Package engine is a stand-in for a model engine with continuous batching.
//
// It serves OpenAI chat completions with the model named MODEL@VERSION and these
// additions:
//
//   - the header X-Request-Id names the stream; every token event has its
//     position from 0 as its SSE id
//   - priority orders the queue, lower first, as in vLLM
//   - GET /v1/streams/{id}?from=N reads a stream from position N; DELETE cancels it
//   - a stream without a reader is cancelled after the grace time
//   - a streamed request whose last message begins with CrashPrefix crashes the engine once it
//     has generated the first token, before any byte of its response; the engine is back after
//     CrashDowntime
//   - GET /load reports the load at the time load-lag ago
//   - GET /kv-events is an SSE stream of cache events, delayed by event-lag and without
//     every event-gap-th event
//   - GET and POST /v1/kv/{hash} export and import a cached prefix block
//   - POST /v1/orders takes {kind, model, version, adapter, role, lease, token};
//     an engine that checks fencing tokens answers 409 to a token below the highest of
//     its lease; an engine that doesn't check them executes the order
//
// Timing: a step of a batch of n sequences takes
// token-time * slowness * (1 + batch-slope * (n-1)), with the largest slowness in the
// batch, plus the uncached input tokens of the sequences it admits * slowness /
// prefill-rate. Each sequence of the batch gets one token per step. Texts and
// log-probabilities are those of package answer.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/setup"
)

// maxStarts is the number of starts kept for the control API, maxLoadSamples that of the load
// samples kept for the load report.
const (
	maxStarts      = 100_000
	maxLoadSamples = 1024
)

// CrashPrefix begins the last message of a request that crashes the engine.
const CrashPrefix = "crash:"

// CrashDowntime is how long an engine resets connections after such a request.
const CrashDowntime = time.Second

// Start records that an engine began to generate for the request with an id.
type Start struct {
	At      time.Time        `json:"at"`
	ID      string           `json:"id"`
	Model   ident.ModelID    `json:"model"`
	Version ident.VersionID  `json:"version"`
	Engine  ident.UpstreamID `json:"engine"`
}

// Counts are an engine's counters.
type Counts struct {
	Received  int `json:"received"`
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	Refused   int `json:"refused"`
	Resumed   int `json:"resumed"`
	Tokens    int `json:"tokens"`
	Cached    int `json:"cached-tokens"`
	// StaleOrders counts the orders with an outdated fencing token that were executed,
	// RejectedOrders those that were rejected.
	StaleOrders    int `json:"stale-orders"`
	RejectedOrders int `json:"old-tokens-refused"`
}

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	o      setup.Engine
	models *Models
	// fetchWeights blocks until the weights of a version are downloaded.
	fetchWeights func(ctx context.Context, r ident.VersionRef) error
	faults       *fault.Injector

	mu               sync.Mutex
	wake             chan struct{}
	loaded           map[ident.VersionRef]bool
	role             string
	queue            []*stream
	running          []*stream
	streams          map[string]*stream
	cache            *cache
	highestTokens    map[string]uint64
	loadSamples      []loadSample
	counts           Counts
	starts           []Start
	orders           []OrderRecord
	lastStreamNumber uint64
}

// New returns an engine that generates once Run is called.
func New(o setup.Engine, m *Models, fetch func(context.Context, ident.VersionRef) error) *Engine {
	e := &Engine{o: o, models: m, fetchWeights: fetch, wake: make(chan struct{}, 1)}
	e.faults = fault.New(string(o.ID), fault.Options{HasEffect: isCompletion, MayCut: isCompletion, WriteError: writeInjectedError})
	e.reset()
	return e
}

// Faults returns the engine's fault injector.
func (e *Engine) Faults() *fault.Injector {
	return e.faults
}

// isCompletion reports whether a request starts a generation.
func isCompletion(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions"
}

// reset restores the state that the engine has after a start; the counters, starts and
// orders stay. The caller holds the lock or is the constructor.
func (e *Engine) reset() {
	e.loaded = map[ident.VersionRef]bool{}
	for _, v := range e.o.Loaded {
		e.loaded[v] = true
	}
	e.role = "mixed"
	e.queue, e.running = nil, nil
	e.streams = map[string]*stream{}
	e.cache = newCache(e.o.CacheTokens)
	e.highestTokens = map[string]uint64{}
	e.loadSamples = nil
}

// Crash simulates a crash and restart: it loses all streams, the cache, the highest fencing
// tokens and later changes of versions and role, and resets all connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	for _, s := range e.streams {
		s.crashed = true
		s.end(stateCancelled)
	}
	e.reset()
	e.mu.Unlock()
	e.faults.Reset()
}

// crashForDowntime crashes the engine, which then resets all connections for CrashDowntime.
func (e *Engine) crashForDowntime() {
	f := e.faults.Get()
	f.Down = true
	e.faults.Set(f)
	e.Crash()
	time.AfterFunc(CrashDowntime, func() {
		f := e.faults.Get()
		f.Down = false
		e.faults.Set(f)
	})
}

// Counts returns the counters, and the starts at or after a time.
func (e *Engine) Counts(since time.Time) (Counts, []Start) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Start
	for _, s := range e.starts {
		if !s.At.Before(since) {
			out = append(out, s)
		}
	}
	return e.counts, out
}

// Handler returns the engine's HTTP handler with its fault injector applied.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.complete)
	r.Get("/v1/models", e.listModels)
	r.Get("/v1/streams/{id}", e.resume)
	r.Delete("/v1/streams/{id}", e.cancel)
	r.Get("/load", e.reportLoad)
	r.Get("/kv-events", e.kvEvents)
	r.Get("/v1/kv/{hash}", e.exportBlock)
	r.Post("/v1/kv/{hash}", e.importBlock)
	r.Post("/v1/orders", e.handleOrder)
	return e.faults.Wrap(r)
}
