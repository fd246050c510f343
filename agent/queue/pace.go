package queue

import "time"

// Pace predicts service times from those observed. The zero value predicts
// nothing until it has seen work. It is used by one goroutine.
type Pace struct {
	perInput  float64 // seconds until the first token, for one input token
	perOutput float64 // seconds between output tokens
	part      float64 // part of the allowed output that is used
	seen      bool
}

// Served is one observation of finished work.
type Served struct {
	Input  int
	Output int
	// Allowed is the largest output that the request permitted, 0 if unknown.
	Allowed int
	First   time.Duration
	Total   time.Duration
	// Cut is true for work that was cancelled: its output is less than what it would have used.
	Cut bool
}

const (
	// smoothing is the weight of a new observation; about the last ten count.
	smoothing = 0.2
	// assumedOutput is used for a request without a limit on its output.
	assumedOutput = 256
)

// Observe adds an observation.
func (p *Pace) Observe(s Served) {
	in := s.First.Seconds() / float64(max(s.Input, 1))
	out := max(s.Total-s.First, 0).Seconds() / float64(max(s.Output-1, 1))
	part := min(float64(s.Output)/float64(allowed(s.Allowed)), 1)
	if s.Cut && part < p.part {
		part = p.part
	}
	if !p.seen {
		p.perInput, p.perOutput, p.part, p.seen = in, out, part, true
		return
	}
	p.perInput += smoothing * (in - p.perInput)
	p.perOutput += smoothing * (out - p.perOutput)
	p.part += smoothing * (part - p.part)
}

// Predict returns the expected service time, 0 before the first observation.
func (p *Pace) Predict(input, limit int) time.Duration {
	s := p.perInput*float64(input) + p.perOutput*p.part*float64(allowed(limit))
	return seconds(s)
}

// Rates returns input and output tokens per second of one slot, 0 if unknown.
func (p *Pace) Rates() (input, output float64) {
	return inverse(p.perInput), inverse(p.perOutput)
}

func inverse(f float64) float64 {
	if f <= 0 {
		return 0
	}
	return 1 / f
}

func allowed(n int) int {
	if n <= 0 {
		return assumedOutput
	}
	return n
}
