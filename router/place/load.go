package place

import "time"

// othersAt returns the backlog of other instances at an upstream, or none if it is too old.
func (b *Balancer) othersAt(l *upstreamLoad, now time.Time) Backlog {
	if now.Sub(b.remoteAt) > BacklogTTL {
		return Backlog{}
	}
	return l.others
}

// running returns the number of requests whose response has begun.
func (l *upstreamLoad) running(now time.Time) int {
	n := l.inFlight - l.pendingCount
	if now.Sub(l.reportedAt) < loadReportTTL {
		n = max(n, l.reported.Running)
	}
	return n
}

// waiting returns the number of requests that the upstream reported to wait beyond those that instances know of.
func (l *upstreamLoad) waiting(others Backlog, now time.Time) int {
	if now.Sub(l.reportedAt) >= loadReportTTL {
		return 0
	}
	return max(l.reported.Waiting-l.pendingCount-others.Attempts, 0)
}

// workAhead returns the nominal work, in ms, of the requests at an engine that have no response yet.
func (l *upstreamLoad) workAhead(others Backlog, now time.Time) float64 {
	return l.pending + others.Work + float64(l.waiting(others, now))*waitingWork
}
