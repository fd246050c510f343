package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// lateFates returns how the requests that were sent from lateRequest after a SIGTERM until the end of the grace period
// ended, in a form that sums over seeds: for each kind the numbers of whole answers, refusals, requests whose key was
// taken away, failures, answers that were cut and requests that reached no server and got no answer.
func (p *planned) lateFates() string {
	type fates struct{ whole, refused, denied, failed, cut, unread int }
	kinds := map[string]*fates{"read": {}, "order": {}, "chat": {}}
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.checker.observations {
		if !p.sentLate(o) {
			continue
		}
		f := kinds[o.kind]
		switch {
		case o.complete:
			f.whole++
		case o.status == http.StatusServiceUnavailable:
			f.refused++
		case o.status == http.StatusUnauthorized:
			f.denied++
		case o.status != 0:
			f.failed++
		case o.runs > 0:
			f.cut++
		default:
			f.unread++
		}
	}
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		f := kinds[k]
		fmt.Fprintf(&b, "%s whole %d refused %d denied %d failed %d cut %d unread %d; ", k, f.whole, f.refused, f.denied, f.failed, f.cut, f.unread)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// sentLate reports whether a request was sent late in a stop of its router. The caller must hold p.mu.
func (p *planned) sentLate(o *observation) bool {
	return slices.ContainsFunc(p.terms[o.router], func(t time.Time) bool {
		return o.sent.After(t.Add(lateRequest)) && o.sent.Before(t.Add(p.grace))
	})
}

// logFates logs the fates of late requests.
func (p *planned) logFates(t *testing.T) {
	t.Helper()
	t.Logf("late in a stop: %s", p.lateFates())
}
