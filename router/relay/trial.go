package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonvalve.example/core/refuse"
)

// maxTrialJitter bounds the random delay that is added to the Retry-After of a quarantined request, so
// that clients don't all return at the moment of the next trial.
const maxTrialJitter = 500 * time.Millisecond

// checkPrompt returns a *refuse.Error if the request is known to crash upstreams and is no trial.
func (t *request) checkPrompt() error {
	now := time.Now()
	if t.trial || t.Poison.Check(t.prompt, now) <= 0 {
		return nil
	}
	qs := t.Poison.Blocking(t.prompt, now)
	if len(qs) == 0 {
		return nil
	}
	c, _ := t.Syncer.StoreClock()
	d := t.Syncer.View().Trials.Trials.RetryAfter(qs, now, c) + rand.N(maxTrialJitter)
	return refuse.New(refuse.PromptQuarantined, t.ran(), "the request or a part of its prompt crashes upstreams: %s", t.prompt).WithRetryAfter(d)
}

// startTrial makes a quarantined request a trial if the next one is due, and this router is the first to
// write so to the store: a request that an upstream survives ends the quarantines that refuse it.
func (t *request) startTrial(ctx context.Context) bool {
	now := time.Now()
	qs := t.Poison.Blocking(t.prompt, now)
	c, ok := t.Syncer.StoreClock()
	if len(qs) == 0 || !ok {
		return false
	}
	x := t.Syncer.View().Trials
	if wait, ok := x.Trials.Next(qs, now, c); !ok || wait > 0 {
		return false
	}
	if !t.Poison.BeginTrial(now) {
		return false
	}
	next := x.Trials.With(qs, c)
	if err := t.Syncer.SaveTrials(ctx, next, x.Revision); err != nil {
		t.Log.Info().Err(err).Str("request", string(t.Meta.ID)).Msg("trial of a quarantined request not started")
		return false
	}
	t.trial = true
	t.Meter.Trial("started")
	for _, q := range qs {
		t.Log.Warn().Str("request", string(t.Meta.ID)).Stringer("content", t.prompt).Str("quarantine", string(q.Key())).
			Int("number", next.Tried[q.Key()].Count).Int("quarantines", len(qs)).Msg("quarantined request is tried again")
	}
	return true
}

// recordTrial counts the result of a trial.
func (t *request) recordTrial(ok bool) {
	if ok {
		t.Meter.Trial("answered")
		return
	}
	t.Meter.Trial("failed")
}
