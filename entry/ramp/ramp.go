// Package ramp advances roll-outs on the one entry that holds the lease. Each step is
// written to the table on the condition that the stored step is the expected one, so a
// holder that was paused beyond its lease can't repeat or revert a step that its
// successor wrote.
package ramp

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/entry/steps"
)

const (
	// interval is the time between two checks of the roll-outs.
	interval = time.Second
	// writeTimeout bounds the reads and writes of one check. It is shorter than the
	// lease's margin.
	writeTimeout = 1500 * time.Millisecond
)

// Lease tells whether this instance may advance roll-outs. *lease.Lease implements it.
type Lease interface {
	Held() (ident.FencingToken, bool)
}

// Store holds the roll-outs' steps in the table. *accept.Store implements it.
type Store interface {
	Steps(ctx context.Context, g ident.Generation) (map[ident.RolloutID]int, error)
	AdvanceStep(ctx context.Context, g ident.Generation, r ident.RolloutID, from, to int, token table.WriteToken) error
}

// Control is the part of the control state that roll-outs need. *spread.Replica
// implements it.
type Control interface {
	View() *spread.View
	RecordStep(ctx context.Context, g ident.Generation, r ident.RolloutID, step int) error
}

// Options are the dependencies of a Runner.
type Options struct {
	Lease   Lease
	Store   Store
	Control Control
	// Samples returns the number of answers of a version that this entry observed.
	Samples func(ctx context.Context, v ident.VersionRef) int
	// Membership returns the number of live entries and this entry's rank among them.
	Membership func() steps.Membership
	Log        zerolog.Logger
	Now        func() time.Time
}

// Runner advances the roll-outs of the document in force while this instance holds the
// lease.
type Runner struct {
	o      Options
	starts map[stepKey]stepStart
}

// stepKey identifies a step of a roll-out to a version.
type stepKey struct {
	rollout ident.RolloutID
	to      ident.VersionRef
	step    int
}

// stepStart is the time at which this holder first saw a step, and the number of
// answers that it had observed by then.
type stepStart struct {
	at      time.Time
	samples int
}

// New returns a runner that has seen no steps.
func New(o Options) *Runner {
	return &Runner{o: o, starts: map[stepKey]stepStart{}}
}

// Name implements serve.Component.
func (r *Runner) Name() string {
	return "ramp"
}

// Run checks the roll-outs at each interval until the context ends. It returns nil.
func (r *Runner) Run(ctx context.Context) error {
	return serve.Every(ctx, interval, r.reconcile)
}

func (r *Runner) reconcile(ctx context.Context) {
	token, held := r.o.Lease.Held()
	v := r.o.Control.View()
	d := v.Document()
	if !held || d == nil || len(d.Rollouts) == 0 {
		clear(r.starts)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := r.o.Store.Steps(ctx, v.Generation())
	if err != nil {
		// Without the table no roll-out advances. Halts don't need the table.
		r.o.Log.Debug().Err(err).Msg("roll-out steps not read")
		return
	}
	seen := map[stepKey]stepStart{}
	for _, x := range d.Rollouts {
		r.advance(ctx, v, x, stored[x.ID], token, seen)
	}
	r.starts = seen
}

// advance decides whether a roll-out goes to its next step, and writes that step.
func (r *Runner) advance(ctx context.Context, v *spread.View, x *envdoc.Rollout, stored int, token ident.FencingToken, seen map[stepKey]stepStart) {
	step := max(stored, v.Steps[x.ID])
	if step > stored {
		// The step was carried over from an earlier generation and is not in the table
		// yet.
		r.write(ctx, v.Generation(), x.ID, stored, step, token)
	}
	to := ident.VersionRef{Model: x.Model, Version: x.To}
	samples := r.o.Samples(ctx, to)
	k := stepKey{rollout: x.ID, to: to, step: step}
	s, ok := r.starts[k]
	if !ok {
		s = stepStart{at: r.o.Now(), samples: samples}
	}
	seen[k] = s
	// The entries serve about equal parts of the answers, so this entry's number is
	// scaled up.
	n := (samples - s.samples) * max(r.o.Membership().Entries, 1)
	p := steps.Progress{Step: step, Since: s.at, Samples: n, Usable: v.Usable(to)}
	switch a := steps.Next(x, p, r.o.Now()).(type) {
	case steps.Advance:
		r.write(ctx, v.Generation(), x.ID, step, a.To, token)
	case steps.Hold, steps.Finished:
	}
}

func (r *Runner) write(ctx context.Context, g ident.Generation, id ident.RolloutID, from, to int, token ident.FencingToken) {
	err := r.o.Store.AdvanceStep(ctx, g, id, from, to, table.WriteToken(ulid.Make().String()))
	var c *accept.StepConflictError
	switch {
	case err == nil:
	case errors.As(err, &c):
		r.o.Log.Info().Str("rollout", string(id)).Int("current", c.Current).Msg("another lease holder advanced the roll-out")
		to = c.Current
	default:
		r.o.Log.Warn().Err(err).Str("rollout", string(id)).Msg("roll-out step not known to be stored")
		return
	}
	if err := r.o.Control.RecordStep(ctx, g, id, to); err != nil {
		return
	}
	r.o.Log.Info().Str("rollout", string(id)).Int("step", to).Uint64("fencing-token", uint64(token)).Msg("roll-out advanced")
}
