// Package ramp advances roll-outs under a lease. Steps are conditional writes in
// the table, so a holder that was paused past its lease changes nothing.
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
	// interval is how often the holder looks at the roll-outs.
	interval = time.Second
	// writeTimeout bounds one round of reads and writes; it is below the lease's margin.
	writeTimeout = 1500 * time.Millisecond
)

// Lease says whether this instance may act; lease.Lease implements it.
type Lease interface {
	Held() (ident.FencingToken, bool)
}

// Store holds the steps; accept.Store implements it.
type Store interface {
	Steps(ctx context.Context, g ident.Generation) (map[ident.RolloutID]int, error)
	AdvanceStep(ctx context.Context, g ident.Generation, r ident.RolloutID, from, to int, token table.WriteToken) error
}

// Control is the monotone state; spread.Replica implements it.
type Control interface {
	View() *spread.View
	RecordStep(ctx context.Context, g ident.Generation, r ident.RolloutID, step int) error
}

// Options are the parts that a Runner works with.
type Options struct {
	Lease   Lease
	Store   Store
	Control Control
	// Samples returns how many answers of a new version this entry has seen.
	Samples func(ctx context.Context, v ident.VersionRef) int
	// Membership returns this entry's place among the live entries.
	Membership func() steps.Membership
	Log        zerolog.Logger
	Now        func() time.Time
}

// Runner advances the roll-outs of the document in force while it holds the lease.
type Runner struct {
	o      Options
	starts map[stepKey]stepStart
}

// stepKey names one step of one roll-out's definition.
type stepKey struct {
	rollout ident.RolloutID
	to      ident.VersionRef
	step    int
}

// stepStart is when this holder first saw a step, and the answers it had seen by then.
type stepStart struct {
	at      time.Time
	samples int
}

// New returns a runner.
func New(o Options) *Runner {
	return &Runner{o: o, starts: map[stepKey]stepStart{}}
}

// Name returns the name of the step in the program's start order.
func (r *Runner) Name() string {
	return "ramp"
}

// Run looks at the roll-outs until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	return serve.Every(ctx, interval, r.round)
}

func (r *Runner) round(ctx context.Context) {
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
		// Without the table nothing advances; halts need no table.
		r.o.Log.Debug().Err(err).Msg("roll-out steps not read")
		return
	}
	seen := map[stepKey]stepStart{}
	for _, x := range d.Rollouts {
		r.advance(ctx, v, x, stored[x.ID], token, seen)
	}
	r.starts = seen
}

// advance decides on one roll-out and carries the decision out.
func (r *Runner) advance(ctx context.Context, v *spread.View, x *envdoc.Rollout, stored int, token ident.FencingToken, seen map[stepKey]stepStart) {
	step := max(stored, v.Steps[x.ID])
	if step > stored {
		// The step was carried over from an earlier generation and is not in the table yet.
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
	// This entry sees about an equal part of the answers.
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
		r.o.Log.Info().Str("rollout", string(id)).Int("current", c.Current).Msg("another holder advanced the roll-out")
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
