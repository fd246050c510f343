package relay

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/place"
)

// record logs one attempt with what decided its place.
func (t *try) record(c place.Choice, model ident.ModelID, o outcome, took time.Duration) {
	e := t.Log.Info()
	switch o := o.(type) {
	case answered:
		e = e.Str("outcome", "answered").Int("status", o.Status).Int("confidence", o.Meta.Confidence)
	case rejected:
		e = e.Str("outcome", "not-run").Str("reason", o.reason)
	case lost:
		e = e.Str("outcome", "unknown").AnErr("reason", o.err)
	}
	e.Str("request", string(t.Meta.ID)).Str("route", string(t.Route.ID)).Int("attempt", t.offers).
		Str("upstream", string(c.Upstream.ID)).Str("version", string(c.Upstream.Version)).Str("model", string(model)).
		Float64("cost-ms", c.Cost).Int("candidates", c.Candidates).Bool("affine", c.Affine).
		Dur("took", took).Msg("attempt")
}
