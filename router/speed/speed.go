// Package speed learns from responses how fast the upstreams of a service are: how many prompt tokens they
// process per ms, how long a step of the engine takes, and from how many running requests steps get
// markedly slower.
package speed

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// priorPromptRate is the number of prompt tokens per ms that the reference model processes, until observed.
	priorPromptRate = 92.0
	// priorIdle is the time, in ms, until the first event of an idle upstream without the prompt's work.
	priorIdle = 30.0
	// priorRunning is the delay, in ms, that each running request adds to a new one.
	priorRunning = 4.0
	// priorStep and priorStepGrowth are the time of a step, in ms, with one running request and its relative
	// growth with each further one.
	priorStep       = 4.0
	priorStepGrowth = 0.01
)

// Bounds of what is observed and estimated. They are wide: an observation outside them is a fault of the measurement.
const (
	// MinPromptRate and MaxPromptRate are in prompt tokens per ms.
	MinPromptRate = 0.5
	MaxPromptRate = 5000.0
	// MinStep and MaxStep are the time of a step in ms.
	MinStep = 0.1
	MaxStep = 1000.0
	// MinFactor and MaxFactor bound an upstream's factor.
	MinFactor = 0.2
	MaxFactor = 10.0
	// MinPace and MaxPace bound a reported pace relative to the usual one.
	MinPace = 0.1
	MaxPace = 20.0
	// MinIdle, MaxIdle, MinRunning and MaxRunning are delays in ms.
	MinIdle    = 0.5
	MaxIdle    = 1000.0
	MinRunning = 0.02
	MaxRunning = 50.0
	// MaxEventTokens bounds the tokens of one interval. Larger numbers are ids that don't count tokens.
	MaxEventTokens = 64
	// maxSlots bounds the slots that an upstream may report.
	maxSlots = 4096
)

const (
	// MaxUpstreams bounds the upstreams of which anything is kept, maxModels the models of each.
	MaxUpstreams = 4096
	maxModels    = 8
	// maxServices bounds the services.
	maxServices = 64
)

// Target names an upstream and the model that serves a request there.
type Target struct {
	Service  ident.ServiceID
	Upstream ident.UpstreamID
	Model    ident.ModelID
	// Factor is the expected time per token relative to the reference model, by which the prior is multiplied; 0 counts as 1.
	Factor float64
	// Slots is the number of requests that the upstream runs at a time; 0 means unknown.
	Slots int
}

// PromptObservation describes the first event of a response.
type PromptObservation struct {
	// Tokens is the number of prompt tokens that had to be processed, without those of a cached prefix.
	Tokens ident.Tokens
	// Took is the time from sending the request to the first event.
	Took time.Duration
	// Ahead is the work of prompts queued before this one, in tokens of the same model, and Running the number of
	// requests that ran, both when the request was sent.
	Ahead   float64
	Running int
	// Waiting is the number of requests that the upstream reported to wait in its response.
	Waiting int
}

// StepObservation describes an event of a stream after the first.
type StepObservation struct {
	// Took is the time since the event before it, Tokens the number of tokens, one per step, that came in that time.
	Took   time.Duration
	Tokens int
	// Running is the number of running requests; 0 stands for the number that the upstream reported last.
	Running int
}

// Confidence states what an estimate rests on.
type Confidence struct {
	// Observations is the number of observations of the upstream, by all instances, each counted less the older it is.
	Observations float64
	// Age is the time since the newest one; it is negative without any.
	Age time.Duration
}

// Estimate is what is expected of an upstream.
type Estimate struct {
	// PromptRate is the number of prompt tokens per ms.
	PromptRate float64
	// Idle is the time, in ms, until the first event of an idle upstream without the prompt's work. Running is what each
	// running request adds to it. They hold for all upstreams of the service.
	Idle, Running float64
	// Factor is how many times longer work takes at the upstream than at the median one of the service.
	Factor float64
	// Knee is the number of running requests from which steps get markedly slower. It is the number of slots if no such
	// number has been observed, and 0 if the slots are unknown.
	Knee int
	// Pace is how many times longer than usual at this upstream work takes at present, as it reported within PaceTTL; 1 if
	// it reported nothing.
	Pace       float64
	Confidence Confidence

	steps [bands]float64
	slots int
}

// Step returns the time of a step, in ms, with n running requests.
func (e *Estimate) Step(n int) float64 {
	x := position(n, e.slots)
	i := int(x)
	if i >= bands-1 {
		return e.steps[bands-1]
	}
	f := x - float64(i)
	return e.steps[i]*(1-f) + e.steps[i+1]*f
}

const (
	// bands is the number of ranges of running requests in which the time of a step is kept, each a twelfth of the slots:
	// 4 requests at 48 slots. Fewer wouldn't place a knee, more would spread the observations thin.
	bands = 12
	// usualSlots is used for an upstream with an unknown number.
	usualSlots = 64
)

// band returns the range to which n running requests belong.
func band(n, slots int) int {
	if slots <= 0 {
		slots = usualSlots
	}
	return min(min(max(n-1, 0), slots)*bands/slots, bands-1)
}

// position returns n as a fractional band, such that the middle of band i is at i.
func position(n, slots int) float64 {
	if slots <= 0 {
		slots = usualSlots
	}
	x := (float64(max(n, 1))-0.5)*bands/float64(slots) - 0.5
	return min(max(x, 0), bands-1)
}

// middle returns the number of running requests in the middle of a band.
func middle(b, slots int) float64 {
	if slots <= 0 {
		slots = usualSlots
	}
	return (float64(b)+0.5)*float64(slots)/bands + 0.5
}

// priorStepLog returns the natural logarithm of the prior time of a step in a band.
func priorStepLog(b, slots int, factor float64) float64 {
	return math.Log(priorStep * factor * (1 + priorStepGrowth*middle(b, slots)))
}

// factorOf returns a bounded factor of a model; a missing or malformed one counts as 1.
func factorOf(f float64) float64 {
	if !(f > 0) {
		return 1
	}
	return min(max(f, 0.01), 100)
}
