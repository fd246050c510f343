// Package policy owns the state of an entry's routing decisions. One control
// goroutine steps the pure packages plan, limit, retry and guard; traffic
// goroutines send it queries and observations over channels.
package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/steps"
)

// Auto is the model name with which a caller leaves the choice of models to the router.
const Auto = "auto"

// Query is what a plan depends on.
type Query struct {
	View    *spread.View
	Account *envdoc.Account
	Task    ident.TaskID
	// Model is a model, MODEL@VERSION or Auto.
	Model   string
	Request ident.RequestID
	Session ident.SessionID
	// Pin is the version of the session; zero for a new session.
	Pin ident.VersionRef
	// StartsSession is true when the caller starts a session whose later turns follow this
	// one's version; it then gets no cascade.
	StartsSession bool
	// Isolated keeps new sessions off versions in roll-out.
	Isolated bool
	Input    ident.Tokens
	// MaxOutput bounds the answer.
	MaxOutput ident.Tokens
	// TimeLeft is the time until the caller's deadline; 0 means none.
	TimeLeft time.Duration
}

// Decision is a plan for a request.
type Decision struct {
	plan.Choice
	// Pin is the version that the session keeps.
	Pin ident.VersionRef
	// Moved is true when the session left a withdrawn or halted version.
	Moved bool
	// Output is the expected number of output tokens.
	Output ident.Tokens
}

// RequestSize is what a request will use, as far as it is known before it runs.
type RequestSize struct {
	Task      ident.TaskID
	Input     ident.Tokens
	MaxOutput ident.Tokens
}

// Outcome is what is known of one attempt that ended.
type Outcome struct {
	Request ident.RequestID
	Account ident.AccountID
	Task    ident.TaskID
	Session ident.SessionID
	Version ident.VersionRef
	// EscalatedFrom is the version whose weak answer this attempt replaces; zero for a first attempt.
	EscalatedFrom ident.VersionRef
	Failed        bool
	// FirstToken and Total are measured from the start of the attempt.
	FirstToken time.Duration
	Total      time.Duration
	// Queued is the part of Total that the attempt waited in the agent's queue.
	Queued  time.Duration
	Output  ident.Tokens
	Logprob float64
}

// Rating is a late rating of an answer.
type Rating struct {
	Account       ident.AccountID
	Task          ident.TaskID
	Version       ident.VersionRef
	EscalatedFrom ident.VersionRef
	Logprob       float64
	Good          bool
}

// Halter halts a version everywhere; spread.Replica implements it.
type Halter interface {
	Halt(ctx context.Context, r ident.VersionRef, reason string) error
}

// Strategy chooses plans for requests that leave the model to the router; the
// sealed cases are Adaptive and the baselines that it is measured against.
type Strategy interface{ strategy() }

// Adaptive takes the best plan by ratings, cost and time.
type Adaptive struct{}

// BestModel always takes the model with the highest quality prior.
type BestModel struct{}

// FixedCascade always tries the cheapest model first and escalates to the one
// with the highest quality prior below a fixed log-probability.
type FixedCascade struct{ MinLogprob float64 }

func (Adaptive) strategy()     {}
func (BestModel) strategy()    {}
func (FixedCascade) strategy() {}

// fixedBelow is the threshold of the fixed cascade, the middle of the bins that Adaptive chooses from.
const fixedBelow = -0.7

// NameError reports an unknown name in the settings.
type NameError struct {
	Name string
	Want string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("choose strategy %q: want %s", e.Name, e.Want)
}

// ParseStrategy returns the strategy of a name in the settings.
func ParseStrategy(s string) (Strategy, error) {
	switch s {
	case "adaptive":
		return Adaptive{}, nil
	case "best-model":
		return BestModel{}, nil
	case "fixed-cascade":
		return FixedCascade{MinLogprob: fixedBelow}, nil
	default:
		return nil, &NameError{Name: s, Want: "adaptive, best-model or fixed-cascade"}
	}
}

// Options are the parts that a Control works with.
type Options struct {
	Halter Halter
	Ring   *event.Ring
	Log    zerolog.Logger
	Now    func() time.Time
	// View returns the view in force.
	View func() *spread.View
	// Membership returns this entry's place among the live entries.
	Membership func() steps.Membership
	Strategy   Strategy
	// GuardOff leaves halting to operators, as a baseline for measurements.
	GuardOff bool
	// ExploreEvery is the number of requests of which one explores; 0 means none does.
	ExploreEvery uint64
	// DetectorAlpha is one by the average number of answers between false alarms on deployed versions.
	DetectorAlpha float64
}

// Default returns the options that don't depend on the process.
func Default() Options {
	return Options{
		Now:          time.Now,
		Membership:   func() steps.Membership { return steps.Membership{Entries: 1} },
		Strategy:     Adaptive{},
		ExploreEvery: 50,
		// 1e-5 would allow a false alarm every 29 s at 3,500 answers a second.
		DetectorAlpha: 1e-9,
	}
}
