package admin

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/plan"
)

// maxTrialEvents bounds the events of each process in which a trial looks for recorded
// decisions.
const maxTrialEvents = 20_000

// compareDecisions computes the recorded routing decisions of all processes again, under the
// document in force and under the tried one, and counts the differences by account.
// It sends no requests to upstreams.
func (a *API) compareDecisions(ctx context.Context, d *envdoc.Document, out *opsapi.TrialReply) {
	before := a.o.State.View()
	after := &spread.View{
		Accepted: &spread.AcceptedDocument{Generation: before.Generation() + 1, Document: d},
		Halts:    before.Halts,
		Steps:    firstSteps(d),
	}
	lists := a.o.Fleet.Events(ctx, event.Filter{Limit: maxTrialEvents})
	counts := map[opsapi.Move]int{}
	for _, p := range lists {
		n := 0
		for _, e := range p.Events {
			if e.Kind != event.PlanChosen {
				continue
			}
			r, err := ident.ParseRef(e.Fields["first"])
			if err != nil {
				continue
			}
			n++
			countMoves(counts, before, after, e, r)
		}
		out.Decisions += n
		out.Sources = append(out.Sources, sourceOf(p, n))
	}
	out.Moves = sortedMoves(counts)
}

// firstSteps returns the steps of the roll-outs at the time when the document is
// accepted: each is at its first.
func firstSteps(d *envdoc.Document) map[ident.RolloutID]int {
	out := map[ident.RolloutID]int{}
	for id := range d.Rollouts {
		out[id] = 0
	}
	return out
}

// countMoves adds the differences for one recorded decision: for the next turn of its
// session and for a new session at the same point.
func countMoves(counts map[opsapi.Move]int, before, after *spread.View, e event.Event, r ident.VersionRef) {
	p := plan.BucketOf(e.Account, string(e.Session))
	for kind, choose := range map[string]func(v *spread.View) (ident.VersionRef, error){
		opsapi.MoveSession: func(v *spread.View) (ident.VersionRef, error) { return plan.ResolveFallback(v, e.Account, r) },
		opsapi.MoveNewSession: func(v *spread.View) (ident.VersionRef, error) {
			return plan.ResolveVersion(v, e.Account, r.Model, p, nil)
		},
	} {
		m := opsapi.Move{Account: e.Account, Kind: kind, From: choiceName(choose(before)), To: choiceName(choose(after))}
		if m.From != m.To {
			counts[m]++
		}
	}
}

// choiceName names a choice in a move: the version or the code of the refusal.
func choiceName(r ident.VersionRef, err error) string {
	if err != nil {
		return "refused: " + string(refuse.FromError(err, refuse.NotRun).Code)
	}
	return r.String()
}

// sortedMoves returns the counted differences, sorted.
func sortedMoves(counts map[opsapi.Move]int) []opsapi.Move {
	out := []opsapi.Move{}
	for m, n := range maps.All(counts) {
		m.Count = n
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b opsapi.Move) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(b.Kind, a.Kind), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return out
}

func sourceOf(p ProcessEvents, n int) opsapi.Source {
	return opsapi.Source{
		Instance:    p.Instance,
		Role:        p.Role,
		Domain:      p.Domain,
		Events:      n,
		Overwritten: p.Overwritten,
		Problem:     p.Problem,
	}
}
