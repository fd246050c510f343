// Package roster reads the platform's instance list, which has the JSON format of
// Prometheus HTTP service discovery. The last valid list stays in use while the list
// can't be read.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
)

// Values of the labels role and state in the list.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	StateLeaving = "leaving"
)

const (
	// maxListBytes bounds the list; 1,000 instances need about 250 KB.
	maxListBytes = 8 << 20
	// readTimeout bounds one read of the list.
	readTimeout = 3 * time.Second
)

// Instance is an instance in the list.
type Instance struct {
	// ID is empty when the list has no label instance.
	ID ident.InstanceID
	// Addr is IP:PORT.
	Addr string
	Role string
	// Upstream is required for agents.
	Upstream ident.UpstreamID
	Domain   ident.DomainID
	// Kind groups upstreams; it is empty when the list has no such label.
	Kind    string
	Leaving bool
}

// Options are the settings and dependencies of a Roster.
type Options struct {
	// URL is the address of the list; empty means that only Static is used.
	URL string
	// Interval is the time between two reads.
	Interval time.Duration
	Client   *http.Client
	// Static holds the instances that the settings name. They are always part of the
	// list.
	Static []Instance
	// OnUpdate is called with the static instances at the start and with the whole list
	// after each successful read, also when the list has not changed. An empty list
	// after a filled one is not passed on.
	OnUpdate func(is []Instance)
	Log      zerolog.Logger
}

// Roster holds the instance list.
type Roster struct {
	o       Options
	current atomic.Pointer[[]Instance]
	failed  atomic.Uint64
	skipped atomic.Uint64
	// filled is true after the first list that was not empty.
	filled bool
	// etag is the entity tag of the last list, empty when the server sends none. last
	// holds the instances of that list.
	etag string
	last []Instance
}

// New returns a roster that holds the static instances.
func New(o Options) *Roster {
	r := &Roster{o: o}
	s := slices.Clone(o.Static)
	r.current.Store(&s)
	return r
}

// Name implements serve.Component.
func (r *Roster) Name() string { return "roster" }

// Instances returns the list. Callers must not change the slice.
func (r *Roster) Instances() []Instance { return *r.current.Load() }

// Counts returns the number of failed reads and the number of list entries that were
// not usable.
func (r *Roster) Counts() (failed, skipped uint64) { return r.failed.Load(), r.skipped.Load() }

// Run reads the list at each interval until the context ends. It returns nil.
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
	// An empty list after a filled one is taken as a fault of the list. Keeping
	// instances that are gone does no harm, because links check the liveness of their
	// agents.
	if len(is) == 0 && r.filled {
		r.failed.Add(1)
		return
	}
	r.filled = r.filled || len(is) > 0
	is = append(slices.Clone(r.o.Static), is...)
	r.current.Store(&is)
	r.o.OnUpdate(is)
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("read instance list %s: status %d", e.URL, e.Status)
}

// group is a target group in the format of Prometheus HTTP service discovery.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (r *Roster) read(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.o.URL, nil)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Accept", "application/json")
	// A list of 1,000 instances has about 200 KB, and changes a few hundred times a
	// day, so most reads need no transfer.
	if r.etag != "" {
		q.Header.Set("If-None-Match", r.etag)
	}
	p, err := r.o.Client.Do(q)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode == http.StatusNotModified && r.etag != "" {
		return r.last, nil
	}
	if p.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: r.o.URL, Status: p.StatusCode}
	}
	b, err := inlet.ReadAll(p.Body, r.o.URL, maxListBytes)
	if err != nil {
		return nil, err
	}
	var gs []group
	if err := json.Unmarshal(b, &gs); err != nil {
		return nil, fmt.Errorf("read instance list %s: %w", r.o.URL, err)
	}
	r.etag, r.last = p.Header.Get("ETag"), r.instances(gs)
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

// valid reports whether an instance has an IP address with a port and a known role,
// and, for an agent, an upstream.
func valid(i Instance) bool {
	if _, err := netip.ParseAddrPort(i.Addr); err != nil {
		return false
	}
	return i.Role == RoleEntry || i.Role == RoleAgent && i.Upstream != ""
}
