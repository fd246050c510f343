package spread

import (
	"context"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
)

// sideEvery is the number of polls per read of halts and steps. Both travel
// between peers within seconds; reading them at every poll would triple the reads.
const sideEvery = 5

// readTimeout bounds one poll, above several time-outs of the table client.
const readTimeout = 5 * time.Second

// follower reads the table for a node and stores halts that the table lacks.
type follower struct {
	n *Replica
	// left is the number of polls until halts and steps are read again.
	left int
	// missing holds the halts of other instances that the last read did not find.
	missing map[ident.VersionRef]bool
}

// follow reads the table at every interval until ctx ends.
func (n *Replica) follow(ctx context.Context) {
	f := follower{n: n}
	t := time.NewTicker(n.o.PollInterval)
	defer t.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-n.unsaved:
			f.left = 0
		case <-t.C:
		}
	}
}

func (f *follower) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n := f.n
	n.polls.Add(1)
	at := n.o.Now()
	after := n.View().Generation()
	a, err := n.o.Store.Latest(ctx, after)
	switch {
	case table.IsUnavailable(err):
		n.failed.Add(1)
		f.left = 0
		return
	case err != nil:
		// The table answered with a document that this program can't read. Halts still count.
		n.failed.Add(1)
		n.touch()
	default:
		n.touch()
		if n.update(ctx, tableRead{after: after, accepted: a, at: at}) != nil {
			return
		}
	}
	if a == nil && f.left > 0 {
		f.left--
		return
	}
	if err := f.side(ctx); err != nil {
		n.failed.Add(1)
		f.left = 0
		return
	}
	f.left = sideEvery - 1
}

// side reads halts and steps and stores the halts that the table lacks.
func (f *follower) side(ctx context.Context) error {
	n := f.n
	hs, err := n.o.Store.Halts(ctx)
	if err != nil {
		return err
	}
	g := n.View().Generation()
	steps, err := n.o.Store.Steps(ctx, g)
	if err != nil {
		return err
	}
	m := make(map[stepKey]int, len(steps))
	for r, s := range steps {
		m[stepKey{generation: g, rollout: r}] = s
	}
	if err := n.update(ctx, halted{halts: hs}, stepped{steps: m}); err != nil {
		return err
	}
	return f.save(ctx, hs)
}

// save stores halts made here at once. A halt of another instance is stored when
// two reads in a row lack it, since its maker normally stores it in between.
func (f *follower) save(ctx context.Context, stored []Halt) error {
	have := make(map[ident.VersionRef]ident.Generation, len(stored))
	for _, h := range stored {
		have[h.Version] = h.Generation
	}
	v := f.n.View()
	missing := map[ident.VersionRef]bool{}
	for r, h := range v.Halts {
		if g, ok := have[r]; (ok && g >= h.Generation) || !v.Halted(r) {
			continue
		}
		if h.Instance != f.n.o.Instance && !f.missing[r] {
			missing[r] = true
			continue
		}
		if err := f.n.o.Store.SaveHalt(ctx, h); err != nil {
			f.missing = missing
			return err
		}
	}
	f.missing = missing
	return nil
}
