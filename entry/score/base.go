package score

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Strategy chooses upstreams; the sealed cases are Predicted and the baselines
// that it is measured against.
type Strategy interface{ strategy() }

// Predicted takes the least predicted time of a bounded sample; see Pick.
type Predicted struct{}

// RoundRobin takes upstreams in turn.
type RoundRobin struct{ turn *atomic.Uint64 }

// LeastOutstanding takes the upstream with the least work outstanding from this entry.
type LeastOutstanding struct{}

func (Predicted) strategy()        {}
func (RoundRobin) strategy()       {}
func (LeastOutstanding) strategy() {}

// NameError reports an unknown name in the settings.
type NameError struct {
	Name string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("choose upstream strategy %q: want predicted, round-robin or least-outstanding", e.Name)
}

// ParseStrategy returns the strategy of a name in the settings.
func ParseStrategy(s string) (Strategy, error) {
	switch s {
	case "predicted":
		return Predicted{}, nil
	case "round-robin":
		return RoundRobin{turn: &atomic.Uint64{}}, nil
	case "least-outstanding":
		return LeastOutstanding{}, nil
	default:
		return nil, &NameError{Name: s}
	}
}

// Choose picks an upstream by a strategy. It returns false when no candidate is eligible.
func Choose(s Strategy, us []*Upstream, r Request, now time.Time) (Choice, bool) {
	switch s := s.(type) {
	case RoundRobin:
		if len(us) == 0 {
			return Choice{}, false
		}
		o := int(s.turn.Add(1) % uint64(len(us)))
		return first(us, r, now, func(i int) *Upstream { return us[(o+i)%len(us)] })
	case LeastOutstanding:
		return least(us, r, now)
	default:
		return Pick(us, r, now)
	}
}

func first(us []*Upstream, r Request, now time.Time, at func(int) *Upstream) (Choice, bool) {
	for i := range us {
		if u := at(i); !excluded(r.Exclude, u.ID) {
			return chosen(u, r, now), true
		}
	}
	return Choice{}, false
}

func least(us []*Upstream, r Request, now time.Time) (Choice, bool) {
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
	return chosen(best, r, now), true
}

func chosen(u *Upstream, r Request, now time.Time) Choice {
	f, e := Predict(u, r, now)
	return Choice{Upstream: u, FirstToken: f, End: e}
}
