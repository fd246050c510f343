package pacer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/pacer"
)

func Example() {
	now := time.Unix(1_800_000_000, 0)
	for rank := range 3 {
		s := pacer.New(2, pacer.Share{Rank: rank, Size: 3}, "u1")
		first := s.Next(time.Time{}, now)
		fmt.Println(s.Next(first, now).Sub(first), s.TTL())
	}
	// Output:
	// 1.5s 1.5s
	// 1.5s 1.5s
	// 1.5s 1.5s
}

// The users' rule for a limit: in any window at most factor times what the limit allows in it,
// and tolerance.
const (
	window    = 4 * time.Second
	factor    = 1.5
	tolerance = 5
)

// instance is one of those that share a rate.
type instance struct {
	slots pacer.Slots
	// skew is how far its clock is ahead.
	skew  time.Duration
	taken time.Time
}

// send reports whether the instance may send a request at now.
func (i *instance) send(now time.Time) bool {
	now = now.Add(i.skew)
	next := i.slots.Next(i.taken, now)
	if next.After(now) {
		return false
	}
	i.taken = next
	return true
}

// Guards against instances that together exceed a rate, however many they are, whenever requests
// come and although their clocks differ, and against a rate that is left unused under load.
func TestRateOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 26, 103, 400}).Draw(t, "instances")
		rate := rapid.SampledFrom([]float64{0, 0.3, 1, 2.1, 10, 60}).Draw(t, "rate")
		// max_skew_ms of the users is 5,000 and more.
		skew := time.Duration(rapid.IntRange(0, 5_000).Draw(t, "skew ms")) * time.Millisecond
		idle := time.Duration(rapid.IntRange(0, 30).Draw(t, "idle s")) * time.Second
		u := ident.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 9).Draw(t, "upstream")))
		is := make([]*instance, n)
		for r := range is {
			is[r] = &instance{
				slots: pacer.New(call.Rate(rate), pacer.Share{Rank: r, Size: n}, u),
				skew:  time.Duration(rapid.Int64Range(0, int64(skew)).Draw(t, "skew")),
			}
		}
		start := time.Unix(1_800_000_000, 0).Add(idle)
		var sent []time.Time
		const tick, span = 20 * time.Millisecond, 20 * time.Second
		for at := time.Duration(0); at < span; at += tick {
			for _, i := range is {
				for i.send(start.Add(at)) {
					sent = append(sent, start.Add(at))
				}
			}
		}
		for k, s := range sent {
			end, _ := slices.BinarySearchFunc(sent, s.Add(window), time.Time.Compare)
			if allowed := factor*rate*window.Seconds() + tolerance; float64(end-k) > allowed {
				t.Fatalf("%d requests within %s, allowed %.1f", end-k, window, allowed)
			}
		}
		if want := int(rate*span.Seconds()) - 1; len(sent) < want {
			t.Errorf("%d requests in %s under full load, the rate allows %d", len(sent), span, want)
		}
	})
}

// Guards against a share that grows beyond its rate each time that the number of instances or the
// rate changes.
func TestShareChanges(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	i := &instance{}
	sent := 0
	const changes, pause = 200, 100 * time.Millisecond
	for k := range changes {
		i.slots = pacer.New(4, pacer.Share{Rank: k * 7, Size: 4 + k%3}, "u1")
		for i.send(now) {
			sent++
		}
		now = now.Add(pause)
	}
	// Half a period of the smallest share lies between two requests, and the unused slots of the
	// first second come on top.
	if most := int((changes*pause).Seconds()*2) + 2; sent > most {
		t.Errorf("%d requests in %s, want at most %d", sent, changes*pause, most)
	}
}
