package scale

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"tarragonvalve.example/bench/drive"
	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/table"
)

// loadModel is a single version, so that each request has one attempt.
const loadModel = "keten@3.0"

// receiptStoreTime is the time until the last receipts of a load are stored. Receipts that
// no entry has acknowledged are written by the agent after 15 s; those are not waited for.
const receiptStoreTime = 3 * time.Second

// Load measures processor time, bytes, table operations and receipts against the
// rate of requests, for each mean length of an answer in tokens.
func Load(ctx context.Context, o Options, s Size, rs []float64, tokens []int) error {
	fmt.Fprintf(o.Out, "\nload %s: cpu in ms per second, all entries and all agents together; table in operations/s; receipts in bytes\n", s)
	fmt.Fprintf(o.Out, "%6s %6s %8s %8s %8s %9s %9s %8s %8s %8s %8s %9s %9s %9s\n", "rate", "tokens", "ok", "failed", "ok/s",
		"tokens/s", "e.cpu", "a.cpu", "reads", "writes", "batches", "receipts", "per-batch", "B/receipt")
	var ps []loadSample
	for _, t := range tokens {
		more, err := loadOf(ctx, o, s, rs, t)
		if err != nil {
			return fmt.Errorf("measure load %s with %d tokens: %w", s, t, err)
		}
		ps = append(ps, more...)
	}
	x := func(p loadSample) []float64 { return []float64{1, p.rate, p.tokens} }
	const factors = "= idle, per request/s, per token/s"
	printFits(o.Out, ps, []fitLine[loadSample]{
		{"entries ms/s", factors, x, func(p loadSample) float64 { return p.entries }},
		{"agents ms/s", factors, x, func(p loadSample) float64 { return p.agents }},
		{"writes/s", "= idle, per request/s", func(p loadSample) []float64 { return []float64{1, p.rate} }, func(p loadSample) float64 { return p.writes }},
	})
	return nil
}

// loadSample holds the measurements of one window under load. Rate, tokens and table
// operations are per second; entries and agents are processor time in ms per second.
type loadSample struct {
	rate, tokens    float64
	entries, agents float64
	reads, writes   float64
}

func loadOf(ctx context.Context, o Options, s Size, rs []float64, tokens int) ([]loadSample, error) {
	w, stop, err := deploy(ctx, o, s, Engines{Slots: 64, TokenTime: 2 * time.Millisecond, Tokens: tokens}, 0)
	if err != nil {
		return nil, err
	}
	defer stop()
	var out []loadSample
	for i, r := range rs {
		p, err := loadOnce(ctx, o, w, r, tokens, uint64(i+1))
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

func loadOnce(ctx context.Context, o Options, w *world.Deployment, rate float64, tokens int, seed uint64) (loadSample, error) {
	var p loadSample
	stored, err := countReceipts(ctx, w)
	if err != nil {
		return p, err
	}
	before, err := tableCounts(ctx, w)
	if err != nil {
		return p, err
	}
	start := time.Now()
	var answers []drive.Record
	c, err := measureUsage(w, func() error {
		answers = drive.Run(ctx, drive.Options{
			Entries: w.Callers, Document: w.Document, Duration: o.Window, Seed: seed, Model: loadModel,
			ReviewFraction: 0.5, Rate: func(time.Duration) float64 { return rate },
			Weight: loadWeight,
		}, nil)
		return pause(ctx, receiptStoreTime)
	})
	if err != nil {
		return p, err
	}
	s := time.Since(start).Seconds()
	after, err := tableCounts(ctx, w)
	if err != nil {
		return p, err
	}
	now, err := countReceipts(ctx, w)
	if err != nil {
		return p, err
	}
	ok, failed, length := 0, 0, 0
	failures := map[string]int{}
	for _, a := range answers {
		if !a.OK() {
			failed++
			failures[fmt.Sprintf("status %d %s", a.Status, a.Code)]++
			continue
		}
		ok++
		length += a.OutputTokens
	}
	p.rate, p.tokens = float64(ok)/s, float64(length)/s
	p.entries = 10 * c.entry.cpu * float64(len(w.Entries))
	p.agents = 10 * c.agent.cpu * float64(len(w.Agents))
	p.reads = float64(after.Gets+after.Queries-before.Gets-before.Queries) / s
	p.writes = float64(after.Puts-before.Puts) / s
	b, n, size := now.batches-stored.batches, now.receipts-stored.receipts, now.bytes-stored.bytes
	fmt.Fprintf(o.Out, "%6.0f %6d %8d %8d %8.1f %9.0f %9.1f %8.1f %8.1f %8.2f %8.0f %9.0f %9.1f %9.0f\n", rate, tokens, ok, failed,
		p.rate, p.tokens, p.entries, p.agents, p.reads, p.writes, b, n, n/max(b, 1), size/max(n, 1))
	for _, k := range slices.Sorted(maps.Keys(failures)) {
		fmt.Fprintf(o.Out, "       failed: %d with %s\n", failures[k], k)
	}
	return p, printHalts(ctx, o, w)
}

// printHalts prints the halted versions. There should be none, since the stand-in engines
// are healthy.
func printHalts(ctx context.Context, o Options, w *world.Deployment) error {
	var r opsapi.StatusReply
	if err := w.Operator(ctx, http.MethodGet, w.Admins[0], "/status", &r); err != nil {
		return err
	}
	for _, h := range r.Halts {
		fmt.Fprintf(o.Out, "       halted: %s by %s: %s\n", h.Version, h.Instance, h.Reason)
	}
	return nil
}

// loadWeight returns the weight of an account, or 0 if it may not use loadModel.
func loadWeight(a *envdoc.Account, _ time.Duration) float64 {
	for v, ok := range a.Allowed {
		if ok && v.String() == loadModel {
			return float64(a.Weight)
		}
	}
	return 0
}

// receiptCounts holds the number of batches, receipts and bytes of receipts in the table.
type receiptCounts struct {
	batches, receipts, bytes float64
}

// countReceipts counts the receipts of the present and the previous hour.
func countReceipts(ctx context.Context, w *world.Deployment) (receiptCounts, error) {
	var s receiptCounts
	now := time.Now().UTC().Truncate(time.Hour)
	for _, t := range []time.Time{now.Add(-time.Hour), now} {
		rows, err := w.Table().List(ctx, table.Query{Partition: "bill/" + t.Format("2006-01-02T15")})
		if err != nil {
			return s, err
		}
		for _, r := range rows {
			s.batches++
			s.bytes += float64(len(r.Body))
			s.receipts += float64(strings.Count(string(r.Body), "\n"))
		}
	}
	return s, nil
}
