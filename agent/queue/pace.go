package queue

import "time"

// Predictor predicts service times with exponential moving averages of observed ones.
// The zero value predicts 0 until the first sample. It is not safe for concurrent use.
type Predictor struct {
	secondsPerInput  float64 // seconds until the first output token, per input token
	secondsPerOutput float64 // seconds between output tokens
	outputShare      float64 // output tokens divided by the limit on them
	hasSample        bool
}

// Sample is the observed service time of one attempt or call.
type Sample struct {
	Input  int
	Output int
	// MaxOutput is the limit on output tokens that the request set, 0 for none.
	MaxOutput int
	// FirstToken and Total are the times from dispatch to the first token and to the end.
	FirstToken time.Duration
	Total      time.Duration
	// Truncated is set for work that was cancelled before it had produced its whole output.
	Truncated bool
}

const (
	// smoothing is the weight of a new sample; about the last ten samples determine the average.
	smoothing = 0.2
	// assumedOutput is the limit in tokens that is assumed for a request without one.
	assumedOutput = 256
)

// Observe adds a sample. The output of a truncated one is only a lower bound: it can
// raise the average share of the output limit but not lower it.
func (p *Predictor) Observe(s Sample) {
	in := s.FirstToken.Seconds() / float64(max(s.Input, 1))
	out := max(s.Total-s.FirstToken, 0).Seconds() / float64(max(s.Output-1, 1))
	share := min(float64(s.Output)/float64(outputLimit(s.MaxOutput)), 1)
	if s.Truncated && share < p.outputShare {
		share = p.outputShare
	}
	if !p.hasSample {
		p.secondsPerInput, p.secondsPerOutput, p.outputShare, p.hasSample = in, out, share, true
		return
	}
	p.secondsPerInput += smoothing * (in - p.secondsPerInput)
	p.secondsPerOutput += smoothing * (out - p.secondsPerOutput)
	p.outputShare += smoothing * (share - p.outputShare)
}

// Predict returns the expected service time of work with this many input tokens and
// this limit on output tokens. It returns 0 before the first sample.
func (p *Predictor) Predict(input, limit int) time.Duration {
	s := p.secondsPerInput*float64(input) + p.secondsPerOutput*p.outputShare*float64(outputLimit(limit))
	return durationOf(s)
}

// Rates returns the input and output tokens per second of one slot, 0 before the first sample.
func (p *Predictor) Rates() (input, output float64) {
	return rateOf(p.secondsPerInput), rateOf(p.secondsPerOutput)
}

// rateOf returns tokens per second for seconds per token, and 0 for an unknown time.
func rateOf(f float64) float64 {
	if f <= 0 {
		return 0
	}
	return 1 / f
}

func outputLimit(n int) int {
	if n <= 0 {
		return assumedOutput
	}
	return n
}
