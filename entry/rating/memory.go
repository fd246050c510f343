package rating

import (
	"hash/fnv"
	"sync"
	"sync/atomic"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// maxAnswers bounds the answers whose ratings are awaited; the oldest are forgotten first.
const maxAnswers = 20_000

// Memory joins late ratings with what this entry knows of the rated answers.
// Ratings of other entries' answers are left to those entries.
type Memory struct {
	client *Client
	oneOf  uint64

	mu       sync.Mutex
	logprobs map[ident.RequestID]float64
	order    []ident.RequestID
	next     int
	foreign  atomic.Uint64
}

// NewMemory returns a memory that reports one of so many answers; 0 reports none.
func NewMemory(c *Client, oneOf int) *Memory {
	return &Memory{client: c, oneOf: uint64(oneOf), logprobs: map[ident.RequestID]float64{}}
}

// Foreign returns how many ratings were for answers that this entry doesn't remember.
func (m *Memory) Foreign() uint64 { return m.foreign.Load() }

// Answer remembers an answer and reports it if it is in the sample.
func (m *Memory) Answer(a Answered, ms []*wire.Message, logprob float64) {
	m.remember(a.Request, logprob)
	if m.oneOf == 0 || sample(a.Request)%m.oneOf != 0 {
		return
	}
	a.Messages = Messages(ms)
	m.client.Report(a)
}

// Logprob returns the mean log-probability of a remembered answer and forgets it.
func (m *Memory) Logprob(r ident.RequestID) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.logprobs[r]
	if !ok {
		m.foreign.Add(1)
	}
	delete(m.logprobs, r)
	return p, ok
}

func (m *Memory) remember(r ident.RequestID, logprob float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logprobs[r] = logprob
	if len(m.order) < maxAnswers {
		m.order = append(m.order, r)
		return
	}
	delete(m.logprobs, m.order[m.next])
	m.order[m.next] = r
	m.next = (m.next + 1) % maxAnswers
}

func sample(r ident.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r))
	return h.Sum64() >> 7
}
