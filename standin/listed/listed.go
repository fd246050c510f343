// Package listed is a stand-in for the platform's instance list. It serves the
// JSON of Prometheus HTTP service discovery: target groups of one address with
// the labels instance, role (entry, agent), upstream, domain and state (live,
// leaving). Each change shows after the lag. The ETag of an answer lets a reader
// ask again for changes only.
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
	// State is live or leaving.
	State string `json:"state"`
	// Labels are further labels.
	Labels map[string]string `json:"labels,omitempty"`
}

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

// New returns an empty list.
func New(lag time.Duration) *List {
	return &List{faults: fault.New("instances", fault.Options{}), lag: lag, visible: map[string]Instance{}}
}

// Faults returns the list's faults.
func (l *List) Faults() *fault.Injector {
	return l.faults
}

// SetLag changes the lag of later changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	l.lag = d
	l.mu.Unlock()
}

// Put registers or changes an instance.
func (l *List) Put(i Instance) {
	if i.State == "" {
		i.State = "live"
	}
	l.schedule(change{instance: i})
}

// Remove takes an instance off the list.
func (l *List) Remove(id string) {
	l.schedule(change{instance: Instance{Instance: id}, removed: true})
}

func (l *List) schedule(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// apply shows the changes that are due; the caller holds the lock.
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

type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

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

// Handler returns the list's HTTP API with its faults.
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
