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
	// openAccount may use the version of the load; its key is documented in the example.
	openAccount = "denizli"
	openTimeout = 10 * time.Minute
	// openLimit bounds the wait for the first tokens of all streams.
	openLimit = 30 * time.Second
)

// slow are engines whose answers outlast a window: one token each 100 ms.
var slow = Engines{Slots: 256, TokenTime: 100 * time.Millisecond, Tokens: 3000}

// Open measures memory and processor time of open streams.
func Open(ctx context.Context, o Options, s Size, streams []int) error {
	fmt.Fprintf(o.Out, "\nopen %s: one token each 100 ms per stream; mean per process; cpu in %% of a core, rss in MB, in and out in KB/s\n", s)
	fmt.Fprintf(o.Out, "%8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "streams", "open", "e.cpu", "e.rss", "e.in", "e.out", "a.cpu", "a.rss", "a.in", "a.out")
	type sample struct {
		perEntry, perAgent float64
		cost               cost
	}
	var ps []sample
	for _, n := range append([]int{0}, streams...) {
		c, open, err := openOf(ctx, o, s, n)
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
	printFits(o.Out, ps, []line[sample]{
		{"entry cpu %", factors, x, func(p sample) float64 { return p.cost.entry.cpu }},
		{"entry rss MB", factors, x, func(p sample) float64 { return p.cost.entry.resident }},
		{"agent cpu %", factors, y, func(p sample) float64 { return p.cost.agent.cpu }},
		{"agent rss MB", factors, y, func(p sample) float64 { return p.cost.agent.resident }},
	})
	return nil
}

// openOf measures on a fresh deployment, since memory that was used once is kept.
func openOf(ctx context.Context, o Options, s Size, n int) (cost, int, error) {
	w, stop, err := deploy(ctx, o, s, slow, 0)
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
	end := time.Now().Add(openLimit)
	for open.Load()+ended.Load() < int64(n) && time.Now().Before(end) {
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return cost{}, 0, err
		}
	}
	c, err := during(w, func() error { return pause(ctx, o.Window) })
	return c, n - int(ended.Load()), err
}

func stream(ctx context.Context, h *http.Client, w *world.World, i int, open *atomic.Int64) {
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
