package mirror

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// Guards against an evacuation that doesn't reach the list of upstreams, that outlasts its row, that ends as
// its row becomes unreadable, or that leaves an upstream or its entry draining.
func TestEvacuation(t *testing.T) {
	start := EvacuationStarted{Domain: "a", Revision: 5}
	entry := func(draining bool) UpstreamChanged {
		return UpstreamChanged{Upstream: &fleet.Upstream{ID: "u", Domain: "a", Draining: draining}}
	}
	orders := func(snapshot bool, cs ...Change) update {
		return update{topic: TopicOrders, changes: cs, snapshot: snapshot}
	}
	upstreams := func(cs ...Change) update { return update{topic: TopicUpstreams, changes: cs} }
	tests := map[string]struct {
		updates []update
		want    string
	}{
		"row":                           {[]update{orders(false, start)}, "[a] true"},
		"removal":                       {[]update{orders(false, start), orders(false, EvacuationEnded{Domain: "a"})}, "[] false"},
		"snapshot with the row":         {[]update{orders(false, start), orders(true, start)}, "[a] true"},
		"snapshot without the row":      {[]update{orders(false, start), orders(true)}, "[] false"},
		"snapshot of another topic":     {[]update{orders(false, start), {topic: TopicProgress, snapshot: true}}, "[a] true"},
		"another domain":                {[]update{orders(false, EvacuationStarted{Domain: "b", Revision: 5})}, "[b] false"},
		"unreadable row":                {[]update{orders(false, start), orders(false, InvalidRecord{Key: "evacuate/a", Domain: "a"})}, "[a] true"},
		"unreadable row in a snapshot":  {[]update{orders(false, start), orders(true, InvalidRecord{Key: "evacuate/a", Domain: "a"})}, "[a] true"},
		"unreadable row of no known":    {[]update{orders(true, InvalidRecord{Key: "evacuate/a", Domain: "a"})}, "[] false"},
		"entry is written meanwhile":    {[]update{orders(false, start), upstreams(entry(false))}, "[a] true"},
		"upstream drains meanwhile":     {[]update{orders(false, start), upstreams(entry(true)), orders(true)}, "[] true"},
		"evacuated again after its end": {[]update{orders(false, start), orders(true), orders(false, EvacuationStarted{Domain: "a", Revision: 9})}, "[a] true"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(io.Discard))
			s := newStoreState()
			n.applyUpdate(s, upstreams(entry(false)))
			for _, u := range c.updates {
				n.applyUpdate(s, u)
			}
			v := s.view()
			if got := fmt.Sprint(v.Evacuated, " ", v.Fleet.All()["u"].Draining); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a store restored from a copy that ends an evacuation before the operator could write it
// again, that keeps one which the operator doesn't write again, or that begins one which had ended.
func TestEvacuationOfCopy(t *testing.T) {
	at := func(e Era, version uint64) EvacuationStarted {
		return EvacuationStarted{Domain: "a", Revision: NewRevision(e, version)}
	}
	ended := EvacuationEnded{Domain: "a"}
	tests := map[string]struct {
		before, copied, after []Change
		// snapshot is true if a snapshot of the new era without changes is read after all that.
		snapshot bool
		// soon and later are whether the domain is evacuated right after the restore and after doubtTime.
		soon, later bool
	}{
		"held by the copy":              {[]Change{at(1, 5)}, []Change{at(2, 5)}, nil, false, true, true},
		"lost":                          {[]Change{at(1, 5)}, nil, nil, false, true, false},
		"lost, another snapshot":        {[]Change{at(1, 5)}, nil, nil, true, true, false},
		"lost and written again":        {[]Change{at(1, 5)}, nil, []Change{at(2, 7)}, false, true, true},
		"lost, written and removed":     {[]Change{at(1, 5)}, nil, []Change{at(2, 7), ended}, false, false, false},
		"ended, held by the copy":       {[]Change{at(1, 5), ended}, []Change{at(2, 5)}, nil, false, false, true},
		"ended, removed again":          {[]Change{at(1, 5), ended}, []Change{at(2, 5)}, []Change{ended}, false, false, false},
		"ended, written anew":           {[]Change{at(1, 5), ended}, []Change{at(2, 7)}, nil, false, true, true},
		"kept by a peer that it reads":  {nil, []Change{at(1, 5)}, nil, false, true, false},
		"kept by a peer, known as such": {[]Change{at(1, 5)}, []Change{at(1, 5)}, nil, false, true, false},
		"never evacuated":               {nil, nil, nil, false, false, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(io.Discard))
			s := newStoreState()
			n.applyUpdate(s, update{topic: TopicOrders, changes: c.before, era: 1})
			n.applyUpdate(s, update{topic: TopicOrders, changes: c.copied, era: 2, snapshot: true, restored: true})
			n.applyUpdate(s, update{topic: TopicOrders, changes: c.after, era: 2})
			if c.snapshot {
				n.applyUpdate(s, update{topic: TopicOrders, era: 2, snapshot: true})
			}
			for _, x := range []struct {
				at   time.Duration
				want bool
			}{{doubtTime - 1, c.soon}, {doubtTime, c.later}} {
				s.expire(x.at)
				if got := len(s.view().Evacuated) > 0; got != x.want {
					t.Errorf("evacuated %v at %s after the restore, want %v", got, x.at, x.want)
				}
			}
		})
	}
}

