// Package admit decides which requests a router takes that has less processor time than its requests need: those that it
// can answer in time. Its decisions depend only on their arguments and on what was recorded before.
package admit

import "time"

const (
	// target is the wait before its handling from which on a request counts as queued. The work of a router with a tenth
	// of a processor, or beside garbage collection, often waits for nearly as long without any queue.
	target = 75 * time.Millisecond
	// interval is how long all requests must have been queued for the queue to count as standing, and hold how long it
	// then counts so: as long as long waits are refused, others are short, and can't tell whether it would come back.
	interval = 100 * time.Millisecond
	hold     = time.Second
	// minQueued is the least number of queued requests that are a standing queue.
	minQueued = 8
	// preferredTarget is how long a preferred request may wait in a standing queue.
	preferredTarget = 4 * target
)

// Queue detects a standing queue by the waits of the requests that have left it. Its zero value is ready for use.
type Queue struct {
	// queued is the number of requests that waited longer than target since the last that didn't, the first of them at
	// queuedSince, the latest at latest.
	queued              int
	queuedSince, latest time.Time
	// until is when the queue no longer counts as standing.
	until time.Time
}

// Add records that a request left the queue at now after a wait.
func (q *Queue) Add(now time.Time, wait time.Duration) {
	if wait <= target {
		q.queued = 0
		return
	}
	if q.queued == 0 || now.Sub(q.latest) > hold {
		q.queued, q.queuedSince = 0, now
	}
	q.queued++
	q.latest = now
	if q.queued >= minQueued && now.Sub(q.queuedSince) >= interval {
		q.until = now.Add(hold)
	}
}

// Standing reports whether a queue stands.
func (q *Queue) Standing(now time.Time) bool { return now.Before(q.until) }

// Takes reports whether a request that has waited for a time may go on. In a standing queue those that have waited long
// are refused, so that the others are answered in time. preferred are requests whose work is costly to repeat elsewhere.
func Takes(standing bool, waited time.Duration, preferred bool) bool {
	limit := target
	if preferred {
		limit = preferredTarget
	}
	return !standing || waited <= limit
}

// InTime reports whether a request can still be answered in time. left is its time left, fastest the shortest time that
// requests of its route have taken lately, or 0. Its answer is expected to wait for the process for as long as the
// request did, if the process is still that late. A process on time sends all that have time left.
func InTime(left, fastest, waited, lateness time.Duration) bool {
	back := min(waited, lateness)
	if back <= target {
		return left > 0
	}
	return fastest+back <= left
}
