package place

import "time"

const (
	// toleratedShare is the part of the longest pause that streams bear which one more prompt may take
	// without a cost: an engine processes a prompt in chunks between the tokens of the streams beside it, and several
	// prompts and its neighbors' work add up to a pause.
	toleratedShare = 1.0 / 8
)

// streamDelay returns, if the query says how long streams may pause, the cost, in ms, of the delay that the processing of a prompt brings to the streams at an engine:
// each of them waits as long as the work takes. work is in ms.
func (l *upstreamLoad) streamDelay(q *Query, work float64, now time.Time) float64 {
	if !q.Engine || q.StreamPause <= 0 {
		return 0
	}
	return float64(l.running(now)) * max(work-q.toleratedWork(), 0)
}

// toleratedWork is the work, in ms, of a prompt that streams beside it don't notice.
func (q *Query) toleratedWork() float64 {
	return toleratedShare * float64(q.StreamPause) / float64(time.Millisecond)
}

// running returns the number of requests whose response has begun.
func (l *upstreamLoad) running(now time.Time) int {
	n := l.inFlight - l.pendingCount
	if now.Sub(l.reportedAt) < loadReportTTL {
		n = max(n, l.reported.Running)
	}
	return n
}
