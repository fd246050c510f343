package relay

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/place"
)

// logAttempt logs and counts one attempt with its result and the placement that chose its
// upstream. took is the time until the response's headers or the failure.
func (t *request) logAttempt(c place.Choice, model ident.ModelID, o outcome, took time.Duration) {
	e := t.Log.Info()
	outcome := "not-run"
	switch o := o.(type) {
	case answered:
		outcome = "answered"
		e = e.Int("status", o.Status).Int("confidence", o.Meta.Confidence)
	case notRun:
		e = t.Log.Warn().Str("reason", o.reason)
	case unknown:
		outcome = "unknown"
		e = t.Log.Warn().AnErr("reason", o.err)
	}
	t.Meter.Attempt(outcome)
	e.Str("request", string(t.Meta.ID)).Str("outcome", outcome).Str("route", string(t.Route.ID)).Int("attempt", t.attempts).
		Str("upstream", string(c.Upstream.ID)).Str("version", string(c.Upstream.Version)).Str("assigned", string(t.assignment)).Str("model", string(model)).
		Float64("cost", math.Round(c.Cost)).Dur("predicted", c.Delay.Round(time.Millisecond)).Dur("nominal", c.Nominal.Round(time.Millisecond)).Int("candidates", c.Candidates).
		Bool("prefix-cached", c.CacheHit).Str("prefix-source", sourceID(c)).Dur("took", took).
		Str("prompt", t.prompt.Labels()).Stringer("content", t.prompt.Content).Msg("attempt")
}

// sourceID returns the id of the upstream from which the chosen one was asked to copy the
// cached prompt prefix, or "" if there was none.
func sourceID(c place.Choice) string {
	if c.CopySource == nil {
		return ""
	}
	return string(c.CopySource.ID)
}
