package share

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/speed"
)

// encodeSpeed encodes times as ages, like encodeSamples.
func encodeSpeed(ss []speed.Summary, now time.Time) []*Speed {
	var out []*Speed
	for _, s := range ss {
		m := &Speed{
			Origin: s.Origin, Sequence: s.Sequence, Model: string(s.Model), Factor: float32(s.Factor), AgeMs: ageMs(s.At, now),
			Prompt: encodeMean(s.Prompt), Idle: encodeMean(s.Idle), Running: encodeMean(s.Running),
		}
		for _, b := range s.Steps {
			m.Steps = append(m.Steps, &Mean{Value: float32(b.Value), Weight: float32(b.Weight), Band: uint32(b.Band)})
		}
		out = append(out, m)
	}
	return out
}

// encodeMean returns nil for a mean of nothing.
func encodeMean(m speed.Mean) *Mean {
	if m.Weight == 0 {
		return nil
	}
	return &Mean{Value: float32(m.Value), Weight: float32(m.Weight)}
}

// decodeSpeed decodes at most speed.MaxSummaries summaries. The registry checks their values.
func decodeSpeed(ms []*Speed, now time.Time) []speed.Summary {
	var out []speed.Summary
	for _, m := range ms[:min(len(ms), speed.MaxSummaries)] {
		s := speed.Summary{
			Origin: m.GetOrigin(), Sequence: m.GetSequence(), Model: ident.ModelID(m.GetModel()), Factor: float64(m.GetFactor()),
			Prompt: decodeMean(m.GetPrompt()), Idle: decodeMean(m.GetIdle()), Running: decodeMean(m.GetRunning()), At: timeOf(m.GetAgeMs(), now),
		}
		for _, b := range m.GetSteps() {
			s.Steps = append(s.Steps, speed.BandMean{Mean: decodeMean(b), Band: int(b.GetBand())})
		}
		out = append(out, s)
	}
	return out
}

func decodeMean(m *Mean) speed.Mean {
	return speed.Mean{Value: float64(m.GetValue()), Weight: float64(m.GetWeight())}
}
