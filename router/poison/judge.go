package poison

import (
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
)

const (
	// correctionTime is how long after the latest crash under a quarantine a late report can still show that it is
	// wrong.
	correctionTime = 10 * time.Second
	// judgeStep is the resolution of the times at which the evidence is judged: events within one step are judged
	// together, so that a crash that many routers report costs one judgement.
	judgeStep = decideInterval
)

// judgement holds the quarantines that follow from all events up to a time.
type judgement struct {
	at    time.Time
	found []verdict
}

// timeline derives quarantines from the evidence in the order of the events, whatever the order in which they were
// reported: a report of an earlier event repeats the judgements from that event on.
type timeline struct {
	// epoch is a multiple of judgeStep on this machine's clock, from which the times of judgements are counted.
	epoch time.Time
	// judgements are in ascending order, at most correctionTime old.
	judgements []judgement
}

func newTimeline() timeline {
	now := time.Now()
	return timeline{epoch: now.Add(-time.Duration(now.UnixNano()) % judgeStep)}
}

// step returns the first time of a judgement that isn't before t.
func (l *timeline) step(t time.Time) time.Time {
	d := t.Sub(l.epoch)
	down := d - d%judgeStep
	if down < d {
		down += judgeStep
	}
	return l.epoch.Add(down)
}

// forget drops the judgements from a time on.
func (l *timeline) forget(from time.Time) {
	l.judgements = slices.DeleteFunc(l.judgements, func(j judgement) bool { return !j.at.Before(from) })
}

// expire drops all judgements before a time but the last one.
func (l *timeline) expire(before time.Time) {
	for len(l.judgements) > 1 && l.judgements[1].at.Before(before) {
		l.judgements = l.judgements[1:]
	}
}

// judge judges the evidence up to now and returns the quarantines that follow from it beside given ones.
func (l *timeline) judge(e *evidence, given []Quarantine, now time.Time) []verdict {
	from := now.Add(-correctionTime)
	l.expire(from)
	var found []verdict
	if n := len(l.judgements); n > 0 {
		from, found = l.judgements[n-1].at, l.judgements[n-1].found
	}
	for _, t := range l.steps(e, from, now) {
		found = e.judgeAt(given, found, t)
		l.judgements = append(l.judgements, judgement{at: t, found: found})
	}
	return found
}

// steps returns the times after from and up to now at which the evidence leads to other judgements.
func (l *timeline) steps(e *evidence, from, now time.Time) []time.Time {
	due := map[time.Duration]struct{}{}
	add := func(t time.Time) {
		if t = l.step(t); t.After(from) && !t.After(now) {
			due[t.Sub(l.epoch)] = struct{}{}
		}
	}
	for _, at := range e.crashedAt {
		add(at)
		add(at.Add(e.judgeDelay()))
	}
	var ts []time.Time
	for d := range due {
		ts = append(ts, l.epoch.Add(d))
	}
	slices.SortFunc(ts, time.Time.Compare)
	return ts
}

// judgeAt returns the recent quarantines found before with those that follow from all events up to t.
func (e *evidence) judgeAt(given []Quarantine, found []verdict, t time.Time) []verdict {
	found = slices.DeleteFunc(slices.Clone(found), func(v verdict) bool { return t.Sub(v.At) > correctionTime })
	for {
		var qs []Quarantine
		for _, q := range given {
			if !q.At.After(t) {
				qs = append(qs, q)
			}
		}
		for _, v := range found {
			qs = append(qs, v.Quarantine)
		}
		v, ok := e.decide(qs, t)
		if !ok {
			return found
		}
		i := slices.IndexFunc(found, func(o verdict) bool { return slices.Equal(o.Parts, v.Parts) })
		if i < 0 {
			found = append(found, v)
		} else {
			found[i] = v
		}
	}
}

// first returns the time of the first crash under a part.
func (e *evidence) first(x *suspect) time.Time {
	var first time.Time
	for k := range x.suspicions {
		if at := e.crashedAt[k.upstream]; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// decisive reports whether there are as many crashes under a quarantine's parts, up to its time, as a judgement on
// them needs. If not, another router or an earlier time knows more.
func (e *evidence) decisive(q Quarantine) bool {
	return slices.ContainsFunc(q.Parts, func(p crash.Part) bool {
		x := e.suspects[p]
		if x == nil {
			return false
		}
		all, begun := map[crashKey]struct{}{}, map[crashKey]struct{}{}
		for k, s := range x.suspicions {
			if e.crashedAt[k.upstream].Sub(q.At) > timeTolerance {
				continue
			}
			all[k] = struct{}{}
			if s.Began {
				begun[k] = struct{}{}
			}
		}
		c := candidate{part: p, crashes: countCrashes(p, all), begun: countCrashes(p, begun), alone: countCrashes(p, all), repeated: crashedByRepeats(all)}
		return c.guilty(false)
	})
}

// judge brings the quarantines in line with the evidence: it records those that follow from it and drops recent ones
// that don't, such as those that were found before late reports had arrived. The caller holds the lock.
func (r *Registry) judge(now time.Time) {
	var given, recent []Quarantine
	for _, q := range r.quarantines {
		if now.Sub(q.At) <= correctionTime && r.evidence.decisive(q) {
			recent = append(recent, q)
		} else {
			given = append(given, q)
		}
	}
	r.timeline.forget(r.evidence.changedFrom)
	r.evidence.changedFrom = now
	found := r.timeline.judge(&r.evidence, given, now)
	for _, q := range recent {
		// The evidence of the router that reported it may be on its way.
		if now.Sub(q.reportedAt) < r.evidence.judgeDelay() {
			continue
		}
		if !slices.ContainsFunc(found, func(v verdict) bool { return slices.Equal(v.Parts, q.Parts) }) {
			r.refute(q)
		}
	}
	for _, v := range found {
		if now.Sub(v.At) <= correctionTime && now.Sub(r.evidence.since(v.part)) >= r.evidence.judgeDelay() {
			r.record(v, now)
		}
	}
}

// record records a quarantine that follows from the evidence. The caller holds the lock.
func (r *Registry) record(v verdict, now time.Time) {
	delete(r.refuted, v.Key())
	i := slices.IndexFunc(r.quarantines, func(q Quarantine) bool { return slices.Equal(q.Parts, v.Parts) })
	if i >= 0 {
		// Another router may know of later crashes.
		if q := r.quarantines[i]; q.reportedAt.IsZero() || q.At.Sub(v.At) <= timeTolerance {
			r.quarantines[i] = v.Quarantine
		}
		return
	}
	r.log.Warn().Uints64("parts", hashes(v.Parts)).Int("crashes", v.crashes).Int("begun", v.begun).Bool("known", v.known).
		Msg("prompt parts or requests were found to crash upstreams")
	r.add(v.Quarantine, now)
}

// refute drops a quarantine that doesn't follow from the evidence, and ignores it in reports of routers that don't have
// all of the evidence yet. The caller holds the lock.
func (r *Registry) refute(q Quarantine) {
	r.log.Warn().Uints64("parts", hashes(q.Parts)).Msg("late reports show no sign that prompt parts or requests crash upstreams")
	r.quarantines = slices.DeleteFunc(r.quarantines, func(x Quarantine) bool { return slices.Equal(x.Parts, q.Parts) })
	if len(r.refuted) < maxQuarantines {
		r.refuted[q.Key()] = q.At
	}
}

// isRefuted reports whether a quarantine that another router reports was refuted here.
func (r *Registry) isRefuted(q Quarantine) bool {
	at, ok := r.refuted[q.Key()]
	return ok && q.At.Sub(at) <= timeTolerance
}
