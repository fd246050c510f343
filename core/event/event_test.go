package event_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1701")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_800_000_000_000)

// Guards against timelines in which an effect precedes its cause, an event is lost or
// repeated, or the order depends on the order of the processes, although their wall
// clocks differ and jump.
func TestMergeKeepsCausality(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const processes = 3
		offsets := rapid.SliceOfN(rapid.IntRange(-20_000, 20_000), 40, 40).Draw(r, "clock offsets")
		steps := rapid.SliceOfN(rapid.IntRange(0, processes*processes-1), 1, 40).Draw(r, "messages")
		now := epoch
		var rings []*event.Ring
		for i := range processes {
			c := event.NewClock(func() time.Time { return now.Add(time.Duration(offsets[i]) * time.Millisecond) })
			rings = append(rings, event.NewRing(c, ident.InstanceID(fmt.Sprint(i)), 100))
		}
		for i, s := range steps {
			now = epoch.Add(time.Duration(offsets[i%len(offsets)]) * time.Millisecond / 10)
			from, to := rings[s/processes], rings[s%processes]
			from.Record(event.Event{Request: ident.RequestID(fmt.Sprint(2 * i))})
			to.Clock().Observe(from.Clock().Next())
			to.Record(event.Event{Request: ident.RequestID(fmt.Sprint(2*i + 1))})
		}
		var lists [][]event.Event
		for _, x := range rings {
			es, _ := x.Snapshot()
			lists = append(lists, es)
		}
		timeline := event.Merge(append(lists, lists[0])...)
		slices.Reverse(lists)
		if !reflect.DeepEqual(timeline, event.Merge(lists...)) {
			r.Error("the order depends on the order of the processes")
		}
		at := map[ident.RequestID]int{}
		for i, e := range timeline {
			at[e.Request] = i
		}
		if len(timeline) != 2*len(steps) || len(at) != len(timeline) {
			r.Errorf("%d events of %d", len(timeline), 2*len(steps))
		}
		for i := range steps {
			if at[ident.RequestID(fmt.Sprint(2*i))] > at[ident.RequestID(fmt.Sprint(2*i+1))] {
				r.Errorf("message %d arrives before it is sent", i)
			}
		}
	})
}

// Guards against a process with a wrong clock that moves the clocks of the others.
func TestObserveIgnoresWrongClock(t *testing.T) {
	c := event.NewClock(func() time.Time { return epoch })
	wrong := event.NewClock(func() time.Time { return epoch.Add(time.Hour) })
	if c.Observe(wrong.Next()) || !c.Next().Time().Equal(epoch) {
		t.Errorf("clock moved to %s", c.Next().Time())
	}
}

// Guards against a ring that overflows without counting it or loses new events, and
// against filters that select too much or drop the newest events.
func TestRingAndFilter(t *testing.T) {
	ring := event.NewRing(event.NewClock(func() time.Time { return epoch }), "i", 3)
	for i := range 5 {
		ring.Record(event.Event{Kind: event.RequestEnded, Request: ident.RequestID(fmt.Sprint(i)), Account: "a"})
	}
	es, overwritten := ring.Snapshot()
	if len(es) != 3 || es[0].Request != "2" || es[2].Request != "4" || overwritten != 2 {
		t.Errorf("%v, %d overwritten", es, overwritten)
	}
	for name, c := range map[string]struct {
		filter event.Filter
		want   int
	}{
		"all":      {want: 3},
		"newest":   {filter: event.Filter{Limit: 1}, want: 1},
		"request":  {filter: event.Filter{Request: "3"}, want: 1},
		"account":  {filter: event.Filter{Account: "b"}},
		"time":     {filter: event.Filter{Since: epoch.Add(time.Second)}},
		"version":  {filter: event.Filter{Version: "m@v"}},
		"no match": {filter: event.Filter{Session: "s"}},
	} {
		got := event.Select(es, c.filter)
		if len(got) != c.want || (name == "newest" && got[0].Request != "4") {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Guards against events that change on the way between processes, and against a count
// of overwritten events that is lost when no event matched.
func TestReceive(t *testing.T) {
	e := event.Event{
		Stamp: 5, Instance: "i", Kind: event.VersionHalted, Request: "r", Session: "s", Account: "a",
		Version: ident.VersionRef{Model: "m", Version: "v"}, Fields: map[string]string{"k": "v"},
	}
	sent := []*wire.Event{event.ToWire(e), {Instance: "i", Overwritten: 7}}
	got, overwritten, err := event.Receive(func() (*wire.Event, error) {
		if len(sent) == 0 {
			return nil, io.EOF
		}
		m := sent[0]
		sent = sent[1:]
		return m, nil
	})
	if err != nil || overwritten != 7 || !reflect.DeepEqual(got, []event.Event{e}) {
		t.Errorf("got %v, %d, %v", got, overwritten, err)
	}
}
