// Package choose decides which model answers a request: a small one first, and a
// larger one instead if the small one's answer is likely wrong and the larger
// one's is worth its price.
package choose

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// outputWeight is how much more a generated token counts than one read.
	outputWeight = 10
	// readPart is the part of a model's price that a token read costs.
	readPart = 0.25
	// evenConfidence is the confidence at which a small model's answer is right
	// half of the time, and confidenceWidth how fast that changes. Measured by the
	// worth of quiet days on both deployments, eight seeds each: 52 and 60 with the
	// same width and 56 with 4 are no better, and 60 costs more.
	evenConfidence  = 56.0
	confidenceWidth = 6.0
	// poorPart is what a wrong answer is still worth.
	poorPart = 0.05
	// latePart is what an answer after its objective is worth.
	latePart = 0.3
	// expectedPart is the usual length of an answer against its permitted one.
	expectedPart = 0.5
	// crowded is the queue, in time, at which a larger model counts double: it
	// delays the requests that wait behind it.
	crowded = 150 * time.Millisecond
	// perThousand is the unit of values and prices, in tokens.
	perThousand = 1000
)

// Model is a model with its price for 1,000 generated tokens.
type Model struct {
	ID    ident.ModelID
	Price float64
}

// Request is what is known of a request.
type Request struct {
	Input ident.Tokens
	// MaxOutput is the permitted number of tokens, OutputHint the client's estimate or 0.
	MaxOutput, OutputHint ident.Tokens
	// Value is what 1,000 weighted tokens of a right answer are worth, in the unit of prices.
	Value float64
	// TimeLeft is the time until the objective.
	TimeLeft time.Duration
}

func (r *Request) output() float64 {
	if r.OutputHint > 0 {
		return float64(min(r.OutputHint, max(r.MaxOutput, 1)))
	}
	return float64(r.MaxOutput) * expectedPart
}

// worth returns what a right answer in time is worth.
func (r *Request) worth() float64 {
	return r.Value * (float64(r.Input) + outputWeight*r.output()) / perThousand
}

// price returns what an answer of a model costs.
func (r *Request) price(m Model) float64 {
	return m.Price * (readPart*float64(r.Input) + r.output()) / perThousand
}

// Candidate is what a larger model would take.
type Candidate struct {
	Model Model
	// Delay is the predicted time until its answer begins, QueueDelay the part of it
	// that is spent behind other requests.
	Delay, QueueDelay time.Duration
}

// UseLarger reports whether the answer of a small model, with its own confidence
// from 0 to 100, shall be given up for that of a larger one.
func UseLarger(r Request, confidence int, o Candidate) bool {
	if confidence < 0 {
		return false
	}
	right := 1 / (1 + math.Exp((evenConfidence-float64(confidence))/confidenceWidth))
	keep := right + (1-right)*poorPart
	inTime := 1.0
	if o.Delay > r.TimeLeft {
		inTime = latePart
	}
	strain := 1 + o.QueueDelay.Seconds()/crowded.Seconds()
	return r.worth()*(inTime-keep) > r.price(o.Model)*strain
}
