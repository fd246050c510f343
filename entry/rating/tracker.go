package rating

import (
	"hash/fnv"
	"sync"
	"sync/atomic"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// maxAnswers bounds the answers that wait for a rating. Beyond it the oldest are
// dropped.
const maxAnswers = 20_000

// AnswerDetails are the properties of an answer that the rating service doesn't return
// with a rating.
type AnswerDetails struct {
	// EscalatedFrom is the version whose weak answer this one replaced; zero for a
	// first answer.
	EscalatedFrom ident.VersionRef
	// Logprob is the answer's mean token log-probability.
	Logprob float64
}

// Tracker keeps the details of this entry's answers until their ratings arrive, and
// reports a sample of the answers to the rating service. Ratings of other entries'
// answers are left to those entries. It is safe for concurrent use.
type Tracker struct {
	client      *Client
	sampleEvery uint64

	mu      sync.Mutex
	pending map[ident.RequestID]AnswerDetails
	// order is a ring of the tracked requests; next is the index of the oldest one when
	// it is full.
	order     []ident.RequestID
	next      int
	unmatched atomic.Uint64
}

// NewTracker returns a tracker that reports one of sampleEvery answers; 0 reports
// none.
func NewTracker(c *Client, sampleEvery int) *Tracker {
	return &Tracker{client: c, sampleEvery: uint64(sampleEvery), pending: map[ident.RequestID]AnswerDetails{}}
}

// Unmatched returns the number of ratings of answers that this entry doesn't track.
func (m *Tracker) Unmatched() uint64 { return m.unmatched.Load() }

// Track keeps the details of an answer and reports the answer if it is in the sample.
func (m *Tracker) Track(a Answer, ms []*wire.Message, k AnswerDetails) {
	m.add(a.Request, k)
	if m.sampleEvery == 0 || sampleHash(a.Request)%m.sampleEvery != 0 {
		return
	}
	a.Messages = Messages(ms)
	m.client.Report(a)
}

// Take returns the details of a request's answer and stops tracking it, so that a
// second rating of it is not counted. It returns false for an answer that is not
// tracked.
func (m *Tracker) Take(r ident.RequestID) (AnswerDetails, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.pending[r]
	if !ok {
		m.unmatched.Add(1)
	}
	delete(m.pending, r)
	return p, ok
}

func (m *Tracker) add(r ident.RequestID, k AnswerDetails) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[r] = k
	if len(m.order) < maxAnswers {
		m.order = append(m.order, r)
		return
	}
	delete(m.pending, m.order[m.next])
	m.order[m.next] = r
	m.next = (m.next + 1) % maxAnswers
}

// sampleHash hashes a request id for sampling. It drops the lowest bits, which in FNV
// depend only on the lowest bits of the characters.
func sampleHash(r ident.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r))
	return h.Sum64() >> 7
}
