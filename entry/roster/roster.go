// Package roster reads the platform's instance list, in the JSON of Prometheus
// HTTP service discovery. The last good list stays in use while the list is down.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
)

// Roles and states of instances, as labels of the list.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	StateLeaving = "leaving"
)

const (
	// maxBody bounds the list: 1,000 instances need about 250 KB.
	maxBody = 8 << 20
	// readLimit bounds one read.
	readLimit = 3 * time.Second
)

// Instance is one instance of the list.
type Instance struct {
	ID       ident.InstanceID
	Addr     string
	Role     string
	Upstream ident.UpstreamID
	Domain   ident.DomainID
	// Kind groups upstreams; it is empty when the list has no such label.
	Kind    string
	Leaving bool
}

// Options are the settings of a Roster.
type Options struct {
	// URL is the address of the list; empty when only Static is used.
	URL      string
	Interval time.Duration
	Client   *http.Client
	// Static lists instances that the settings name; they are always part of the list.
	Static []Instance
	// OnUpdate is called with every list that was read.
	OnUpdate func(is []Instance)
	Log      zerolog.Logger
}

// Roster holds the instance list.
type Roster struct {
	o       Options
	current atomic.Pointer[[]Instance]
	failed  atomic.Uint64
	skipped atomic.Uint64
	known   bool
	// tag names the version of the last list that was read, empty when the list has no tags.
	tag  string
	last []Instance
}

// New returns a roster with the static instances.
func New(o Options) *Roster {
	r := &Roster{o: o}
	s := slices.Clone(o.Static)
	r.current.Store(&s)
	return r
}

// Name is the name of the step.
func (r *Roster) Name() string { return "roster" }

// Instances returns the list. The slice must not be changed.
func (r *Roster) Instances() []Instance { return *r.current.Load() }

// Counts returns failed reads and entries of the list that were not usable.
func (r *Roster) Counts() (failed, skipped uint64) { return r.failed.Load(), r.skipped.Load() }

// Run reads the list until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	r.o.OnUpdate(r.Instances())
	if r.o.URL == "" {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(r.o.Interval)
	defer t.Stop()
	for {
		r.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (r *Roster) refresh(ctx context.Context) {
	is, err := r.read(ctx)
	if err != nil && ctx.Err() == nil {
		r.failed.Add(1)
		r.o.Log.Warn().Err(err).Msg("instance list is not readable, keeping the last one")
	}
	if err != nil {
		return
	}
	// An empty list after a filled one is a fault of the list: links have their
	// own liveness checks, so keeping instances that are gone does no harm.
	if len(is) == 0 && r.known {
		r.failed.Add(1)
		return
	}
	r.known = r.known || len(is) > 0
	is = append(slices.Clone(r.o.Static), is...)
	r.current.Store(&is)
	r.o.OnUpdate(is)
}

// StatusError reports an answer of the list that is not 200.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("read instance list %s: status %d", e.URL, e.Status)
}

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (r *Roster) read(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.o.URL, nil)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Accept", "application/json")
	// A list of 1,000 instances has about 200 KB, and changes some hundred times a day.
	if r.tag != "" {
		q.Header.Set("If-None-Match", r.tag)
	}
	p, err := r.o.Client.Do(q)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode == http.StatusNotModified && r.tag != "" {
		return r.last, nil
	}
	if p.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: r.o.URL, Status: p.StatusCode}
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxBody))
	if err != nil {
		return nil, err
	}
	var gs []group
	if err := json.Unmarshal(b, &gs); err != nil {
		return nil, fmt.Errorf("read instance list %s: %w", r.o.URL, err)
	}
	r.tag, r.last = p.Header.Get("ETag"), r.instances(gs)
	return r.last, nil
}

func (r *Roster) instances(gs []group) []Instance {
	out := []Instance{}
	for _, g := range gs {
		for _, t := range g.Targets {
			i := Instance{
				ID:       ident.InstanceID(g.Labels["instance"]),
				Addr:     t,
				Role:     g.Labels["role"],
				Upstream: ident.UpstreamID(g.Labels["upstream"]),
				Domain:   ident.DomainID(g.Labels["domain"]),
				Kind:     g.Labels["kind"],
				Leaving:  g.Labels["state"] == StateLeaving,
			}
			if !valid(i) {
				r.skipped.Add(1)
				continue
			}
			out = append(out, i)
		}
	}
	return out
}

func valid(i Instance) bool {
	if _, err := netip.ParseAddrPort(i.Addr); err != nil {
		return false
	}
	return i.Role == RoleEntry || i.Role == RoleAgent && i.Upstream != ""
}
