package admin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// waitPause is the pause between two looks at all instances.
const waitPause = 250 * time.Millisecond

// tableShare is the part of a status request's time that the table may take, so
// that the state of the instances is told even when the table is silent.
const tableShare = 4

func (a *API) status(ctx context.Context, _ *call) (any, error) {
	v := a.o.State.View()
	out := opsapi.StatusReply{
		Environment: a.o.Environment,
		Instance:    a.o.Instance,
		Generation:  v.Generation(),
		ConfirmedBy: string(v.ConfirmedBy),
		Halts:       halts(v),
		Rollouts:    []opsapi.Step{},
	}
	if d := v.Document(); d != nil {
		out.Digest = d.Digest
		out.Rollouts = rollouts(v, d)
	}
	a.latest(ctx, v, &out)
	out.Instances = sortedInstances(a.o.Fleet.Instances(ctx))
	return out, nil
}

func (a *API) latest(ctx context.Context, v *spread.View, out *opsapi.StatusReply) {
	if t, ok := ctx.Deadline(); ok {
		c, cancel := context.WithTimeout(ctx, time.Until(t)/tableShare)
		defer cancel()
		ctx = c
	}
	n, err := a.o.Store.Latest(ctx, v.Generation())
	switch {
	case err != nil:
		out.Problem = err.Error()
	case n != nil:
		out.Latest = n.Generation
	default:
		out.Latest = v.Generation()
	}
}

func halts(v *spread.View) []opsapi.Halt {
	out := []opsapi.Halt{}
	for r, h := range v.Halts {
		if !v.Halted(r) {
			continue
		}
		out = append(out, opsapi.Halt{Version: r.String(), Generation: h.Generation, Reason: h.Reason, Instance: h.Instance, At: h.At.UTC()})
	}
	slices.SortFunc(out, func(a, b opsapi.Halt) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

func rollouts(v *spread.View, d *envdoc.Document) []opsapi.Step {
	out := []opsapi.Step{}
	for _, id := range slices.Sorted(maps.Keys(d.Rollouts)) {
		r := d.Rollouts[id]
		// A roll-out at its first step has no entry.
		i := min(v.Steps[id], len(r.Steps)-1)
		s := opsapi.Step{
			Rollout: id,
			Version: ident.VersionRef{Model: r.Model, Version: r.To}.String(),
			Step:    i + 1,
			Steps:   len(r.Steps),
			Share:   envdoc.FormatShare(r.Steps[i]),
		}
		out = append(out, s)
	}
	return out
}

func sortedInstances(in []opsapi.Instance) []opsapi.Instance {
	out := append([]opsapi.Instance{}, in...)
	slices.SortFunc(out, func(a, b opsapi.Instance) int {
		return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// wait answers as soon as all live instances have ?generation=N in force, and at
// the request's deadline in any case.
func (a *API) wait(ctx context.Context, c *call) (any, error) {
	n, err := number(c, "generation", 0, 1<<31)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "generation is missing")
	}
	t := time.NewTicker(waitPause)
	defer t.Stop()
	for {
		out := a.behind(ctx, ident.Generation(n))
		if out.Done || closing(ctx) {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return out, nil
		case <-t.C:
		}
	}
}

// closing reports whether too little time is left for another look.
func closing(ctx context.Context) bool {
	t, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(t) < 2*waitPause
}

func (a *API) behind(ctx context.Context, g ident.Generation) opsapi.WaitReply {
	out := opsapi.WaitReply{Generation: g, Behind: []ident.InstanceID{}, Unreached: []ident.InstanceID{}}
	for _, i := range sortedInstances(a.o.Fleet.Instances(ctx)) {
		out.Instances++
		switch {
		case i.Problem != "":
			out.Unreached = append(out.Unreached, i.ID)
		case i.Generation < g:
			out.Behind = append(out.Behind, i.ID)
		}
	}
	out.Done = out.Instances > 0 && len(out.Behind) == 0 && len(out.Unreached) == 0
	return out
}
