package mirror

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
)

// Guards against a peer that hands on the changes of a new era of the store as a continuation of the
// history before it: removals would be missing.
func TestLogOfNewEra(t *testing.T) {
	var l recordLog
	l.add(ReadResult{Snapshot: true, Revision: NewRevision(1, 57), Records: []Record{{Key: "a", Revision: NewRevision(1, 50)}, {Key: "b", Revision: NewRevision(1, 57)}}}, 0)
	l.add(ReadResult{Snapshot: true, Revision: NewRevision(2, 40), Records: []Record{{Key: "a", Revision: NewRevision(2, 12)}}}, 0)
	if _, _, _, err := l.read(TopicOrders, NewRevision(1, 57), false); err == nil {
		t.Error("a peer of the era before gets changes, want a HistoryLostError")
	}
	p, _, _, err := l.read(TopicOrders, NewRevision(2, 39), false)
	if err == nil {
		t.Errorf("a peer of the copy's time gets %+v, want a HistoryLostError", p)
	}
	if p, _, _, err = l.read(TopicOrders, NewRevision(2, 40), false); err != nil || len(p.Records) > 0 {
		t.Errorf("a peer that knows the snapshot gets %+v, %v", p, err)
	}
	if p, _, _, err = l.read(TopicOrders, 0, true); err != nil || len(p.Records) != 1 {
		t.Errorf("a snapshot is %+v, %v", p, err)
	}
}

// Guards against positions of a later era that count as earlier.
func TestRevision(t *testing.T) {
	tests := map[string]struct{ earlier, later Revision }{
		"one era":            {NewRevision(1, 57), NewRevision(1, 58)},
		"restored":           {NewRevision(1, 57), NewRevision(2, 12)},
		"before any restore": {NewRevision(0, 57), NewRevision(1, 1)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if c.earlier >= c.later {
				t.Errorf("%d is not before %d", c.earlier, c.later)
			}
		})
	}
	if r := NewRevision(3, 57); r.Era() != 3 || r.Version() != 57 {
		t.Errorf("era %d, version %d", r.Era(), r.Version())
	}
}

// Guards against upstreams that a copy brings back although they have ended, announced their shutdown
// or restarted since, and against upstreams that are kept out for good.
func TestUpstreamsOfCopy(t *testing.T) {
	ready := &fleet.Upstream{ID: "u", StartedMs: 5}
	draining := &fleet.Upstream{ID: "u", StartedMs: 5, Draining: true}
	next := &fleet.Upstream{ID: "u", StartedMs: 9}
	tests := map[string]struct {
		before, copied, after Change
		// soon and later describe the upstream right after the restore and when the doubt is over.
		soon, later string
	}{
		"ended":                         {UpstreamRemoved{ID: "u"}, UpstreamChanged{Upstream: ready}, nil, "", "5"},
		"ended, entry expires":          {UpstreamRemoved{ID: "u"}, UpstreamChanged{Upstream: ready}, UpstreamRemoved{ID: "u"}, "", ""},
		"ended, writes again":           {UpstreamRemoved{ID: "u"}, UpstreamChanged{Upstream: ready}, UpstreamChanged{Upstream: ready}, "5", "5"},
		"draining":                      {UpstreamChanged{Upstream: draining}, UpstreamChanged{Upstream: ready}, nil, "5 draining", "5"},
		"draining, writes again":        {UpstreamChanged{Upstream: draining}, UpstreamChanged{Upstream: ready}, UpstreamChanged{Upstream: draining}, "5 draining", "5 draining"},
		"draining, entry expires":       {UpstreamChanged{Upstream: draining}, UpstreamChanged{Upstream: ready}, UpstreamRemoved{ID: "u"}, "", ""},
		"restarted":                     {UpstreamChanged{Upstream: next}, UpstreamChanged{Upstream: ready}, UpstreamChanged{Upstream: next}, "9", "9"},
		"started again after an ending": {UpstreamRemoved{ID: "u"}, UpstreamChanged{Upstream: next}, nil, "9", "9"},
		"known":                         {nil, UpstreamChanged{Upstream: ready}, nil, "5", "5"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(io.Discard))
			s := newStoreState()
			apply := func(x Change, restored bool) {
				if x != nil {
					n.applyUpdate(s, update{topic: TopicUpstreams, changes: []Change{x}, snapshot: restored, restored: restored})
				}
			}
			got := func() string {
				u := s.upstreams["u"]
				switch {
				case u == nil:
					return ""
				case u.Draining:
					return fmt.Sprint(u.StartedMs, " draining")
				default:
					return fmt.Sprint(u.StartedMs)
				}
			}
			apply(UpstreamChanged{Upstream: ready}, false)
			apply(c.before, false)
			apply(c.copied, true)
			apply(c.after, false)
			if got() != c.soon {
				t.Errorf("%q after the restore, want %q", got(), c.soon)
			}
			s.expire(time.Minute)
			if got() != c.later {
				t.Errorf("%q later, want %q", got(), c.later)
			}
		})
	}
}

