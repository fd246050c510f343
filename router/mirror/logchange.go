package mirror

import (
	"slices"

	"tarragonvalve.example/core/ident"
)

// logEvacuations logs the evacuations that have begun or ended between two views.
func (n *Syncer) logEvacuations(before, after []ident.DomainID) {
	for _, d := range after {
		if !slices.Contains(before, d) {
			n.log.Warn().Str("evacuated", string(d)).Msg("evacuation of a failure domain began, nothing more is sent to its upstreams")
		}
	}
	for _, d := range before {
		if !slices.Contains(after, d) {
			n.log.Warn().Str("evacuated", string(d)).Msg("evacuation of a failure domain ended")
		}
	}
}

// logChange logs a change of the view.
func (n *Syncer) logChange(c Change) {
	switch c := c.(type) {
	case DocumentChanged:
		n.log.Info().Uint64("generation", uint64(c.Document.Generation)).
			Int("routes", len(c.Document.Routes)).Int("accounts", len(c.Document.Accounts)).Msg("configuration in force")
	case RolloutOrdered:
		n.log.Info().Str("service", string(c.Order.Service)).Str("version", string(c.Order.To)).
			Dur("limit", c.Order.MaxDuration).Uint64("order", c.Order.Revision).Msg("roll-out ordered")
	case ProgressChanged:
		n.log.Info().Str("service", string(c.Progress.Service)).Str("version", string(c.Progress.To)).
			Stringer("phase", c.Progress.Phase).Uint64("revision", uint64(c.Revision)).Msg("roll-out progress changed")
	case TallyChanged:
		n.log.Info().Str("service", string(c.Tally.Service)).Str("by", c.Tally.Instance).
			Int("answers", c.Tally.Responses).Int("bad", c.Tally.Failed).
			Int("timed", c.Tally.Slowness.Timed).Int("slow", c.Tally.Slowness.Slow).Msg("responses of a new version reported")
	case UpstreamChanged:
		n.log.Info().Str("upstream", string(c.Upstream.ID)).Str("service", string(c.Upstream.Service)).
			Str("version", string(c.Upstream.Version)).Str("address", c.Upstream.Address).
			Bool("draining", c.Upstream.Draining).Msg("upstream listed")
	case UpstreamRemoved:
		n.log.Info().Str("upstream", string(c.ID)).Msg("upstream gone")
	case InvalidRecord:
		n.log.Warn().Str("key", c.Key).Str("reason", c.Reason).Msg("row of the store ignored")
	}
}
