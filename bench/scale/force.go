package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

const (
	// forceLimit is the stated time until a document is in force everywhere.
	forceLimit = 19 * time.Second
	// never is a pause between table reads that outlasts every run.
	never = time.Hour
	// asksAtOnce bounds the processes that are asked at the same time.
	asksAtOnce = 32
	askLimit   = 5 * time.Second
)

// Force measures the time from just before a promotion is sent until its
// generation is in force in every process. The processes record when that was in
// their event rings, which are read afterwards, so that asking costs nothing in
// between. With one is true, only the first entry reads the table.
func Force(ctx context.Context, o Options, sizes []Size, one bool) error {
	readers, poll := "all", time.Duration(0)
	if one {
		readers, poll = "one entry", never
	}
	fmt.Fprintf(o.Out, "\nforce: seconds from the promotion until all processes have it in force; table read by %s\n", readers)
	fmt.Fprintf(o.Out, "%-12s %10s %8s %8s %8s %8s %8s %8s\n", "size", "promotions", "e.p50", "e.max", "a.p50", "a.max", "all.p50", "all.max")
	for _, s := range sizes {
		if err := forceOf(ctx, o, s, poll); err != nil {
			return fmt.Errorf("measure promotions %s: %w", s, err)
		}
	}
	return nil
}

func forceOf(ctx context.Context, o Options, s Size, poll time.Duration) error {
	w, stop, err := deploy(ctx, o, s, idle, poll)
	if err != nil {
		return err
	}
	defer stop()
	f := &fleet{conns: map[string]*grpc.ClientConn{}}
	defer f.close()
	var entries, agents, all []float64
	for i := range o.Rounds {
		if err := w.Promote(ctx, strings.Replace(o.Document, "weight = 8", fmt.Sprintf("weight = %d", 9+i), 1)); err != nil {
			return err
		}
		e, a, err := f.wait(ctx, w)
		if err != nil {
			return err
		}
		entries = append(entries, e...)
		agents = append(agents, a...)
		all = append(all, max(slices.Max(e), slices.Max(a)))
		// Promotions at random phases of the polls.
		if err := pause(ctx, time.Duration(i*370%1000)*time.Millisecond); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.Out, "%-12s %10d %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f\n", s, o.Rounds,
		median(entries), slices.Max(entries), median(agents), slices.Max(agents), median(all), slices.Max(all))
	return nil
}

func median(xs []float64) float64 {
	s := slices.Sorted(slices.Values(xs))
	return s[(len(s)-1)/2]
}

// fleet asks processes for their events.
type fleet struct {
	conns map[string]*grpc.ClientConn
}

func (f *fleet) close() {
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// wait returns the seconds at each entry and agent, once all have the generation in force.
func (f *fleet) wait(ctx context.Context, w *world.World) (entries, agents []float64, err error) {
	var ps []*world.Process
	ps = append(ps, w.Entries...)
	for _, u := range w.Addresses.Upstreams {
		ps = append(ps, w.Agents[u.ID])
	}
	times := make([]float64, len(ps))
	end := w.Promoted.Add(3 * forceLimit)
	for {
		if err := pause(ctx, 2*time.Second); err != nil {
			return nil, nil, err
		}
		missing, err := f.ask(ctx, w, ps, times)
		if err != nil {
			return nil, nil, err
		}
		if missing == 0 {
			return times[:len(w.Entries)], times[len(w.Entries):], nil
		}
		if time.Now().After(end) {
			return nil, nil, fmt.Errorf("generation %d: %d of %d processes do not have it in force after %s", w.Generation, missing, len(ps), 3*forceLimit)
		}
	}
}

// ask fills the times of the processes that have none, and counts those that are left.
func (f *fleet) ask(ctx context.Context, w *world.World, ps []*world.Process, times []float64) (int, error) {
	var g sync.WaitGroup
	slots := make(chan struct{}, asksAtOnce)
	failed := make([]error, len(ps))
	for i, p := range ps {
		if times[i] > 0 {
			continue
		}
		c, err := f.conn(p.Peer)
		if err != nil {
			return 0, err
		}
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			times[i], failed[i] = inForce(ctx, c, w.Generation, w.Promoted)
		})
	}
	g.Wait()
	left := 0
	for _, t := range times {
		if t == 0 {
			left++
		}
	}
	return left, errors.Join(failed...)
}

func (f *fleet) conn(addr string) (*grpc.ClientConn, error) {
	if c, ok := f.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		f.conns[addr] = c
	}
	return c, err
}

// inForce returns the seconds from a time until a process took a generation in force, 0 when it has not.
func inForce(ctx context.Context, c *grpc.ClientConn, n ident.Generation, from time.Time) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	s, err := wire.NewPeerClient(c).Events(ctx, &wire.EventsRequest{SinceUnixMs: from.UnixMilli()})
	if err != nil {
		return 0, err
	}
	for {
		e, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		if e.GetKind() == string(event.GenerationInForce) && e.GetFields()["generation"] == strconv.FormatUint(uint64(n), 10) {
			return max(event.Stamp(e.GetClock()).Time().Sub(from).Seconds(), 0.001), nil
		}
	}
}
