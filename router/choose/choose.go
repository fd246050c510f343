// Package choose decides which model answers a request: a small one first, then a larger
// one if the small one's answer is likely wrong and a right one is worth the larger
// model's price.
package choose

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// outputWeight is the value of a generated token relative to a prompt token.
	outputWeight = 10
	// inputPriceRatio is the price of a prompt token relative to a generated one.
	inputPriceRatio = 0.25
	// evenConfidence is the confidence at which half of a small model's answers are
	// right, confidenceWidth the scale of the logistic function that gives the
	// probability at other confidences. An evenConfidence of 52 or 60 with the same
	// width, or of 56 with a width of 4, gives answers of no higher value, and 60 costs
	// more.
	evenConfidence  = 56.0
	confidenceWidth = 6.0
	// wrongValue is the value of a wrong answer relative to a right one.
	wrongValue = 0.05
	// lateValue is the value of an answer after the objective relative to one in time.
	lateValue = 0.3
	// expectedOutput is the usual length of an answer relative to the permitted length.
	expectedOutput = 0.5
	// crowdedQueue is the queueing delay at which the larger model's price counts double,
	// since its use delays the requests queued behind it.
	crowdedQueue = 150 * time.Millisecond
	// perThousand is the number of tokens to which values and prices refer.
	perThousand = 1000
)

// Model is a model with its price for 1,000 generated tokens.
type Model struct {
	ID    ident.ModelID
	Price float64
}

// Request describes a request for the choice of a model.
type Request struct {
	Input ident.Tokens
	// MaxOutput is the permitted number of generated tokens, OutputHint the client's
	// estimate of them or 0.
	MaxOutput, OutputHint ident.Tokens
	// Value is the value of a right answer per 1,000 weighted tokens, in the unit of
	// prices.
	Value float64
	// TimeLeft is the time until the response must start to meet the objective.
	TimeLeft time.Duration
}

// output returns the expected number of generated tokens.
func (r *Request) output() float64 {
	if r.OutputHint > 0 {
		return float64(min(r.OutputHint, max(r.MaxOutput, 1)))
	}
	return float64(r.MaxOutput) * expectedOutput
}

// totalValue returns the value of a right answer in time.
func (r *Request) totalValue() float64 {
	return r.Value * (float64(r.Input) + outputWeight*r.output()) / perThousand
}

// price returns the price of an answer of a model.
func (r *Request) price(m Model) float64 {
	return m.Price * (inputPriceRatio*float64(r.Input) + r.output()) / perThousand
}

// Candidate is a larger model that could answer the request instead.
type Candidate struct {
	Model Model
	// Delay is the predicted time until its response starts, QueueDelay the part of it
	// that is spent behind other requests.
	Delay, QueueDelay time.Duration
}

// UseLarger reports whether a larger model should answer instead of a small one, whose
// answer has a confidence from 0 to 100. It returns false for a negative confidence,
// which means that the model stated none.
func UseLarger(r Request, confidence int, o Candidate) bool {
	if confidence < 0 {
		return false
	}
	right := 1 / (1 + math.Exp((evenConfidence-float64(confidence))/confidenceWidth))
	keep := right + (1-right)*wrongValue
	inTime := 1.0
	if o.Delay > r.TimeLeft {
		inTime = lateValue
	}
	priceFactor := 1 + o.QueueDelay.Seconds()/crowdedQueue.Seconds()
	return r.totalValue()*(inTime-keep) > r.price(o.Model)*priceFactor
}
