package engine

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
)

type state int

const (
	stateQueued state = iota
	stateRunning
	stateFinished
	stateCancelled
)

// stream is one sequence: its request, its computed answer and how much of it was generated.
// The engine's lock guards it.
type stream struct {
	id       string
	ref      ident.VersionRef
	messages []answer.Message
	answer   *answer.Answer
	priority int
	cached   int

	state   state
	crashed bool
	emitted int
	readers int
	// lastReaderLeft is when a reader last left, ended when the stream ended.
	lastReaderLeft, ended time.Time
	changed               chan struct{}
}

// notify wakes the readers. The caller holds the engine's lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end(st state) {
	s.state = st
	s.notify()
}

// loadSample is the load at a time.
type loadSample struct {
	at   time.Time
	load Load
}

// Load is the response to GET /load.
type Load struct {
	Queued             int    `json:"queued"`
	Running            int    `json:"running"`
	Slots              int    `json:"slots"`
	PendingInputTokens int    `json:"pending_input_tokens"`
	FreeCacheTokens    int    `json:"free_cache_tokens"`
	Role               string `json:"role"`
	// InputRate and OutputRate are in tokens per second.
	InputRate  float64 `json:"input_tokens_per_second"`
	OutputRate float64 `json:"output_tokens_per_second"`
	AtUnixMs   int64   `json:"at_unix_ms"`
}

// recordLoad appends a sample of the load. The caller holds the lock.
func (e *Engine) recordLoad(now time.Time) {
	l := Load{
		Queued:          len(e.queue),
		Running:         len(e.running),
		Slots:           e.o.Slots,
		FreeCacheTokens: e.cache.capacity - e.cache.used,
		Role:            e.role,
		InputRate:       e.o.PrefillRate,
		AtUnixMs:        now.UnixMilli(),
	}
	for _, s := range e.queue {
		l.PendingInputTokens += s.answer.Input
	}
	n := float64(max(1, l.Running))
	l.OutputRate = n / (e.o.TokenTime.Seconds() * (1 + e.o.BatchSlope*(n-1)))
	e.loadSamples = append(e.loadSamples, loadSample{at: now, load: l})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[len(e.loadSamples)-maxLoadSamples:]
	}
}

// laggedLoad returns the last sample that is at least load-lag old, or the oldest one.
func (e *Engine) laggedLoad(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loadSamples) == 0 {
		e.recordLoad(now)
	}
	l := e.loadSamples[0].load
	for _, s := range e.loadSamples {
		if s.at.After(now.Add(-e.o.LoadLag)) {
			break
		}
		l = s.load
	}
	return l
}