// Guards against evacuations without bound, and against a bound that hides one that is in force.
func TestEvacuationsBounded(t *testing.T) {
	n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(io.Discard))
	s := newStoreState()
	for range 2 {
		for i := range maxEvacuated + 3 {
			n.applyUpdate(s, update{topic: TopicOrders, changes: []Change{EvacuationStarted{Domain: ident.DomainID(fmt.Sprint(i)), Revision: 1}}})
		}
	}
	if got := len(s.view().Evacuated); got != maxEvacuated {
		t.Errorf("%d evacuated, want %d", got, maxEvacuated)
	}
	if got := n.IgnoredRows(); got != 6 {
		t.Errorf("%d rows ignored, want 6", got)
	}
}

// evacuationStore is a store of evacuations that the test changes.
type evacuationStore struct {
	countingStore
	mu      sync.Mutex
	version uint64
	era     Era
	rows    map[string]Record
	changes []Record
}

func newEvacuationStore(began time.Time) *evacuationStore {
	s := &evacuationStore{version: 1, era: 1, rows: map[string]Record{}}
	s.snapshot = func(t Topic) (ReadResult, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		p := ReadResult{Snapshot: true, Revision: NewRevision(s.era, s.version), StoreClock: time.Since(began)}
		for _, r := range s.rows {
			if t == TopicOrders {
				p.Records = append(p.Records, r)
			}
		}
		return p, nil
	}
	s.watch = func(ctx context.Context, t Topic, after Revision) (ReadResult, error) {
		select {
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if after.Era() != s.era {
			return ReadResult{}, &HistoryLostError{Topic: t, After: after}
		}
		p := ReadResult{Revision: NewRevision(s.era, s.version), StoreClock: time.Since(began)}
		for _, r := range s.changes {
			if t == TopicOrders && r.Revision > after {
				p.Records = append(p.Records, r)
			}
		}
		return p, nil
	}
	return s
}

// set writes or removes the row of a domain.
func (s *evacuationStore) set(domain string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := Record{Key: "evacuate/" + domain, Revision: NewRevision(s.era, s.version), Removed: !evacuated}
	delete(s.rows, r.Key)
	if evacuated {
		s.rows[r.Key] = r
	}
	s.changes = append(s.changes, r)
}

// restore replaces the content by a copy without rows.
func (s *evacuationStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows, s.changes = 1, map[string]Record{}, nil
}

// Decode implements Decoder for rows of evacuations.
func (*evacuationStore) Decode(_ Topic, rs []Record) []Change {
	var cs []Change
	for _, r := range rs {
		d := ident.DomainID(strings.TrimPrefix(r.Key, "evacuate/"))
		if r.Removed {
			cs = append(cs, EvacuationEnded{Domain: d})
			continue
		}
		cs = append(cs, EvacuationStarted{Domain: d, Revision: r.Revision})
	}
	return cs
}

// Guards against routers that read through peers and miss an evacuation or its end, against one that starts
// after the store lost the row and uses the upstreams at once, and against rows that peers keep for good.
func TestEvacuationThroughPeers(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		s := newEvacuationStore(c.began)
		unused := newCountingStore(c.began)
		unused.failing.Store(true)
		first := c.newSyncer(s)
		// run starts a router that reads through a peer and can't reach the store.
		run := func(peer *Syncer) *Syncer {
			n := New(&decodingStore{unused, s}, []Peer{{Address: "a", Source: &localPeer{syncer: peer}}}, c.now, zerolog.New(io.Discard))
			c.run(n)
			time.Sleep(time.Second)
			return n
		}
		c.run(first)
		time.Sleep(time.Second)
		second := run(first)
		ns := map[string]*Syncer{"first": first, "second": second, "third": run(second)}
		check := func(when, want string) {
			t.Helper()
			for name, n := range ns {
				if got := fmt.Sprint(n.View().Evacuated); got != want {
					t.Errorf("%s, %s: %s evacuated, want %s", when, name, got, want)
				}
			}
		}
		s.set("b", true)
		time.Sleep(2 * time.Second)
		check("row written", "[b]")
		s.set("a", true)
		s.set("b", false)
		time.Sleep(2 * time.Second)
		check("row removed", "[a]")
		s.restore()
		time.Sleep(2 * time.Second)
		check("row lost", "[a]")
		ns["started meanwhile"] = run(second)
		check("started meanwhile", "[a]")
		time.Sleep(2*doubtTime + time.Second)
		check("not written again", "[]")
		ns["started later"] = run(first)
		check("started later", "[]")
	})
}

// decodingStore reads from one store and decodes by another.
type decodingStore struct {
	*countingStore
	decoder Decoder
}

func (s *decodingStore) Decode(t Topic, rs []Record) []Change { return s.decoder.Decode(t, rs) }
