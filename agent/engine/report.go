package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
)

// Load is the load report of the engine. It lags behind the actual load.
type Load struct {
	Queued       uint32  `json:"queued"`
	Running      uint32  `json:"running"`
	Slots        uint32  `json:"slots"`
	PendingInput uint64  `json:"pending_input_tokens"`
	FreeCache    uint64  `json:"free_cache_tokens"`
	InputRate    float64 `json:"input_tokens_per_second"`
	OutputRate   float64 `json:"output_tokens_per_second"`
}

// Report is the state of the engine at the last poll.
type Report struct {
	Load   Load
	Loaded []ident.VersionRef
	// Reachable reports whether the last poll succeeded.
	Reachable bool
}

// maxReport bounds the body of a report in bytes.
const maxReport = 1 << 20

// getJSON sends a GET request and decodes the JSON response into out.
func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := clock.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	res, err := c.send(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return newStatusError(res)
	}
	b, err := inlet.ReadAll(res.Body, c.options.BaseURL, maxReport)
	if err != nil {
		return &BrokenError{Op: "read " + path, Err: clock.TimeoutOr(ctx, err)}
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &BrokenError{Op: "read " + path, Err: err}
	}
	return nil
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.getJSON(ctx, "/load", &l)
	return l, err
}

// Loaded reads the versions that the engine serves, sorted. It skips models that are not
// named MODEL@VERSION.
func (c *Client) Loaded(ctx context.Context) ([]ident.VersionRef, error) {
	var m struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := c.getJSON(ctx, "/v1/models", &m); err != nil {
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

// Monitor polls the reports of the engine and keeps the latest. It is safe for concurrent
// use.
type Monitor struct {
	client   *Client
	interval time.Duration
	log      zerolog.Logger
	report   atomic.Pointer[Report]
	changed  atomic.Pointer[chan struct{}]
}

// NewMonitor returns a monitor that polls at an interval while Run runs.
func NewMonitor(c *Client, interval time.Duration, l zerolog.Logger) *Monitor {
	m := &Monitor{client: c, interval: interval, log: l}
	m.report.Store(&Report{})
	n := make(chan struct{})
	m.changed.Store(&n)
	return m
}

// Name implements serve.Step.
func (m *Monitor) Name() string {
	return "engine-monitor"
}

// Report returns the latest report.
func (m *Monitor) Report() Report {
	return *m.report.Load()
}

// Changed returns a channel that is closed when the set of loaded versions or
// the reachability changes. Changes of the load are too frequent to be reported.
func (m *Monitor) Changed() <-chan struct{} {
	return *m.changed.Load()
}

// Run polls until ctx ends. It implements serve.Step.
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

// read reads the reports of the engine.
func (m *Monitor) read(ctx context.Context) (l Load, loaded []ident.VersionRef, err error) {
	l, err = m.client.Load(ctx)
	if err == nil {
		loaded, err = m.client.Loaded(ctx)
	}
	return l, loaded, err
}

// poll reads the reports. For an engine that does not answer, it keeps the last load but
// reports no loaded versions.
func (m *Monitor) poll(ctx context.Context) {
	old := m.Report()
	l, loaded, err := m.read(ctx)
	n := Report{Load: old.Load}
	if err == nil {
		n.Load, n.Loaded = l, loaded
	}
	m.client.options.Excess.Report("", err)
	n.Reachable = err == nil
	m.report.Store(&n)
	if n.Reachable == old.Reachable && slices.Equal(n.Loaded, old.Loaded) {
		return
	}
	m.log.Info().Bool("reachable", n.Reachable).Int("loaded", len(n.Loaded)).AnErr("cause", err).Msg("engine changed")
	next := make(chan struct{})
	close(*m.changed.Swap(&next))
}
