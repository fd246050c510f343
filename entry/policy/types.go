// Package policy makes an entry's routing decisions: plans, rate limits, the retry
// budget and halts. One control goroutine owns their state and calls the packages
// plan, limit, retry and guard, which do no I/O; the goroutines that serve requests
// send it queries and observations over a channel.
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

// Auto is the model name by which a caller leaves the choice of the model to the
// router.
const Auto = "auto"

// Query is a request for which a plan is needed.
type Query struct {
	View    *spread.View
	Account *envdoc.Account
	Task    ident.TaskID
	// Model is a model's name, MODEL@VERSION or Auto; empty means Auto.
	Model   string
	Request ident.RequestID
	Session ident.SessionID
	// Pin is the version that the session is pinned to; zero for a new session.
	Pin ident.VersionRef
	// StartsSession is true when the request starts a session whose later turns use the
	// same version; no cascade is planned for it.
	StartsSession bool
	// Isolated keeps new sessions away from versions in roll-out.
	Isolated bool
	// Input is the estimated number of input tokens.
	Input ident.Tokens
	// MaxOutput bounds the number of output tokens.
	MaxOutput ident.Tokens
	// TimeLeft is the time until the caller's deadline; 0 means no deadline.
	TimeLeft time.Duration
}

// Decision is the plan of a request.
type Decision struct {
	plan.Choice
	// Pin is the version that the session is pinned to from now on. For a cascade it is
	// the first version.
	Pin ident.VersionRef
	// Moved is true when the session was moved off a withdrawn or halted version.
	Moved bool
	// Output is the expected number of output tokens.
	Output ident.Tokens
}

// RequestSize estimates, before a request runs, the tokens that it will use.
type RequestSize struct {
	Task      ident.TaskID
	Input     ident.Tokens
	MaxOutput ident.Tokens
}

// Outcome describes an attempt that ended.
type Outcome struct {
	Request ident.RequestID
	Account ident.AccountID
	Task    ident.TaskID
	Session ident.SessionID
	Version ident.VersionRef
	// EscalatedFrom is the version whose weak answer this attempt replaces; zero for a
	// first attempt.
	EscalatedFrom ident.VersionRef
	Failed        bool
	// FirstToken and Total are measured from the start of the attempt.
	FirstToken time.Duration
	Total      time.Duration
	// Queued is the part of Total that the attempt waited in the agent's queue.
	Queued time.Duration
	// Output is the number of output tokens.
	Output ident.Tokens
	// Logprob is the answer's mean token log-probability.
	Logprob float64
}

// Rating is the rating of an answer whose attempt ended earlier.
type Rating struct {
	Account ident.AccountID
	Task    ident.TaskID
	Version ident.VersionRef
	// EscalatedFrom and Logprob are those of the answer's Outcome.
	EscalatedFrom ident.VersionRef
	Logprob       float64
	Good          bool
}

// Halter halts a version on all instances. *spread.Replica implements it.
type Halter interface {
	Halt(ctx context.Context, r ident.VersionRef, reason string) error
}

// Strategy selects plans for requests that leave the model to the router. The
// implementations are Adaptive and the baselines that it is compared with, BestModel
// and FixedCascade.
type Strategy interface{ strategy() }

// Adaptive selects the best plan by ratings, cost and time.
type Adaptive struct{}

// BestModel always selects the model with the highest quality prior.
type BestModel struct{}

// FixedCascade always runs the cheapest model first and escalates to the one with the
// highest quality prior when the mean token log-probability is below MinLogprob.
type FixedCascade struct{ MinLogprob float64 }

func (Adaptive) strategy()     {}
func (BestModel) strategy()    {}
func (FixedCascade) strategy() {}

// fixedMinLogprob is the threshold of the fixed cascade, the middle one of the
// thresholds that Adaptive selects from.
const fixedMinLogprob = -0.7

// UnknownStrategyError reports a strategy name in the settings that doesn't exist.
// Want lists the names that do.
type UnknownStrategyError struct {
	Name string
	Want string
}

func (e *UnknownStrategyError) Error() string {
	return fmt.Sprintf("choose strategy %q: want %s", e.Name, e.Want)
}

// ParseStrategy returns the strategy with the given name in the settings, or an
// *UnknownStrategyError.
func ParseStrategy(s string) (Strategy, error) {
	switch s {
	case "adaptive":
		return Adaptive{}, nil
	case "best-model":
		return BestModel{}, nil
	case "fixed-cascade":
		return FixedCascade{MinLogprob: fixedMinLogprob}, nil
	default:
		return nil, &UnknownStrategyError{Name: s, Want: "adaptive, best-model or fixed-cascade"}
	}
}

// Options are the dependencies and settings of a Controller.
type Options struct {
	Halter Halter
	Ring   *event.Ring
	Log    zerolog.Logger
	Now    func() time.Time
	// View returns the current view of the control state.
	View func() *spread.View
	// Membership returns the number of live entries and this entry's rank among them.
	Membership func() steps.Membership
	Strategy   Strategy
	// GuardOff leaves halts to the operators. It serves as a baseline in measurements.
	GuardOff bool
	// ExploreEvery makes one of so many requests explore; 0 means none.
	ExploreEvery uint64
	// DetectorAlpha is the inverse of the average number of answers between false
	// alarms on fully deployed versions.
	DetectorAlpha float64
}

// Default returns options with the default settings, for a single entry. Halter, Ring,
// Log and View must still be set.
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
