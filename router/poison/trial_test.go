package poison_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/poison"
)

// quarantineOf returns a quarantine of one part.
func quarantineOf(p int, at time.Time) poison.Quarantine {
	return poison.Quarantine{Parts: []crash.Part{crash.Part(2 * p)}, At: at}
}

// Routers see the row of trials late and write it under the condition that it hasn't changed. Guards
// against more trials of a quarantine than the users' bound allows, and against two trials at a time,
// whatever the routers saw, with crashes in between and the store restored from a copy.
func TestTrialsBounded(t *testing.T) {
	for _, routers := range []int{1, 5, 40, 300} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkTrials(t, routers) }) })
	}
}

// checkTrials draws a history of routers that try quarantines.
func checkTrials(t *rapid.T, routers int) {
	const maxTrials, spacing, episode = 2, 2 * time.Second, 10 * time.Minute
	type view struct {
		trials   poison.Trials
		revision int
	}
	start := time.Unix(1000, 0)
	var row view
	views := make([]view, routers)
	crashed := map[int]time.Time{}
	begun := map[int][]time.Duration{}
	var all []time.Duration
	clock := time.Minute
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		clock += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
		now := start.Add(clock)
		i, q := rapid.IntRange(0, len(views)-1).Draw(t, "router"), rapid.IntRange(1, 3).Draw(t, "quarantine")
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			crashed[q] = now
		case 1:
			views[i] = row
		default:
			x := quarantineOf(q, crashed[q])
			wait, ok := views[i].trials.Next([]poison.Quarantine{x}, now, clock)
			if !ok || wait > 0 || views[i].revision != row.revision {
				continue
			}
			row = view{trials: views[i].trials.With([]poison.Quarantine{x}, clock), revision: row.revision + 1}
			begun[q], all = append(begun[q], clock), append(all, clock)
		}
	}
	for q, ts := range begun {
		for i := maxTrials; i < len(ts); i++ {
			if ts[i]-ts[i-maxTrials] < episode {
				t.Fatalf("quarantine %d: more than %d trials within %s: %v", q, maxTrials, episode, ts)
			}
		}
	}
	for i := 1; i < len(all); i++ {
		if all[i]-all[i-1] < spacing {
			t.Fatalf("trials %s apart, want %s", all[i]-all[i-1], spacing)
		}
	}
}

// Guards against a Retry-After of ten minutes for what may be tried again in seconds, and against a mend
// that is not noticed within a minute.
func TestRetryAfterOfTrials(t *testing.T) {
	at := time.Unix(1000, 0)
	q := quarantineOf(1, at)
	first := poison.Trials{}.With([]poison.Quarantine{q}, time.Hour+3*time.Second)
	second := first.With([]poison.Quarantine{q}, time.Hour+50*time.Second)
	tests := map[string]struct {
		trials poison.Trials
		// age is the time since the crash, which was at an hour of the store's clock.
		age, want time.Duration
	}{
		"no trial yet":      {poison.Trials{}, time.Second, 1500 * time.Millisecond},
		"due":               {poison.Trials{}, 5 * time.Second, 0},
		"after the first":   {first, 10 * time.Second, 38 * time.Second},
		"after the second":  {second, time.Minute, 9 * time.Minute},
		"trial of another":  {poison.Trials{}.With([]poison.Quarantine{quarantineOf(2, at)}, time.Hour+4*time.Second), 5 * time.Second, time.Second},
		"lost by the store": {poison.Trials{}.Merge(first), 10 * time.Second, 38 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := c.trials.RetryAfter([]poison.Quarantine{q}, at.Add(c.age), time.Hour+c.age); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Two quarantines refuse each sound request, as both its parts were found. Found by TestCrashesBeforeAnswer beside other
// runs: guards against quarantines that nothing can end, since only a request that one of them refuses was tried, and
// against a trial that isn't counted for each of them.
func TestTrialOfSeveral(t *testing.T) {
	at := time.Unix(1000, 0)
	a, b := quarantineOf(1, at), quarantineOf(2, at)
	both := []poison.Quarantine{a, b}
	tests := map[string]struct {
		trials poison.Trials
		age    time.Duration
		want   time.Duration
		ok     bool
	}{
		"waits for one that a single one refuses": {poison.Trials{}, 2500 * time.Millisecond, 500 * time.Millisecond, true},
		"due":                                {poison.Trials{}, 3 * time.Second, 0, true},
		"counted for each":                   {poison.Trials{}.With(both, time.Hour+3*time.Second), 10 * time.Second, 38500 * time.Millisecond, true},
		"one of them has no trial left":      {poison.Trials{}.With(both[:1], time.Hour+3*time.Second).With(both[:1], time.Hour+50*time.Second), time.Minute, 0, false},
		"one of them was tried a moment ago": {poison.Trials{}.With(both[:1], time.Hour+3*time.Second), 4 * time.Second, 44500 * time.Millisecond, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := c.trials.Next(both, at.Add(c.age), time.Hour+c.age)
			if got != c.want || ok != c.ok {
				t.Errorf("got %s, %v, want %s, %v", got, ok, c.want, c.ok)
			}
		})
	}
}
