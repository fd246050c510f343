// Package gossip exchanges observations of upstreams between routers. With many routers
// each one uses an upstream rarely, so that its own information about the upstream's load
// and speed is old when it is needed.
package gossip

import (
	"slices"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pacer"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
)

const (
	// sampleTTL is how long a sample is passed on. Reports of load are used for 2 s.
	sampleTTL = 2 * time.Second
	// maxEntries bounds the samples that are kept; the oldest are dropped first.
	maxEntries = 8192
	// maxSamples bounds the samples in one message; the newest are kept. With 256 samples
	// of 60 bytes, 70 messages per second fill a tenth of a 100 Mbit/s link.
	maxSamples = 256
	// listenerTTL is how long a router counts as a listener after its last request.
	listenerTTL = 3 * time.Second
	// exchangesPerSecond bounds the messages that all listeners together send to one
	// router. The smallest routers of the grown sites (see scripts/sites) have a tenth of
	// a core.
	exchangesPerSecond = 70
	// minPause is the time between two exchanges of a router whose peer has few
	// listeners.
	minPause = 150 * time.Millisecond
)

// Cursor is a position in the sample log of one router.
type Cursor uint64

// Message is a request of one router to another with the sender's samples.
type Message struct {
	// Sender is the name of the router that sends the message.
	Sender  string
	Samples []place.Sample
	// Backlog is the sum of the pending work that the sender and the routers behind it
	// have sent, Routers the number of these routers.
	Backlog []place.Backlog
	Routers int
	// Leaving lists the upstreams that announced a short time ago that they leave.
	Leaving []fleet.Incarnation
	// Limits are the newest statements of upstreams about the requests that they take.
	Limits []notice.StatedLimit
	// Crashes is what the sender knows of prompts that crash upstreams.
	Crashes poison.Report
	// Pinned are sessions that stay with the old version of a roll-out.
	Pinned []pins.Pinned
	// After is the position in the receiver's log up to which the sender has the samples.
	After Cursor
}

// Reply is the response to a message, with the samples of all routers but the message's sender.
type Reply struct {
	Samples []place.Sample
	// Backlog is the sum of the pending work that all other routers have sent, Routers
	// the number of these routers.
	Backlog []place.Backlog
	Routers int
	// Leaving lists the upstreams that announced a short time ago that they leave.
	Leaving []fleet.Incarnation
	// Limits are the newest statements of upstreams about the requests that they take.
	Limits []notice.StatedLimit
	// Crashes is what the router that replies knows of prompts that crash upstreams.
	Crashes poison.Report
	// Pinned are sessions that stay with the old version of a roll-out.
	Pinned []pins.Pinned
	// Share is the place of the message's sender among all routers; nil if the router that
	// replies doesn't number others.
	Share *pacer.Share
	// Next is the value of After in the next message.
	Next Cursor
	// Pause is how long the router that gets the reply should wait until its next message.
	Pause time.Duration
}

// sampleKey identifies the samples that are merged into one.
type sampleKey struct {
	upstream ident.UpstreamID
	domain   ident.DomainID
}

type entry struct {
	sender string
	sample place.Sample
}

// SampleLog keeps the newest samples and the routers that sent them. It is safe for
// concurrent use.
type SampleLog struct {
	mu      sync.Mutex
	entries []entry
	// first is the position of the first entry. Positions start at 1, so that 0 is before
	// all.
	first     Cursor
	listeners map[string]time.Time
}

// NewSampleLog returns an empty log.
func NewSampleLog() *SampleLog {
	return &SampleLog{first: 1, listeners: map[string]time.Time{}}
}

// Add appends samples that a router sent. It drops the oldest ones that exceed maxEntries
// or have expired.
func (l *SampleLog) Add(sender string, ss []place.Sample, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range ss {
		l.entries = append(l.entries, entry{sender: sender, sample: s})
	}
	n := max(len(l.entries)-maxEntries, 0)
	for n < len(l.entries) && now.Sub(l.entries[n].sample.At) > sampleTTL {
		n++
	}
	// Copying the remaining entries to the front would move a megabyte for each message.
	clear(l.entries[:n])
	l.entries = l.entries[n:]
	l.first += Cursor(n)
}

// After returns the samples after a position that other routers than the given one sent,
// merged to one for each upstream and failure domain, and the position to continue from.
// A position beyond the end of the log is from before a restart of this router and counts
// as 0.
func (l *SampleLog) After(c Cursor, router string, now time.Time) ([]place.Sample, Cursor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.first + Cursor(len(l.entries))
	if c >= end {
		c = 0
	}
	sums := map[sampleKey]place.Sample{}
	for _, e := range slices.Backward(l.entries[max(c+1, l.first)-l.first:]) {
		if e.sender == router || now.Sub(e.sample.At) > sampleTTL {
			continue
		}
		k := sampleKey{upstream: e.sample.Upstream, domain: e.sample.Domain}
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

// Pause records that a router sent a message, and returns how long it should wait until its
// next one: longer with more listeners, so that the rate of messages is bounded.
func (l *SampleLog) Pause(router string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners[router] = now
	for r, t := range l.listeners {
		if now.Sub(t) > listenerTTL {
			delete(l.listeners, r)
		}
	}
	return max(minPause, time.Duration(len(l.listeners))*time.Second/exchangesPerSecond)
}
