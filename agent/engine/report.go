package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
)

// Load is the engine's own load report; it lags behind.
type Load struct {
	Queued       uint32  `json:"queued"`
	Running      uint32  `json:"running"`
	Slots        uint32  `json:"slots"`
	PendingInput uint64  `json:"pending_input_tokens"`
	FreeCache    uint64  `json:"free_cache_tokens"`
	InputRate    float64 `json:"input_tokens_per_second"`
	OutputRate   float64 `json:"output_tokens_per_second"`
}

// Report is what the agent last learned from its engine.
type Report struct {
	Load   Load
	Loaded []ident.VersionRef
	// Reachable is false while the engine does not answer.
	Reachable bool
}

// maxReport bounds a report's body in bytes.
const maxReport = 1 << 20

// get reads a JSON answer.
func (c *Client) get(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReportLimit)
	defer cancel()
	res, err := c.send(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refused(res)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxReport)).Decode(out); err != nil {
		return &BrokenError{Op: "read " + path, Err: err}
	}
	return nil
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.get(ctx, "/load", &l)
	return l, err
}

// Loaded reads the versions that the engine serves, sorted. Models that are
// not named MODEL@VERSION are left out.
func (c *Client) Loaded(ctx context.Context) ([]ident.VersionRef, error) {
	var m struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := c.get(ctx, "/v1/models", &m); err != nil {
		return nil, err
	}
	var out []ident.VersionRef
	for _, d := range m.Data {
		if r, err := ident.ParseRef(d.ID); err == nil {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b ident.VersionRef) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return out, nil
}

// Monitor polls the engine's reports.
type Monitor struct {
	client   *Client
	interval time.Duration
	log      zerolog.Logger
	report   atomic.Pointer[Report]
	changed  atomic.Pointer[chan struct{}]
}

// NewMonitor returns a monitor that reads the reports at an interval.
func NewMonitor(c *Client, interval time.Duration, l zerolog.Logger) *Monitor {
	m := &Monitor{client: c, interval: interval, log: l}
	m.report.Store(&Report{})
	n := make(chan struct{})
	m.changed.Store(&n)
	return m
}

// Name is the step's name.
func (m *Monitor) Name() string {
	return "engine-monitor"
}

// Report returns the latest report.
func (m *Monitor) Report() Report {
	return *m.report.Load()
}

// Changed returns a channel that is closed when the set of loaded versions or
// the reachability changes. Load figures change all the time and don't count.
func (m *Monitor) Changed() <-chan struct{} {
	return *m.changed.Load()
}

// Run polls until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	t := time.NewTicker(m.interval)
	defer t.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// poll keeps the last figures of an engine that does not answer, but no
// longer reports it as serving anything.
func (m *Monitor) poll(ctx context.Context) {
	old := m.Report()
	n := Report{Load: old.Load}
	l, err := m.client.Load(ctx)
	if err == nil {
		n.Load = l
		n.Loaded, err = m.client.Loaded(ctx)
	}
	n.Reachable = err == nil
	m.report.Store(&n)
	if n.Reachable == old.Reachable && slices.Equal(n.Loaded, old.Loaded) {
		return
	}
	m.log.Info().Bool("reachable", n.Reachable).Int("loaded", len(n.Loaded)).AnErr("cause", err).Msg("engine changed")
	next := make(chan struct{})
	close(*m.changed.Swap(&next))
}
