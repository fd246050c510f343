package entry

import (
	"time"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/refuse"
)

// timeLeft returns how much of the time of new work is left, or a refusal if this process runs too late to answer in time.
func (s *Server) timeLeft(timeoutMs int64) (int64, *refuse.Error) {
	left, ok := late.Left(time.Duration(timeoutMs)*time.Millisecond, s.options.Late.Lateness())
	if !ok {
		return 0, refuse.New(refuse.Overloaded, refuse.NotRun, "accept work: this agent runs too late to answer in time")
	}
	return left.Milliseconds(), nil
}
