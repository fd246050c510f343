package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

const (
	// loggedCrashes is the least number of crashes under a part from which on its evidence is logged.
	loggedCrashes = 2
	// maxLoggedParts bounds the suspected parts whose evidence is logged after one judgement.
	maxLoggedParts = 8
)

// progress is the evidence against a part that isn't quarantined.
type progress struct {
	// crashes is the number of upstreams that crashed with the part in progress and were not survived since, requests
	// that of the different requests with it.
	crashes, requests int
	// explained is the number of these crashes that a quarantine without the part explains.
	explained int
	// lacks is why the part isn't quarantined.
	lacks lack
}

// lack is why a suspected part isn't quarantined.
type lack string

const (
	lacksTime    lack = "time for reports of other routers"
	lacksCrashes lack = "crashes that no quarantine explains"
	lacksShare   lack = "share of all crashes"
	lacksRival   lack = "crashes that no other part explains"
	lacksNothing lack = ""
)

// logProgress logs the evidence against suspected parts that has changed since it was logged. The caller holds the lock.
func (r *Registry) logProgress(now time.Time) {
	active := r.evidence.activeOf(r.quarantines, now)
	ps := r.evidence.suspected(active, now)
	if len(ps) == 0 {
		r.logged = nil
		return
	}
	next := map[crash.Part]progress{}
	w := r.evidence.weigh(active, now)
	for _, p := range ps {
		x := r.evidence.progressOf(p, now)
		x.lacks, x.explained = lacksCrashes, x.crashes
		if i := slices.IndexFunc(w.candidates, func(c candidate) bool { return c.part == p }); i >= 0 {
			c := w.candidates[i]
			x.lacks, x.explained = w.lacks(c, remembered(r.quarantines, p)), x.crashes-len(c.upstreams)
		}
		next[p] = x
		if r.logged[p] != x {
			r.log.Info().Uint64("part", uint64(p)).Int("crashes", x.crashes).Int("requests", x.requests).Int("explained", x.explained).
				Str("lacks", string(x.lacks)).Msg("a prompt part is suspected to crash upstreams")
		}
	}
	r.logged = next
}

// suspected returns the parts whose evidence is logged, those with the most crashes first.
func (e *evidence) suspected(active []Quarantine, now time.Time) []crash.Part {
	crashes := map[crash.Part]int{}
	for p := range e.suspects {
		if p.IsContent() || e.known(p, now) || slices.ContainsFunc(active, func(q Quarantine) bool { return slices.Contains(q.Parts, p) }) {
			continue
		}
		if n := e.progressOf(p, now).crashes; n >= loggedCrashes {
			crashes[p] = n
		}
	}
	ps := slices.SortedFunc(maps.Keys(crashes), func(a, b crash.Part) int {
		return cmp.Or(cmp.Compare(crashes[b], crashes[a]), cmp.Compare(a, b))
	})
	return ps[:min(len(ps), maxLoggedParts)]
}

// progressOf counts the crashes under a part since it was survived last, whatever explains them.
func (e *evidence) progressOf(p crash.Part, now time.Time) progress {
	us, rs := map[fleet.Incarnation]struct{}{}, map[crash.RequestHash]struct{}{}
	for k := range e.suspects[p].suspicions {
		if at := e.crashedAt[k.upstream]; now.Sub(at) <= evidenceTTL && at.After(e.survived[p]) {
			us[k.upstream], rs[k.request] = struct{}{}, struct{}{}
		}
	}
	return progress{crashes: len(us), requests: len(rs)}
}
