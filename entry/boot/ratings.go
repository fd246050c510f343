package boot

import (
	"net/http"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/rating"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/setup"
)

// ratings joins the rating service with the policy.
type ratings struct {
	client *rating.Client
	memory *rating.Memory
	policy *policy.Control
}

func newRatings(s *setup.Settings, p *policy.Control, l zerolog.Logger) *ratings {
	r := &ratings{policy: p}
	r.client = rating.New(rating.Options{
		URL:         s.Rating.URL,
		ReportEvery: s.Rating.ReportInterval,
		ReadEvery:   s.Rating.ReadInterval,
		Client:      &http.Client{},
		Rated:       r.rated,
		Log:         logger.Part(l, "rating"),
	})
	r.memory = rating.NewMemory(r.client, s.Rating.ReportOneOf)
	return r
}

// accepted learns of an answer that a caller got.
func (r *ratings) accepted(c relay.Chat, v ident.VersionRef, logprob float64) {
	r.memory.Answer(rating.Answered{
		Request: c.ID,
		Account: c.Account,
		Task:    c.Task,
		Model:   v.Model,
		Version: v.Version,
	}, c.Messages, logprob)
}

func (r *ratings) rated(x rating.Rating) {
	p, ok := r.memory.Logprob(x.Request)
	if !ok {
		return
	}
	r.policy.Rated(policy.Rating{
		Account: x.Account,
		Task:    x.Task,
		Version: ident.VersionRef{Model: x.Model, Version: x.Version},
		Logprob: p,
		Good:    x.Good,
	})
}
