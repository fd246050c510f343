package boot

import (
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/rating"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/setup"
)

// ratings reports answers to the rating service and passes their ratings to the policy.
type ratings struct {
	client  *rating.Client
	tracker *rating.Tracker
	policy  *policy.Controller
}

func newRatings(s *setup.Settings, p *policy.Controller, l zerolog.Logger) *ratings {
	r := &ratings{policy: p}
	r.client = rating.New(rating.Options{
		URL:            s.Rating.URL,
		ReportInterval: s.Rating.ReportInterval,
		ReadInterval:   s.Rating.ReadInterval,
		Client:         &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext)}, //nolint:forbidigo // the field, not the type
		OnRating:       r.passRating,
		Log:            logger.Part(l, "rating"),
	})
	r.tracker = rating.NewTracker(r.client, s.Rating.ReportOneOf)
	return r
}

// sample keeps an answer that may be rated and reports it if it is in the sample
// for the rating service. The relay calls it for every such answer.
func (r *ratings) sample(s relay.Sample) {
	r.tracker.Track(rating.Answer{
		Request: s.Chat.ID,
		Account: s.Chat.Account,
		Task:    s.Chat.Task,
		Model:   s.Version.Model,
		Version: s.Version.Version,
	}, s.Chat.Messages, rating.AnswerDetails{EscalatedFrom: s.EscalatedFrom, Logprob: s.Logprob})
}

// passRating passes a rating to the policy if this entry still has the data of the answer.
func (r *ratings) passRating(x rating.Rating) {
	k, ok := r.tracker.Take(x.Request)
	if !ok {
		return
	}
	r.policy.ObserveRating(policy.Rating{
		Account:       x.Account,
		Task:          x.Task,
		Version:       ident.VersionRef{Model: x.Model, Version: x.Version},
		EscalatedFrom: k.EscalatedFrom,
		Logprob:       k.Logprob,
		Good:          x.Good,
	})
}
