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
	// propagationTarget is the stated maximum time until a document is in force everywhere.
	propagationTarget = 19 * time.Second
	// noPollInterval is an interval of table reads that is longer than any run.
	noPollInterval = time.Hour
	// maxConcurrentReads is the maximum number of processes whose events are read at the
	// same time.
	maxConcurrentReads = 32
	eventsTimeout      = 5 * time.Second
)

// Propagation measures the time from just before a promotion is sent until its
// generation is in force in all processes. The processes record that time in their
// event rings, which are read later, so that reading doesn't disturb the measurement.
// If oneReader is true, only the first entry reads the table.
func Propagation(ctx context.Context, o Options, sizes []Size, oneReader bool) error {
	readers, poll := "all", time.Duration(0)
	if oneReader {
		readers, poll = "one entry", noPollInterval
	}
	fmt.Fprintf(o.Out, "\nforce: seconds from the promotion until all processes have it in force; table read by %s\n", readers)
	fmt.Fprintf(o.Out, "%-12s %10s %8s %8s %8s %8s %8s %8s\n", "size", "promotions", "e.p50", "e.max", "a.p50", "a.max", "all.p50", "all.max")
	for _, s := range sizes {
		if err := propagationOf(ctx, o, s, poll); err != nil {
			return fmt.Errorf("measure promotions %s: %w", s, err)
		}
	}
	return nil
}

func propagationOf(ctx context.Context, o Options, s Size, poll time.Duration) error {
	w, stop, err := deploy(ctx, o, s, idleEngines, poll)
	if err != nil {
		return err
	}
	defer stop()
	f := &eventReader{conns: map[string]*grpc.ClientConn{}}
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
		// Vary the phase of the polls at which the next promotion is sent.
		if err := pause(ctx, time.Duration(i*370%1000)*time.Millisecond); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.Out, "%-12s %10d %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f\n", s, o.Rounds,
		median(entries), slices.Max(entries), median(agents), slices.Max(agents), median(all), slices.Max(all))
	return nil
}

// median returns the median, or the lower one of two middle values.
func median(xs []float64) float64 {
	s := slices.Sorted(slices.Values(xs))
	return s[(len(s)-1)/2]
}

// eventReader reads the events of processes and keeps the connections to them.
type eventReader struct {
	conns map[string]*grpc.ClientConn
}

func (f *eventReader) close() {
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// wait waits until all processes have the generation in force and returns the seconds that
// each entry and agent took. It fails after three times propagationTarget.
func (f *eventReader) wait(ctx context.Context, w *world.Deployment) (entries, agents []float64, err error) {
	var ps []*world.Process
	ps = append(ps, w.Entries...)
	for _, u := range w.Addresses.Upstreams {
		ps = append(ps, w.Agents[u.ID])
	}
	times := make([]float64, len(ps))
	end := w.PromotedAt.Add(3 * propagationTarget)
	for {
		if err := pause(ctx, 2*time.Second); err != nil {
			return nil, nil, err
		}
		missing, err := f.readMissing(ctx, w, ps, times)
		if err != nil {
			return nil, nil, err
		}
		if missing == 0 {
			return times[:len(w.Entries)], times[len(w.Entries):], nil
		}
		if time.Now().After(end) {
			return nil, nil, fmt.Errorf("generation %d: %d of %d processes do not have it in force after %s", w.Generation, missing, len(ps), 3*propagationTarget)
		}
	}
}

// readMissing reads the events of the processes whose time is 0, sets the times that it
// finds and returns the number of those still missing.
func (f *eventReader) readMissing(ctx context.Context, w *world.Deployment, ps []*world.Process, times []float64) (int, error) {
	var g sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	failed := make([]error, len(ps))
	for i, p := range ps {
		if times[i] > 0 {
			continue
		}
		c, err := f.conn(p.PeerAddress)
		if err != nil {
			return 0, err
		}
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			times[i], failed[i] = inForce(ctx, c, w.Generation, w.PromotedAt)
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

func (f *eventReader) conn(addr string) (*grpc.ClientConn, error) {
	if c, ok := f.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		f.conns[addr] = c
	}
	return c, err
}

// inForce returns the seconds from a time until a process had a generation in force, at
// least 0.001, or 0 if it does not have it in force.
func inForce(ctx context.Context, c *grpc.ClientConn, n ident.Generation, from time.Time) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
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
