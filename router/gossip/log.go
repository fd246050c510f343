// Package gossip passes what routers see of upstreams on to the other routers. With
// many routers each one meets an upstream seldom, and its own knowledge of the
// upstream's load and speed is old when it is needed.
package gossip

import (
	"slices"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
)

const (
	// sampleLife is how long a sample is passed on; reports of load count for 2 s.
	sampleLife = 2 * time.Second
	// maxEntries bounds the samples kept; the oldest yield.
	maxEntries = 8192
	// maxSamples bounds the samples in one message: with 256 of 60 bytes each, 70
	// messages a second fill a tenth of a link of 100 Mbit/s. The newest stay.
	maxSamples = 256
	// listenerLife is how long a router that has not asked counts as a listener.
	listenerLife = 3 * time.Second
	// tradesPerSecond bounds the messages that all listeners send to one router; the
	// smallest routers of the grown sites have a tenth of a core.
	tradesPerSecond = 70
	// shortestPause is the time between two messages of a router with few neighbours.
	shortestPause = 150 * time.Millisecond
)

// Cursor is a position in the samples of one router.
type Cursor uint64

// Message carries samples from one router to another.
type Message struct {
	// Sender names the router that sends it.
	Sender  string
	Samples []place.Sample
	// Backlog is the sum of what the sender and the routers behind it have sent, and
	// Routers their number.
	Backlog []place.Backlog
	Routers int
	// Leaving are upstreams that said a short time ago that they leave.
	Leaving []fleet.Incarnation
	// After is the position up to which the sender knows the receiver's samples.
	After Cursor
}

// Reply carries what a router knows from others than the one that asks.
type Reply struct {
	Samples []place.Sample
	// Backlog is the sum of what all others have sent, and Routers their number.
	Backlog []place.Backlog
	Routers int
	// Leaving are upstreams that said a short time ago that they leave.
	Leaving []fleet.Incarnation
	// Next is the position to ask from next time.
	Next Cursor
	// Pause is how long the receiver should wait before it asks again.
	Pause time.Duration
}

// source is what samples are summed up by.
type source struct {
	upstream ident.UpstreamID
	domain   ident.DomainID
}

type entry struct {
	from   string
	sample place.Sample
}

// SampleLog keeps the newest samples with the router that they came from. It is safe for
// concurrent use.
type SampleLog struct {
	mu      sync.Mutex
	entries []entry
	// first is the position of the first entry; positions start at 1.
	first     Cursor
	listeners map[string]time.Time
}

// NewSampleLog returns an empty log.
func NewSampleLog() *SampleLog {
	return &SampleLog{first: 1, listeners: map[string]time.Time{}}
}

// Add adds samples that came from a router.
func (l *SampleLog) Add(from string, ss []place.Sample, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range ss {
		l.entries = append(l.entries, entry{from: from, sample: s})
	}
	n := max(len(l.entries)-maxEntries, 0)
	for n < len(l.entries) && now.Sub(l.entries[n].sample.At) > sampleLife {
		n++
	}
	// Moving the entries that stay would cost a megabyte for each message.
	clear(l.entries[:n])
	l.entries = l.entries[n:]
	l.first += Cursor(n)
}

// After returns the sums of all samples after a position that did not come from the
// router that asks, one for each upstream and failure domain, and the position to go
// on from. A position that the log has not reached yet belongs to an earlier start
// and counts as 0.
func (l *SampleLog) After(c Cursor, router string, now time.Time) ([]place.Sample, Cursor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.first + Cursor(len(l.entries))
	if c >= end {
		c = 0
	}
	sums := map[source]place.Sample{}
	for _, e := range slices.Backward(l.entries[max(c+1, l.first)-l.first:]) {
		if e.from == router || now.Sub(e.sample.At) > sampleLife {
			continue
		}
		k := source{upstream: e.sample.Upstream, domain: e.sample.Domain}
		s, ok := sums[k]
		switch {
		case ok:
			sums[k] = e.sample.Merge(s)
		case len(sums) < maxSamples:
			sums[k] = e.sample
		}
	}
	var out []place.Sample
	for _, s := range sums {
		out = append(out, s)
	}
	return out, end - 1
}

// Pause records that a router asked, and returns how long it should wait before
// it asks again: longer with more listeners, so that their messages stay bounded.
func (l *SampleLog) Pause(router string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners[router] = now
	for r, t := range l.listeners {
		if now.Sub(t) > listenerLife {
			delete(l.listeners, r)
		}
	}
	return max(shortestPause, time.Duration(len(l.listeners))*time.Second/tradesPerSecond)
}
