// Package drain decides which requests a process may still take while it stops.
package drain

import "time"

const (
	// signalWindow is how long after SIGTERM a request may have been sent that the end of the stop may cut, by the
	// users' rule LOST.
	signalWindow = 3 * time.Second
	// noticeMargin is how much later than it was sent a process that runs may notice SIGTERM. Two health checks fail
	// within the rest of signalWindow.
	noticeMargin = 500 * time.Millisecond
	// admitAll is how long after the start of a stop all requests are taken: load balancers send new connections until
	// two health checks, a second apart, have failed. It is at most admitAllFraction of the time until the last
	// requests are ended.
	admitAll         = signalWindow - noticeMargin
	admitAllFraction = 0.4
	// answerMargin is the time between the deadline of a request and the end of the last requests in
	// which the answer that its time is over still reaches the client.
	answerMargin = 100 * time.Millisecond
)

// Admits reports whether a request may still be taken: shortly after the start of a stop all are, later
// ones if they end before the time at which the last requests are ended. past is the time since the start of
// the stop, limit that from its start until the last requests are ended, and left the time until the
// request's deadline, or until it is known to have ended.
func Admits(past, limit, left time.Duration) bool {
	return past <= min(admitAll, time.Duration(admitAllFraction*float64(limit))) || past+left+answerMargin <= limit
}
