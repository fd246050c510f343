// Package answer computes the answers of the stand-in model engines. They are a pure
// function of the request and the version, so that a test can compute the expected text
// of any request.
//
// H(label, parts...) is the first 8 bytes, big-endian, of the SHA-256 of its arguments joined
// by zero bytes; U is the top 53 bits of H scaled to [0, 1). Then:
//
//   - content is "role:text\n" of all messages in order
//   - the answer has n = mean/2 + H("length", content, ref) mod (mean+1) tokens,
//     cut to max-tokens with the finish reason "length"; otherwise it is "stop"
//   - token i is a space (except for i = 0) and the word H("token", content, ref, i) mod len(words)
//   - a request's difficulty is U("difficulty", content), the same for all versions;
//     with U("mix", content, ref) < 0.8 it decides, otherwise U("luck", content, ref) does.
//     The answer is good when that number is below the version's quality. So the expected
//     share of good answers equals the quality, and a better version gives good answers to
//     most requests for which a weaker one does
//   - the mean log-probability is -0.3 for a good and -0.9 for a weak answer,
//     plus 0.5 * (U("noise", content, ref) + U("noise2", content, ref) - 1);
//     token i adds 0.2 * (U("jitter", content, ref, i) - 0.5)
//   - the number of input tokens is that of the words in all messages, at least 1
package answer

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"tarragonvalve.example/core/ident"
)

const (
	// commonDifficultyShare is the share of requests whose difficulty is the same for all
	// versions.
	commonDifficultyShare = 0.8
	goodLogprob           = -0.3
	weakLogprob           = -0.9
	noiseWidth            = 0.5
	jitterWidth           = 0.2
)

// The finish reasons of the chat completions API that the stand-in uses.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// words is the vocabulary of the answers.
var words = strings.Fields(`thread needle hoop satin stitch fill back plate
	spindle chuck feed turn bevel carbide insert coolant slot shift cap brim
	panel logo digit density pull tension bobbin frame pass depth rough finish
	tool offset swap hold batch order sample proof trim edge color spool`)

// Message is one message of a chat completions request or answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Token is one output token with its natural log-probability.
type Token struct {
	Text    string
	Logprob float64
}

// Answer is a complete answer. Input is the number of input tokens.
type Answer struct {
	Tokens []Token
	Finish string
	Good   bool
	Input  int
}

// Settings are the properties of a version that its answers depend on.
type Settings struct {
	Ref ident.VersionRef
	// Quality is the expected share of good answers, from 0 to 1.
	Quality float64
	// MeanTokens is the mean length of an answer in tokens.
	MeanTokens int
}

// RequestText returns the text that an answer depends on: "role:text\n" of all messages in order.
func RequestText(ms []Message) string {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Compute returns the answer of a version to messages, cut to maxTokens output tokens; 0 means
// no limit.
func Compute(s Settings, ms []Message, maxTokens int) *Answer {
	c := RequestText(ms)
	ref := s.Ref.String()
	n := s.MeanTokens/2 + int(hash("length", c, ref)%uint64(s.MeanTokens+1))
	n = max(1, n)
	a := &Answer{Finish: FinishStop, Good: isGood(s, c), Input: InputTokens(ms)}
	if maxTokens > 0 && n > maxTokens {
		n = maxTokens
		a.Finish = FinishLength
	}
	mean := weakLogprob
	if a.Good {
		mean = goodLogprob
	}
	mean += noiseWidth * (hashToUnit("noise", c, ref) + hashToUnit("noise2", c, ref) - 1)
	for i := range n {
		k := strconv.Itoa(i)
		t := Token{Text: words[hash("token", c, ref, k)%uint64(len(words))]}
		if i > 0 {
			t.Text = " " + t.Text
		}
		t.Logprob = min(-0.001, mean+jitterWidth*(hashToUnit("jitter", c, ref, k)-0.5))
		a.Tokens = append(a.Tokens, t)
	}
	return a
}

// Text returns the concatenated tokens of the answer.
func (a *Answer) Text() string {
	var b strings.Builder
	for _, t := range a.Tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

// InputTokens returns the number of input tokens of messages: their words, at least 1.
func InputTokens(ms []Message) int {
	n := 0
	for _, m := range ms {
		n += len(strings.Fields(m.Content))
	}
	return max(1, n)
}

// isGood reports whether the answer of a version to the content is good.
func isGood(s Settings, content string) bool {
	ref := s.Ref.String()
	u := hashToUnit("difficulty", content)
	if hashToUnit("mix", content, ref) >= commonDifficultyShare {
		u = hashToUnit("luck", content, ref)
	}
	return u < s.Quality
}

func hash(parts ...string) uint64 {
	s := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return binary.BigEndian.Uint64(s[:8])
}

func hashToUnit(parts ...string) float64 {
	return float64(hash(parts...)>>11) / (1 << 53)
}
