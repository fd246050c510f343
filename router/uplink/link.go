// Package uplink measures how long what this process sends waits for its network link, and refuses requests that could
// not be answered in time. A process whose link is full can't tell that from its writes: the kernel takes them.
package uplink

import (
	"time"
)

const (
	// interval is the time between two samples.
	interval = 50 * time.Millisecond
	// window is the time of which the rate of the link and the fate of what was sent are known.
	window = time.Second
	// heldTime is how long bytes stay unacknowledged, beyond two round trips of an idle path, before they count as held
	// back. The age of bytes is known to one interval.
	heldTime = interval
	// stallTime is how long a peer may acknowledge nothing before its connection counts as not being read.
	stallTime = time.Second
	// minHeld is the least number of connections that a full link holds back.
	minHeld = 3
	// maxWeight bounds what one connection counts, in bytes. A few peers that read long answers slowly are no full link.
	maxWeight = 16 << 10
	// minRateFraction is the fraction of the stated rate of the link, or of its best one of bestTime, below which it
	// isn't full: the peers are slow.
	minRateFraction = 0.1
	bestTime        = time.Minute
)

// reading is what the kernel says of a connection.
type reading struct {
	// sent counts all bytes that were written, acked those of them that the peer has acknowledged.
	sent, acked int64
	// queued is the number of bytes that the peer has not acknowledged.
	queued int64
	// rtt is the round trip of the path without a queue.
	rtt time.Duration
}

// mark states that the bytes up to sent had been written at a time.
type mark struct {
	sent int64
	at   time.Duration
}

// flow is what is known of the bytes sent on a connection.
type flow struct {
	reading
	// marks belong to bytes that are not acknowledged, the oldest first.
	marks []mark
	// moved is when the peer last acknowledged bytes, or when the oldest ones were written.
	moved time.Duration
	// start is the number of bytes that were acknowledged when the connection last had nothing to send.
	start int64
	// late is when the connection was last counted as held back; 0 if it wasn't since it last had nothing to send.
	late time.Duration
}

// step is what a sample shows of one connection, or of all together.
type step struct {
	// acked is the number of bytes that were acknowledged since the sample before.
	acked int64
	// prompt and late count bytes, at most maxWeight for each connection, that were acknowledged at once or held back.
	prompt, late int64
	// held is the number of connections that were counted as held back; each counts once in a window.
	held int
}

// observe records a reading.
func (f *flow) observe(now time.Duration, r reading) step {
	s := step{acked: max(r.acked-f.acked, 0)}
	written := r.sent - f.sent
	if written > 0 || (r.queued > 0 && len(f.marks) == 0) {
		f.marks = append(f.marks, mark{sent: r.sent, at: now})
	}
	if s.acked > 0 || f.queued == 0 {
		f.moved = now
	}
	f.reading = r
	for len(f.marks) > 0 && (r.queued == 0 || f.marks[0].sent <= r.acked) {
		f.marks = f.marks[1:]
	}
	switch {
	case r.queued == 0:
		if f.late == 0 {
			s.prompt = min(written, maxWeight)
		}
		f.late, f.start = 0, r.sent
	case f.backlog(now) > 0 && (f.late == 0 || now-f.late >= window):
		f.late = now
		s.late, s.held = min(f.backlog(now), maxWeight), 1
	}
	return s
}

// isHeld reports whether bytes have been unacknowledged for longer than the path explains.
func (f *flow) isHeld(now time.Duration) bool {
	return len(f.marks) > 0 && now-f.marks[0].at >= heldTime+2*f.rtt
}

// backlog returns the bytes that were written since the connection last had nothing to send, or 0 if the path or the peer
// explains that they wait. Buffers on the way hold a part of those that are acknowledged.
func (f *flow) backlog(now time.Duration) int64 {
	if !f.isHeld(now) || now-f.moved > stallTime {
		return 0
	}
	return max(f.sent-f.start, f.queued)
}

// sample is a step of all connections at a time.
type sample struct {
	step
	at, took time.Duration
	// busy is true if the link held back several connections all the while.
	busy bool
}

// link is what is known of the link.
type link struct {
	// stated is the rate of the link in the settings, in bytes a second; 0 means unknown.
	stated  float64
	samples []sample
	// best is the best rate of a window lately, and bestAt when that was.
	best   float64
	bestAt time.Duration
	// held is the number of connections held back at the latest sample.
	held int
}

// State is how the link stands. The zero value is that of a free one.
type State struct {
	// rate is in bytes a second; 0 means that the link is not full.
	rate float64
	// queues are the sizes of the messages that wait, by connection, in bytes.
	queues []int64
}

// observe records a sample of all connections and returns how the link stands.
func (l *link) observe(now time.Duration, s step, fs []*flow) State {
	var queues []int64
	for _, f := range fs {
		if q := f.backlog(now); q > 0 {
			queues = append(queues, q)
		}
	}
	x := sample{step: s, at: now, busy: len(queues) >= minHeld && l.held >= minHeld}
	if n := len(l.samples); n > 0 {
		x.took = now - l.samples[n-1].at
	}
	l.held = len(queues)
	l.samples = append(l.samples, x)
	for now-l.samples[0].at > window {
		l.samples = l.samples[1:]
	}
	sum, rate := l.sum(now)
	if sum.held < minHeld || sum.late < sum.prompt || rate < minRateFraction*max(l.stated, l.best) {
		return State{}
	}
	return State{rate: rate, queues: queues}
}

// sum returns the sum of the samples of the window, and the rate of the link while it held back connections, or 0.
func (l *link) sum(now time.Duration) (step, float64) {
	var sum step
	var took, busy time.Duration
	var acked int64
	for _, x := range l.samples {
		sum.prompt += x.prompt
		sum.late += x.late
		sum.held += x.held
		sum.acked += x.acked
		took += x.took
		if x.busy {
			acked += x.acked
			busy += x.took
		}
	}
	if took >= window/2 {
		if r := float64(sum.acked) / took.Seconds(); r >= l.best || now-l.bestAt > bestTime {
			l.best, l.bestAt = r, now
		}
	}
	if busy == 0 {
		return sum, 0
	}
	return sum, float64(acked) / busy.Seconds()
}

// Full reports whether the link is full.
func (s State) Full() bool { return s.rate > 0 }

// Backlog returns the size of the messages that wait, in bytes.
func (s State) Backlog() int64 {
	var n int64
	for _, q := range s.queues {
		n += q
	}
	return n
}

// Delay returns how long a message of the size maxWeight that is written now waits for others.
func (s State) Delay() time.Duration {
	if !s.Full() {
		return 0
	}
	return s.duration(s.ahead(maxWeight))
}

// ahead returns the bytes that are sent before the last one of a message of n bytes. Connections share a link evenly, so
// that one with a longer queue doesn't hold the message up for longer. What has been sent of the others counts as well:
// while the link is full, new messages take the place of those that end.
func (s State) ahead(n int64) int64 {
	var sum int64
	for _, q := range s.queues {
		sum += min(q, n)
	}
	return sum
}

// duration returns how long the link takes for some bytes.
func (s State) duration(n int64) time.Duration {
	return time.Duration(float64(n) / s.rate * float64(time.Second))
}
