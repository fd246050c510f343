// Package listed is a stand-in for the platform's instance list. It serves the JSON of
// Prometheus HTTP service discovery: one target group per instance, with one address and the
// labels instance, role (entry, agent), upstream, domain and state (live, leaving). A change
// becomes visible after the lag. A request whose If-None-Match holds the ETag of the current
// list gets 304.
package listed

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"tarragonvalve.example/standin/fault"
)

// Instance is one registered instance.
type Instance struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	// Role is entry or agent.
	Role     string `json:"role"`
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	// State is live or leaving; empty means live.
	State string `json:"state"`
	// Labels are additional labels of the target group.
	Labels map[string]string `json:"labels,omitempty"`
}

// change is a registration or removal that becomes visible at a time.
type change struct {
	at       time.Time
	instance Instance
	removed  bool
}

// List is the instance list. It is safe for concurrent use.
type List struct {
	faults *fault.Injector

	mu      sync.Mutex
	lag     time.Duration
	pending []change
	visible map[string]Instance
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List {
	return &List{faults: fault.New("instances", fault.Options{}), lag: lag, visible: map[string]Instance{}}
}

// Faults returns the list's fault injector.
func (l *List) Faults() *fault.Injector {
	return l.faults
}

// SetLag sets the lag of later changes; those that are pending keep theirs.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	l.lag = d
	l.mu.Unlock()
}

// Put registers an instance or replaces its registration, visible after the lag.
func (l *List) Put(i Instance) {
	if i.State == "" {
		i.State = "live"
	}
	l.schedule(change{instance: i})
}

// Remove removes the registration of an instance, visible after the lag.
func (l *List) Remove(id string) {
	l.schedule(change{instance: Instance{Instance: id}, removed: true})
}

func (l *List) schedule(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// apply makes the changes that are due visible. The caller holds the lock.
func (l *List) apply(now time.Time) {
	left := l.pending[:0]
	for _, c := range l.pending {
		switch {
		case c.at.After(now):
			left = append(left, c)
		case c.removed:
			delete(l.visible, c.instance.Instance)
		default:
			l.visible[c.instance.Instance] = c.instance
		}
	}
	l.pending = left
}

// targetGroup is a target group of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// targetGroups returns the visible instances, sorted by id.
func (l *List) targetGroups() []targetGroup {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(time.Now())
	out := []targetGroup{}
	for _, i := range l.visible {
		g := targetGroup{Targets: []string{i.Address}, Labels: map[string]string{
			"instance": i.Instance,
			"role":     i.Role,
			"upstream": i.Upstream,
			"domain":   i.Domain,
			"state":    i.State,
		}}
		for k, v := range i.Labels {
			g.Labels[k] = v
		}
		out = append(out, g)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Labels["instance"] < out[b].Labels["instance"] })
	return out
}

// Handler returns the list's HTTP handler with its fault injector applied.
func (l *List) Handler() http.Handler {
	return l.faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := json.Marshal(l.targetGroups())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		h := fnv.New64a()
		_, _ = h.Write(b)
		tag := fmt.Sprintf("%q", strconv.FormatUint(h.Sum64(), 16))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(b)
	}))
}
