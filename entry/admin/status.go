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

// waitInterval is the interval at which wait queries all instances.
const waitInterval = 250 * time.Millisecond

// tableTimeDivisor divides the time of a status request: reading the table may take one
// part of it, so that time is left for the instances when the table does not answer.
const tableTimeDivisor = 4

// status returns the generation in force here, halts, roll-outs, the latest
// generation in the table and the status of all instances.
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
	a.readLatest(ctx, v, &out)
	out.Instances = sortedInstances(a.o.Fleet.Instances(ctx))
	return out, nil
}

// readLatest sets the latest generation in the table, or the reason why it can't be read.
func (a *API) readLatest(ctx context.Context, v *spread.View, out *opsapi.StatusReply) {
	if t, ok := ctx.Deadline(); ok {
		c, cancel := context.WithTimeout(ctx, time.Until(t)/tableTimeDivisor)
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

// halts returns the halts in force, sorted by version.
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

// rollouts returns the steps that the roll-outs have reached here, sorted by id.
func rollouts(v *spread.View, d *envdoc.Document) []opsapi.Step {
	out := []opsapi.Step{}
	for _, id := range slices.Sorted(maps.Keys(d.Rollouts)) {
		r := d.Rollouts[id]
		// A roll-out without an entry in Steps is at its first step.
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

// wait replies as soon as all live instances have ?generation=N or a later one in
// force, and shortly before the request's deadline at the latest.
func (a *API) wait(ctx context.Context, c *call) (any, error) {
	n, err := intParam(c, "generation", 0, 1<<31)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "generation is missing")
	}
	t := time.NewTicker(waitInterval)
	defer t.Stop()
	for {
		out := a.behind(ctx, ident.Generation(n))
		if out.Done || nearDeadline(ctx) {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return out, nil
		case <-t.C:
		}
	}
}

// nearDeadline reports whether too little time is left to query the instances again.
func nearDeadline(ctx context.Context) bool {
	t, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(t) < 2*waitInterval
}

// behind queries all instances and returns which of them have an earlier generation
// than g in force or can't be reached.
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
