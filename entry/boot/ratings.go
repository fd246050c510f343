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

// sample learns of an answer that may be rated.
func (r *ratings) sample(s relay.Sample) {
	r.memory.Answer(rating.Answered{
		Request: s.Chat.ID,
		Account: s.Chat.Account,
		Task:    s.Chat.Task,
		Model:   s.Version.Model,
		Version: s.Version.Version,
	}, s.Chat.Messages, rating.Known{After: s.After, Logprob: s.Logprob})
}

func (r *ratings) rated(x rating.Rating) {
	k, ok := r.memory.Known(x.Request)
	if !ok {
		return
	}
	r.policy.Rated(policy.Rating{
		Account: x.Account,
		Task:    x.Task,
		Version: ident.VersionRef{Model: x.Model, Version: x.Version},
		After:   k.After,
		Logprob: k.Logprob,
		Good:    x.Good,
	})
}
