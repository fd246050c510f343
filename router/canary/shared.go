package canary

import (
	"fmt"
	"math"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/guard"
)

const (
	// sharedWindow is the number of recent seconds whose samples are kept. A canary of a service with
	// 94 requests a second gets some 50 responses in this time.
	sharedWindow = 8
	// shortWindow is the number of recent seconds that are also judged alone, so that earlier good
	// responses don't hide that a version has turned bad.
	shortWindow = 3
	// dominantShare is the share of all bad responses from which an upstream is left out.
	dominantShare = 0.5
	// sharedReference bounds the weight of the old version's past outcomes: after the shift the old
	// version gets no more requests to compare with.
	sharedReference = 1000
)

// Sample aggregates recent responses of one upstream at one or more instances.
type Sample struct {
	Service  ident.ServiceID
	Upstream ident.UpstreamID
	// New is true for an upstream of the version that is being rolled out.
	New bool
	// Successes and Failures count responses by outcome.
	Successes, Failures int
	// Timed is the number of responses whose time is in LogSlowdown, the mean natural logarithm of
	// their times divided by the predicted ones.
	Timed       int
	LogSlowdown float64
}

// Judged states for what a new version is judged by the samples of all instances.
type Judged struct {
	// Order is the revision of the order.
	Order uint64
	// Times is true if times count. They do while the version is a canary, as later the old version has
	// none to compare with, and not for model engines: the times of their prompts differ by the content
	// of caches, so that ten slow ones are no evidence.
	Times bool
}

// outcomes counts responses.
type outcomes struct{ errors, times guard.Counts }

func (o outcomes) plus(x outcomes) outcomes {
	return outcomes{errors: o.errors.Plus(x.errors), times: o.times.Plus(x.times)}
}

// window holds outcomes by the second, for the last sharedWindow seconds.
type window struct {
	buckets [sharedWindow]outcomes
	// seconds are the times that the buckets stand for, in seconds.
	seconds [sharedWindow]int64
}

// add adds outcomes of the second s.
func (w *window) add(o outcomes, s int64) {
	i := s % sharedWindow
	if w.seconds[i] != s {
		w.seconds[i], w.buckets[i] = s, outcomes{}
	}
	w.buckets[i] = w.buckets[i].plus(o)
}

// sum returns the outcomes of the last n seconds, second now included.
func (w *window) sum(n, now int64) outcomes {
	var o outcomes
	for i, s := range w.seconds {
		if now-s < n {
			o = o.plus(w.buckets[i])
		}
	}
	return o
}

// sharedState is what all instances together observed of one service during a roll-out.
type sharedState struct {
	// startedAt is when the first sample came; the windows count seconds from then on, since the time
	// of day may jump.
	startedAt time.Time
	old       window
	news      map[ident.UpstreamID]*window
	// reference counts the old version's outcomes, the older ones with less weight.
	reference guard.Counts
	// median is that of the old version's times divided by the predicted ones.
	median guard.Quantile
}

func newSharedState() *sharedState {
	return &sharedState{news: map[ident.UpstreamID]*window{}, median: guard.NewQuantile(0.5)}
}

// ObserveSamples adds samples of any instance, this one included, and judges the new version by the
// recent ones of all: with many instances each sees few responses. judged holds the services whose new
// version is judged; samples of others are ignored.
func (w *Monitor) ObserveSamples(ss []Sample, judged map[ident.ServiceID]Judged, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	touched := map[ident.ServiceID]*serviceState{}
	for _, s := range ss {
		j, ok := judged[s.Service]
		if !ok {
			continue
		}
		x := w.stateOf(s.Service)
		x.reset(j.Order)
		x.shared.add(s, x.shared.second(now))
		touched[s.Service] = x
	}
	for s, x := range touched {
		if x.verdict == "" {
			x.verdict = x.shared.judge(judged[s].Times, x.shared.second(now))
		}
	}
}

// second returns the time in seconds since the first sample.
func (x *sharedState) second(now time.Time) int64 {
	if x.startedAt.IsZero() {
		x.startedAt = now
	}
	return int64(max(now.Sub(x.startedAt), 0) / time.Second)
}

// add adds a sample of the second now.
func (x *sharedState) add(s Sample, now int64) {
	o := outcomes{errors: guard.Counts{Bad: float64(s.Failures), All: float64(s.Successes + s.Failures)}}
	factor := math.Exp(s.LogSlowdown)
	if m := x.median.Value(); m > 0 {
		o.times.All = float64(s.Timed)
		if factor > slowFactor*m {
			o.times.Bad = o.times.All
		}
	}
	if s.New {
		u := x.news[s.Upstream]
		if u == nil {
			u = &window{}
			x.news[s.Upstream] = u
		}
		u.add(o, now)
		return
	}
	x.old.add(o, now)
	x.reference = x.reference.Plus(o.errors)
	if f := sharedReference / max(x.reference.All, 1); f < 1 {
		x.reference.Bad *= f
		x.reference.All *= f
	}
	for range s.Timed {
		x.median.Observe(factor)
	}
}

// judge returns why the new version is bad, or "".
func (x *sharedState) judge(byTimes bool, now int64) string {
	for u, w := range x.news {
		if w.sum(sharedWindow, now) == (outcomes{}) {
			delete(x.news, u)
		}
	}
	for _, n := range []int64{shortWindow, sharedWindow} {
		if v := x.judgeLast(n, byTimes, now); v != "" {
			return v
		}
	}
	return ""
}

// judgeLast judges the responses of the last seconds.
func (x *sharedState) judgeLast(seconds int64, byTimes bool, now int64) string {
	var errors, times upstreamTotal
	for _, w := range x.news {
		o := w.sum(seconds, now)
		errors.add(o.errors)
		times.add(o.times)
	}
	if e := errors.typical(); x.reference.All > 0 && e.Bad >= minSharedFailures && guard.Excess(guard.SignalError, e, x.reference) >= minEvidence {
		return fmt.Sprintf("errors at all instances: %.0f of %.0f against %.0f of %.0f", e.Bad, e.All, x.reference.Bad, x.reference.All)
	}
	old := x.old.sum(seconds, now).times
	if t := times.typical(); byTimes && old.All > 0 && guard.Excess(guard.SignalLatency, t, old) >= minEvidence {
		return fmt.Sprintf("slow at all instances: %.0f of %.0f against %.0f of %.0f", t.Bad, t.All, old.Bad, old.All)
	}
	return ""
}

// upstreamTotal sums up counts of several upstreams.
type upstreamTotal struct{ all, worst guard.Counts }

func (t *upstreamTotal) add(c guard.Counts) {
	t.all = t.all.Plus(c)
	if c.Bad > t.worst.Bad {
		t.worst = c
	}
}

// typical returns the sum, without an upstream that most bad responses are of if there are others: a
// version is not bad since one of its upstreams has crashed.
func (t *upstreamTotal) typical() guard.Counts {
	if t.worst.Bad <= dominantShare*t.all.Bad || t.worst.All == t.all.All {
		return t.all
	}
	return t.all.Minus(t.worst)
}
