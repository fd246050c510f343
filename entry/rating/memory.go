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

// AnswerDetails is what the rating service does not tell of an answer.
type AnswerDetails struct {
	// EscalatedFrom is the version whose weak answer this one replaced; zero for a first answer.
	EscalatedFrom ident.VersionRef
	// Logprob is the mean token log-probability.
	Logprob float64
}

// Tracker joins late ratings with what this entry knows of the rated answers.
// Ratings of other entries' answers are left to those entries.
type Tracker struct {
	client *Client
	oneOf  uint64

	mu      sync.Mutex
	known   map[ident.RequestID]AnswerDetails
	order   []ident.RequestID
	next    int
	foreign atomic.Uint64
}

// NewTracker returns a memory that reports one of so many answers; 0 reports none.
func NewTracker(c *Client, oneOf int) *Tracker {
	return &Tracker{client: c, oneOf: uint64(oneOf), known: map[ident.RequestID]AnswerDetails{}}
}

// Unmatched returns how many ratings were for answers that this entry doesn't remember.
func (m *Tracker) Unmatched() uint64 { return m.foreign.Load() }

// Track remembers an answer and reports it if it is in the sample.
func (m *Tracker) Track(a Answer, ms []*wire.Message, k AnswerDetails) {
	m.remember(a.Request, k)
	if m.oneOf == 0 || sample(a.Request)%m.oneOf != 0 {
		return
	}
	a.Messages = Messages(ms)
	m.client.Report(a)
}

// Take returns what is known of a remembered answer and forgets it.
func (m *Tracker) Take(r ident.RequestID) (AnswerDetails, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.known[r]
	if !ok {
		m.foreign.Add(1)
	}
	delete(m.known, r)
	return p, ok
}

func (m *Tracker) remember(r ident.RequestID, k AnswerDetails) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[r] = k
	if len(m.order) < maxAnswers {
		m.order = append(m.order, r)
		return
	}
	delete(m.known, m.order[m.next])
	m.order[m.next] = r
	m.next = (m.next + 1) % maxAnswers
}

func sample(r ident.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r))
	return h.Sum64() >> 7
}
