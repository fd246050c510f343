package notice_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
)

func upstream(id string, born int64) *fleet.Upstream {
	return &fleet.Upstream{ID: ident.UpstreamID(id), StartedMs: born}
}

// model is the expected state of one incarnation.
type model struct {
	leaves      bool
	pausedUntil time.Time
}

// Guards against requests to an upstream that is leaving or asked for none, and against
// an upstream that is excluded without such a notice: because of a notice of an earlier
// incarnation, one that arrives twice, late or from another instance, or one that has
// ended.
func TestAvailability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, peer := notice.New(), notice.New()
		now := time.Unix(1_800_000_000, 0)
		want := map[fleet.Incarnation]model{}
		draw := func() fleet.Incarnation {
			id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "id")
			return fleet.Incarnation{ID: ident.UpstreamID(id), StartedMs: rapid.Int64Range(0, 3).Draw(t, "born")}
		}
		change := func(i fleet.Incarnation, f func(m *model)) {
			m := want[i]
			f(&m)
			want[i] = m
		}
		t.Repeat(map[string]func(*rapid.T){
			"leave": func(*rapid.T) {
				i := draw()
				b.MarkLeaving(i, now)
				change(i, func(m *model) { m.leaves = true })
			},
			"leave at another instance": func(*rapid.T) {
				i := draw()
				peer.MarkLeaving(i, now)
			},
			"exchange": func(*rapid.T) {
				for _, i := range peer.RecentlyLeaving(now) {
					change(i, func(m *model) { m.leaves = true })
				}
				b.MergeLeaving(peer.RecentlyLeaving(now), now)
				peer.MergeLeaving(b.RecentlyLeaving(now), now)
			},
			"pause": func(*rapid.T) {
				i := draw()
				d := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond
				b.MarkPaused(i, d, now)
				change(i, func(m *model) {
					if e := now.Add(d); e.After(m.pausedUntil) {
						m.pausedUntil = e
					}
				})
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3_000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { b.Expire(now) },
			"": func(t *rapid.T) {
				for _, id := range []string{"u1", "u2", "u3"} {
					for born := range int64(4) {
						u := upstream(id, born)
						m := want[u.Incarnation()]
						s := b.Availability(u, now)
						ok := false
						switch s := s.(type) {
						case notice.Leaving:
							ok = m.leaves
						case notice.Paused:
							ok = !m.leaves && s.Until.Equal(m.pausedUntil) && now.Before(m.pausedUntil)
						case notice.Available:
							ok = !m.leaves && !now.Before(m.pausedUntil)
						}
						if !ok {
							t.Fatalf("%s born %d is %#v, want %+v", id, born, s, m)
						}
					}
				}
			},
		})
	})
}

// Guards against notices that instances forward to each other forever, and against memory
// and messages that grow with the number of upstreams that left.
func TestNoticeLimits(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := notice.New(), notice.New()
	a.MarkLeaving(fleet.Incarnation{ID: "u"}, now)
	for range 60 {
		now = now.Add(time.Second)
		b.MergeLeaving(a.RecentlyLeaving(now), now)
		a.MergeLeaving(b.RecentlyLeaving(now), now)
	}
	if is := slices.Concat(a.RecentlyLeaving(now), b.RecentlyLeaving(now)); len(is) > 0 {
		t.Errorf("a minute later %v is still forwarded", is)
	}
	for i := range 2_000 {
		a.MarkLeaving(fleet.Incarnation{ID: ident.UpstreamID(fmt.Sprint(i))}, now)
	}
	if n := len(a.RecentlyLeaving(now)); n > 64 {
		t.Errorf("%d upstreams in one message", n)
	}
	if _, ok := a.Availability(upstream("1999", 0), now).(notice.Available); !ok {
		t.Error("more upstreams than the limit are remembered")
	}
	now = now.Add(time.Hour)
	if !a.MarkLeaving(fleet.Incarnation{ID: "1999"}, now) {
		t.Error("expired notices keep new ones out")
	}
	a.MarkPaused(fleet.Incarnation{ID: "q"}, 1e9*time.Second, now)
	if _, ok := a.Availability(upstream("q", 0), now.Add(notice.MaxPause)).(notice.Available); !ok {
		t.Error("a wrong Retry-After excludes an upstream permanently")
	}
}
