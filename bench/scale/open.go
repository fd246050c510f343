package scale

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/client"
)

const (
	// openAccount is an account that may use loadModel. Its key is documented in the example.
	openAccount = "denizli"
	openTimeout = 10 * time.Minute
	// firstTokensTimeout limits the wait for the first tokens of all streams.
	firstTokensTimeout = 30 * time.Second
)

// slowEngines are engines whose answers are longer than a window: one token per 100 ms.
var slowEngines = Engines{Slots: 256, TokenTime: 100 * time.Millisecond, Tokens: 3000}

// OpenStreams measures the memory and processor time of open streams and fits them to the
// number of streams.
func OpenStreams(ctx context.Context, o Options, s Size, streams []int) error {
	fmt.Fprintf(o.Out, "\nopen %s: one token each 100 ms per stream; mean per process; cpu in %% of a core, rss in MB, in and out in KB/s\n", s)
	fmt.Fprintf(o.Out, "%8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "streams", "open", "e.cpu", "e.rss", "e.in", "e.out", "a.cpu", "a.rss", "a.in", "a.out")
	type sample struct {
		perEntry, perAgent float64
		cost               cost
	}
	var ps []sample
	for _, n := range append([]int{0}, streams...) {
		c, open, err := openStreamsOf(ctx, o, s, n)
		if err != nil {
			return fmt.Errorf("measure %d open streams: %w", n, err)
		}
		e, a := c.entry, c.agent
		fmt.Fprintf(o.Out, "%8d %8d %8.2f %8.1f %8.2f %8.2f %8.2f %8.1f %8.2f %8.2f\n", n, open, e.cpu, e.resident, e.in, e.out, a.cpu, a.resident, a.in, a.out)
		ps = append(ps, sample{perEntry: float64(open) / float64(s.Entries), perAgent: float64(open) / float64(s.Agents), cost: c})
	}
	x := func(p sample) []float64 { return []float64{1, p.perEntry} }
	y := func(p sample) []float64 { return []float64{1, p.perAgent} }
	const factors = "= base, per open stream"
	printFits(o.Out, ps, []fitLine[sample]{
		{"entry cpu %", factors, x, func(p sample) float64 { return p.cost.entry.cpu }},
		{"entry rss MB", factors, x, func(p sample) float64 { return p.cost.entry.resident }},
		{"agent cpu %", factors, y, func(p sample) float64 { return p.cost.agent.cpu }},
		{"agent rss MB", factors, y, func(p sample) float64 { return p.cost.agent.resident }},
	})
	return nil
}

// openStreamsOf measures n open streams on a new deployment, since processes keep memory that
// they have used once. It returns the use and the number of streams that stayed open.
func openStreamsOf(ctx context.Context, o Options, s Size, n int) (cost, int, error) {
	w, stop, err := deploy(ctx, o, s, slowEngines, 0)
	if err != nil {
		return cost{}, 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var open, ended atomic.Int64
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer h.CloseIdleConnections()
	for i := range n {
		g.Go(func() {
			stream(ctx, h, w, i, &open)
			ended.Add(1)
		})
	}
	end := time.Now().Add(firstTokensTimeout)
	for open.Load()+ended.Load() < int64(n) && time.Now().Before(end) {
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return cost{}, 0, err
		}
	}
	c, err := measureUsage(w, func() error { return pause(ctx, o.Window) })
	return c, n - int(ended.Load()), err
}

// stream sends a request for a long answer and counts it in open at its first text.
func stream(ctx context.Context, h *http.Client, w *world.Deployment, i int, open *atomic.Int64) {
	c := &client.Client{HTTP: h, Entry: w.Callers[i%len(w.Callers)], Key: "key-" + openAccount}
	_ = c.Chat(ctx, client.Chat{
		Model: loadModel, Stream: true, Timeout: openTimeout, MaxTokens: 4096,
		Messages: []answer.Message{{Role: "user", Content: fmt.Sprintf("stream %d", i)}},
		OnText: func(n int) {
			if n == 1 {
				open.Add(1)
			}
		},
	})
}
