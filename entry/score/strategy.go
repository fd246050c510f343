package score

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Strategy selects an upstream from the candidates. The implementations are Predicted
// and the baselines that it is compared with, RoundRobin and LeastOutstanding.
type Strategy interface{ strategy() }

// Predicted selects the least predicted time in a bounded sample; see Pick.
type Predicted struct{}

// RoundRobin selects the upstreams in turn. It ignores ejections.
type RoundRobin struct{ next *atomic.Uint64 }

// LeastOutstanding selects the upstream with the fewest requests outstanding from this
// entry. It ignores ejections.
type LeastOutstanding struct{}

func (Predicted) strategy()        {}
func (RoundRobin) strategy()       {}
func (LeastOutstanding) strategy() {}

// UnknownStrategyError reports a strategy name in the settings that doesn't exist.
type UnknownStrategyError struct {
	Name string
}

func (e *UnknownStrategyError) Error() string {
	return fmt.Sprintf("choose upstream strategy %q: want predicted, round-robin or least-outstanding", e.Name)
}

// ParseStrategy returns the strategy with the given name in the settings, or an
// *UnknownStrategyError.
func ParseStrategy(s string) (Strategy, error) {
	switch s {
	case "predicted":
		return Predicted{}, nil
	case "round-robin":
		return RoundRobin{next: &atomic.Uint64{}}, nil
	case "least-outstanding":
		return LeastOutstanding{}, nil
	default:
		return nil, &UnknownStrategyError{Name: s}
	}
}

// Choose selects an upstream by the strategy. It returns false when no candidate is
// eligible.
func Choose(s Strategy, us []*Upstream, r Request, now time.Time) (Choice, bool) {
	switch s := s.(type) {
	case RoundRobin:
		if len(us) == 0 {
			return Choice{}, false
		}
		o := int(s.next.Add(1) % uint64(len(us)))
		return firstEligible(us, r, now, func(i int) *Upstream { return us[(o+i)%len(us)] })
	case LeastOutstanding:
		return leastOutstanding(us, r, now)
	default:
		return Pick(us, r, now)
	}
}

// firstEligible returns the first upstream, in the order of at, that was not tried
// yet.
func firstEligible(us []*Upstream, r Request, now time.Time, at func(int) *Upstream) (Choice, bool) {
	for i := range us {
		if u := at(i); !excluded(r.Exclude, u.ID) {
			return choiceOf(u, r, now), true
		}
	}
	return Choice{}, false
}

func leastOutstanding(us []*Upstream, r Request, now time.Time) (Choice, bool) {
	var best *Upstream
	for _, u := range us {
		if excluded(r.Exclude, u.ID) {
			continue
		}
		if best == nil || u.Outstanding.Requests() < best.Outstanding.Requests() {
			best = u
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return choiceOf(best, r, now), true
}

func choiceOf(u *Upstream, r Request, now time.Time) Choice {
	f, e := Predict(u, r, now)
	return Choice{Upstream: u, FirstToken: f, End: e}
}
