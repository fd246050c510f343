package load_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/load"
	"tarragonvalve.example/standin/setup"
)

const document = `[environment]
name = test

[account a]
key-digests = %s
allowed = m@1
requests-per-second = 0
tokens-per-second = 0
weight = 1
priority = 0
objective = cost
quality-target = 0.5
on-withdrawn = move

[model m]
shares = 1:100

[version m@1]
input-price-micro-cents = 1
output-price-micro-cents = 1
quality-prior = 0.9

[end]
`

// Guards against a summary that counts a wrong or truncated answer as correct, which would
// report a broken system as working.
func TestSummaryCountsWrongAndTruncatedAnswers(t *testing.T) {
	d, err := envdoc.Parse(fmt.Appendf(nil, document, envdoc.KeyDigestOf("key-a")))
	if err != nil {
		t.Fatal(err)
	}
	ref := ident.VersionRef{Model: "m", Version: "1"}
	var n atomic.Int32
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Stream   bool
			Messages []answer.Message
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		text := answer.Compute(answer.Settings{Ref: ref, Quality: 0.9, MeanTokens: 10}, q.Messages, 0).Text()
		w.Header().Set("Tarragonvalve-Model", "m@1")
		if q.Stream {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
			return
		}
		if n.Add(1) == 1 {
			text += " more"
		}
		fmt.Fprintf(w, `{"choices":[{"message":{"content":%q},"finish_reason":"stop"}]}`, text)
	}))
	defer entry.Close()
	s, err := load.Run(t.Context(), load.Options{
		Entries:  []string{strings.TrimPrefix(entry.URL, "http://")},
		Document: d,
		Versions: map[ident.VersionRef]setup.Version{ref: {Quality: 0.9, MeanTokens: 10}},
		Rate:     1000,
		Duration: 50 * time.Millisecond,
		Seed:     1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if s.WrongTexts() != 1 {
		t.Errorf("%d wrong texts counted, want 1", s.WrongTexts())
	}
	if s.OK(load.KindChatStream) != 0 || s.OK(load.KindChat) == 0 {
		t.Errorf("complete answers: %d streamed, want 0; %d not streamed, want more than 0", s.OK(load.KindChatStream), s.OK(load.KindChat))
	}
}
