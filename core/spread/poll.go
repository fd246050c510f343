package spread

import (
	"context"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
)

// pollsPerHaltRead is the number of polls of the table per read of halts and steps.
// Peers pass both on within seconds, and reading them at every poll would triple the
// number of reads.
const pollsPerHaltRead = 5

// readTimeout bounds one poll. It exceeds several time-outs of the table client.
const readTimeout = 5 * time.Second

// tablePoller reads the table for a replica and stores the halts that the table lacks.
type tablePoller struct {
	replica *Replica
	// pollsLeft is the number of polls until halts and steps are read again.
	pollsLeft int
	// missing holds the versions with halts of other instances that the last read did
	// not return.
	missing map[ident.VersionRef]bool
}

// pollTable polls the table at every interval, and at once after a halt was made here,
// until ctx ends.
func (r *Replica) pollTable(ctx context.Context) {
	p := tablePoller{replica: r}
	t := time.NewTicker(r.o.PollInterval)
	defer t.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.haltMade:
			p.pollsLeft = 0
		case <-t.C:
		}
	}
}

// poll reads a newer document and, if due, halts and steps.
func (p *tablePoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r := p.replica
	r.polls.Add(1)
	at := r.o.Now()
	after := r.View().Generation()
	a, err := r.o.Store.Latest(ctx, after)
	switch {
	case table.IsUnavailable(err):
		r.failedPolls.Add(1)
		p.pollsLeft = 0
		return
	case err != nil:
		// The table answered with a document that can't be decoded. Halts and steps are still read.
		r.failedPolls.Add(1)
		r.recordContact()
	default:
		r.recordContact()
		if r.update(ctx, tableRead{after: after, accepted: a, at: at}) != nil {
			return
		}
	}
	if a == nil && p.pollsLeft > 0 {
		p.pollsLeft--
		return
	}
	if err := p.syncHaltsAndSteps(ctx); err != nil {
		r.failedPolls.Add(1)
		p.pollsLeft = 0
		return
	}
	p.pollsLeft = pollsPerHaltRead - 1
}

// syncHaltsAndSteps reads halts and steps and stores the halts that the table lacks.
func (p *tablePoller) syncHaltsAndSteps(ctx context.Context) error {
	r := p.replica
	hs, err := r.o.Store.Halts(ctx)
	if err != nil {
		return err
	}
	g := r.View().Generation()
	steps, err := r.o.Store.Steps(ctx, g)
	if err != nil {
		return err
	}
	m := make(map[stepKey]int, len(steps))
	for id, s := range steps {
		m[stepKey{generation: g, rollout: id}] = s
	}
	if err := r.update(ctx, halted{halts: hs}, stepped{steps: m}); err != nil {
		return err
	}
	return p.saveHalts(ctx, hs)
}

// saveHalts stores halts that the table lacks. A halt made here is stored at once; a
// halt of another instance only when two reads in a row lack it, since the instance
// that made it normally stores it in between.
func (p *tablePoller) saveHalts(ctx context.Context, stored []Halt) error {
	have := make(map[ident.VersionRef]ident.Generation, len(stored))
	for _, h := range stored {
		have[h.Version] = h.Generation
	}
	v := p.replica.View()
	missing := map[ident.VersionRef]bool{}
	for r, h := range v.Halts {
		if g, ok := have[r]; (ok && g >= h.Generation) || !v.Halted(r) {
			continue
		}
		if h.Instance != p.replica.o.Instance && !p.missing[r] {
			missing[r] = true
			continue
		}
		if err := p.replica.o.Store.SaveHalt(ctx, h); err != nil {
			p.missing = missing
			return err
		}
	}
	p.missing = missing
	return nil
}
