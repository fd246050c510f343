package place

import "time"

// toleratedShare is the part of the longest pause that streams bear which one more prompt may take without a cost: an
// engine processes a prompt in chunks between the tokens of the streams beside it, and several prompts and its neighbors'
// work add up to a pause.
const toleratedShare = 1.0 / 8

// streamDelay returns the cost, in ms, of the delay that the processing of a prompt brings to the streams at an engine, if the
// query says how long they may pause: each of them waits as long as the work takes. work is in ms.
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
