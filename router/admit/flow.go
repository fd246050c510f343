package admit

import "time"

const (
	// slack is how much longer than without a queue requests may take until their answers begin.
	slack = 200 * time.Millisecond
	// minOpen is the number of requests without an answer that are taken in any case.
	minOpen = 16
	// lateLevel and lateFor are how late the process must be, and for how long, to count as past capacity without a
	// standing queue. One pause is over sooner.
	lateLevel = 40 * time.Millisecond
	lateFor   = 500 * time.Millisecond
	// flowSlots and flowSlot are the number and the length of the spans in which answers are counted.
	flowSlots = 10
	flowSlot  = 100 * time.Millisecond
	// minTimed is the number of answers from which on a span has a mean time, and meanSpans and meanSpan are the number
	// and the length of the spans of which the least mean is the usual time. It outlasts a short time past capacity.
	minTimed  = 16
	meanSpans = 16
	meanSpan  = time.Second
)

// Flow bounds the requests whose answers have yet to begin, past capacity: more than the process answers in the usual
// time and slack only wait in it for longer. Its zero value is ready for use.
type Flow struct {
	// counts are the answers that began in each span, the latest at the index latest modulo flowSlots.
	counts [flowSlots]int
	latest int64
	// means holds the times until answers began in each span, the latest at the index latestMean modulo meanSpans.
	means      [meanSpans]mean
	latestMean int64
	// pressed is true past capacity: while a queue stands, or once the process has been late since lateSince for long.
	pressed   bool
	lateSince time.Time
}

// mean is the sum of n times.
type mean struct {
	sum time.Duration
	n   int
}

// Update records whether a queue stands at now, and how late the process is.
func (f *Flow) Update(now time.Time, standing bool, lateness time.Duration) {
	switch {
	case lateness < lateLevel:
		f.lateSince = time.Time{}
	case f.lateSince.IsZero():
		f.lateSince = now
	}
	f.pressed = standing || (!f.lateSince.IsZero() && now.Sub(f.lateSince) >= lateFor)
}

// Answered records that an answer began at now, took after its request was taken.
func (f *Flow) Answered(now time.Time, took time.Duration) {
	f.advance(now)
	f.counts[f.latest%flowSlots]++
	s := now.UnixNano() / int64(meanSpan)
	for i := max(f.latestMean+1, s-meanSpans+1); i <= s; i++ {
		f.means[i%meanSpans] = mean{}
	}
	f.latestMean = max(f.latestMean, s)
	m := &f.means[f.latestMean%meanSpans]
	m.sum += took
	m.n++
}

// usual returns how long requests usually take until their answers begin, or 0 if that isn't known.
func (f *Flow) usual() time.Duration {
	var least time.Duration
	for _, m := range f.means {
		if m.n < minTimed {
			continue
		}
		if d := m.sum / time.Duration(m.n); least == 0 || d < least {
			least = d
		}
	}
	return least
}

// Full reports whether open requests without an answer leave no room for a further one.
func (f *Flow) Full(now time.Time, open int) bool {
	if !f.pressed || open < minOpen {
		return false
	}
	usual := f.usual()
	if usual == 0 {
		return false
	}
	f.advance(now)
	n := 0
	for _, c := range f.counts {
		n += c
	}
	perSecond := float64(n) / (flowSlots * flowSlot).Seconds()
	return float64(open) >= perSecond*(usual+slack).Seconds()
}

// advance clears the spans that have begun since the latest one.
func (f *Flow) advance(now time.Time) {
	s := now.UnixNano() / int64(flowSlot)
	for i := max(f.latest+1, s-flowSlots+1); i <= s; i++ {
		f.counts[i%flowSlots] = 0
	}
	f.latest = max(f.latest, s)
}