// Guards against a roll-out that begins once more, or whose phase goes back, since the store lost its
// order or its progress.
func TestRolloutOfCopy(t *testing.T) {
	order := func(e Era, version uint64, to fleet.Version) RolloutOrdered {
		return RolloutOrdered{Order: canary.Order{Service: "s", To: to, MaxDuration: time.Minute, Revision: uint64(NewRevision(e, version)), Origin: uint64(NewRevision(e, version))}}
	}
	progress := func(e Era, version uint64, of RolloutOrdered, p canary.Phase) ProgressChanged {
		return ProgressChanged{Revision: NewRevision(e, version), Progress: canary.Progress{Service: "s", To: of.Order.To, Order: of.Order.Revision, Phase: p}}
	}
	known := order(1, 57, "v3")
	tests := map[string]struct {
		// orders and progress are the first snapshots after the restore, after is what is written later.
		orders, progress, after []Change
		want                    string
	}{
		"nothing lost":              {[]Change{order(2, 57, "v3")}, []Change{progress(2, 60, known, canary.PhaseCompleted)}, nil, "v3 2/57 completed at 2/60, lost"},
		"progress lost":             {[]Change{order(2, 57, "v3")}, nil, nil, "v3 2/57 completed at 0/0, lost"},
		"progress lost and written": {[]Change{order(2, 57, "v3")}, nil, []Change{progress(2, 61, order(2, 57, "v3"), canary.PhaseCompleted)}, "v3 2/57 completed at 2/61"},
		"phase of the copy":         {[]Change{order(2, 57, "v3")}, []Change{progress(2, 58, known, canary.PhaseCanary)}, nil, "v3 2/57 completed at 2/58, lost"},
		"begun anew by another":     {[]Change{order(2, 57, "v3")}, nil, []Change{progress(2, 61, order(2, 57, "v3"), canary.PhaseCanary)}, "v3 2/57 completed at 2/61, lost"},
		"written before rebinding":  {[]Change{order(2, 57, "v3")}, nil, []Change{progress(2, 61, known, canary.PhaseReverted)}, "v3 2/57 reverted at 2/61, lost"},
		"order lost":                {nil, nil, nil, "v3 1/57 completed at 0/0, lost"},
		"order lost and written":    {nil, nil, []Change{order(2, 44, "v3")}, "v3 2/44 completed at 0/0, lost"},
		"order of the copy":         {[]Change{order(2, 12, "v2")}, nil, []Change{order(2, 44, "v3")}, "v3 2/44 completed at 0/0, lost"},
		"new order":                 {nil, nil, []Change{order(2, 44, "v4")}, "v4 2/44 completed of another at 0/0, lost"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(io.Discard))
			s := newStoreState()
			for _, x := range []Change{known, progress(1, 60, known, canary.PhaseCompleted)} {
				s.apply(x, 0)
			}
			n.applyUpdate(s, update{topic: TopicOrders, changes: c.orders, snapshot: true, restored: true})
			n.applyUpdate(s, update{topic: TopicProgress, changes: c.progress, snapshot: true, restored: true})
			n.applyUpdate(s, update{changes: c.after})
			o, p := s.orders["s"], s.progress["s"]
			at := func(r Revision) string { return fmt.Sprintf("%d/%d", r.Era(), r.Version()) }
			got := fmt.Sprintf("%s %s %s", o.To, at(Revision(o.Revision)), p.Progress.Phase)
			if p.Progress.Order != o.Revision {
				got += " of another"
			}
			got += " at " + at(p.Revision)
			if p.Lost {
				got += ", lost"
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if again := o.To == known.Order.To; again != (o.Origin == known.Order.Origin) {
				t.Errorf("the order to %s has the origin %s", o.To, at(Revision(o.Origin)))
			}
		})
	}
}
