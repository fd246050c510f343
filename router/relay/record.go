package relay

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/place"
)

// record logs one attempt with what decided its place.
func (t *try) record(c place.Choice, model ident.ModelID, o outcome, took time.Duration) {
	e := t.Log.Info()
	outcome := "not-run"
	switch o := o.(type) {
	case answered:
		outcome = "answered"
		e = e.Int("status", o.Status).Int("confidence", o.Meta.Confidence)
	case rejected:
		e = t.Log.Warn().Str("reason", o.reason)
	case lost:
		outcome = "unknown"
		e = t.Log.Warn().AnErr("reason", o.err)
	}
	t.Meter.Attempt(outcome)
	e.Str("request", string(t.Meta.ID)).Str("outcome", outcome).Str("route", string(t.Route.ID)).Int("attempt", t.offers).
		Str("upstream", string(c.Upstream.ID)).Str("version", string(c.Upstream.Version)).Str("model", string(model)).
		Float64("cost", math.Round(c.Cost)).Dur("predicted", c.Delay.Round(time.Millisecond)).Int("candidates", c.Candidates).
		Bool("prefix-cached", c.CacheHit).Str("prefix-source", source(c)).Dur("took", took).Msg("attempt")
}

// source names the upstream from which the chosen one was to copy the prefix.
func source(c place.Choice) string {
	if c.CopySource == nil {
		return ""
	}
	return string(c.CopySource.ID)
}
