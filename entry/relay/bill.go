package relay

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/policy"
)

// addReceipt adds a receipt for the tokens of a complete attempt.
func (r *Relay) addReceipt(q *request, a *attempt, e *wire.End, role ledger.Role, o ledger.Outcome) {
	r.add(q, a, role, o, ident.Tokens(e.GetInputTokens()), ident.Tokens(e.GetOutputTokens()))
}

// billPartial adds the billing receipt of a request that was refused after an attempt
// may have run. It charges only the relayed output tokens.
func (r *Relay) billPartial(ctx context.Context, q *request, e *refuse.Error) {
	o := ledger.OutcomeFailed
	switch {
	case e.Code == refuse.Cancelled || e.Code == refuse.DeadlineExceeded || abort.Drained(ctx):
		o = ledger.OutcomeCancelled
	case q.textCount > 0:
		o = ledger.OutcomeBroken
	}
	a := q.relayedBy
	if a == nil {
		a = &attempt{r: r, q: q, n: q.attempts, step: Step{Version: q.version}}
	}
	r.add(q, a, ledger.RoleBill, o, 0, q.relayed)
}

// add adds a receipt to the ledger. An error is only counted and logged.
func (r *Relay) add(q *request, a *attempt, role ledger.Role, o ledger.Outcome, in, out ident.Tokens) {
	t := ledger.Receipt{
		Request:  q.ID,
		Role:     role,
		Attempt:  a.n,
		Account:  q.Account,
		Session:  q.session,
		Version:  a.step.Version,
		Input:    in,
		Output:   out,
		Price:    r.price(q, a.step.Version, in, out),
		Direct:   a.direct,
		Outcome:  o,
		Instance: r.o.Instance,
		At:       r.o.Now(),
	}
	if a.link != nil {
		t.Upstream = a.link.Upstream()
	}
	if err := r.o.Ledger.Add(t); err != nil {
		r.count.ReceiptsLost.Add(1)
		r.o.Log.Error().Err(err).Str("request", string(q.ID)).Msg("can't add receipt to the ledger")
	}
}

// price returns the price of tokens by the request's document, 0 if the version is
// not in it.
func (r *Relay) price(q *request, v ident.VersionRef, in, out ident.Tokens) ident.MicroCents {
	d := q.view.Document()
	if d == nil || d.Versions[v] == nil {
		return 0
	}
	p := d.Versions[v]
	return ident.MicroCents(in)*p.InputPrice + ident.MicroCents(out)*p.OutputPrice
}

// observe reports the outcome of an attempt to the policy; e is nil for a failed
// one. It is not called for lost attempts, whose failure is not evidence against the
// version.
func (r *Relay) observe(q *request, a *attempt, e *wire.End) {
	r.o.Decider.Observe(policy.Outcome{
		Request:       q.ID,
		Account:       q.Account,
		Task:          q.Task,
		Session:       q.session,
		Version:       a.step.Version,
		EscalatedFrom: q.escalatedFrom,
		Failed:        e == nil,
		FirstToken:    a.firstFrame,
		Total:         r.o.Now().Sub(a.began),
		Queued:        time.Duration(e.GetQueueMs()) * time.Millisecond,
		Output:        ident.Tokens(e.GetOutputTokens()),
		Logprob:       e.GetMeanLogprob(),
	})
}

func (a *attempt) request() *wire.RunRequest {
	return &wire.RunRequest{
		RequestId:   string(a.q.ID),
		Attempt:     uint32(a.n),
		Account:     string(a.q.Account),
		Session:     string(a.q.session),
		Task:        string(a.q.Task),
		Model:       string(a.step.Version.Model),
		Version:     string(a.step.Version.Version),
		Messages:    a.q.Messages,
		MaxTokens:   a.q.MaxTokens,
		Temperature: a.q.Temperature,
		Priority:    int32(a.q.account.Priority),
		TimeoutMs:   a.left(),
		Generation:  uint64(a.q.view.Generation()),
		Clock:       uint64(a.r.o.Ring.Clock().Next()),
		Direct:      a.direct,
		Entry:       string(a.r.o.Instance),
		Streaming:   a.q.Streaming,
		Prefixes:    a.q.prefixes,
	}
}

func (a *attempt) resumeRequest() *wire.ResumeRequest {
	return &wire.ResumeRequest{
		RequestId: string(a.q.ID),
		Attempt:   uint32(a.n),
		Position:  a.next,
		Model:     string(a.step.Version.Model),
		Version:   string(a.step.Version.Version),
		Account:   string(a.q.Account),
		TimeoutMs: a.left(),
		Entry:     string(a.r.o.Instance),
		Clock:     uint64(a.r.o.Ring.Clock().Next()),
	}
}

// left returns the time to the deadline in milliseconds, at least 1.
func (a *attempt) left() int64 {
	return max(a.q.Deadline.Sub(a.r.o.Now()).Milliseconds(), 1)
}

const (
	// bytesPerToken is the average length of a token in English text.
	bytesPerToken = 4
	// PrefixTokens is the length in tokens by which each prefix hash of a prompt
	// covers more than the hash before it.
	PrefixTokens = 256
	// maxPrefixes bounds the prefix hashes of a prompt.
	maxPrefixes = 16
)

// EstimateTokens returns the expected number of input tokens: the bytes of roles and
// contents divided by bytesPerToken, and one token for each message.
func EstimateTokens(ms []*wire.Message) ident.Tokens {
	n := 0
	for _, m := range ms {
		n += len(m.GetRole()) + len(m.GetContent()) + bytesPerToken
	}
	return ident.Tokens(n / bytesPerToken)
}

// PrefixHashes returns the hashes of the prompt's prefixes of PrefixTokens tokens,
// twice as many and so on, up to maxPrefixes, the longest first. Prompts with the
// same beginning have their last hashes in common.
func PrefixHashes(ms []*wire.Message) []uint64 {
	h := fnv.New64a()
	var out []uint64
	remaining := PrefixTokens * bytesPerToken
	for _, m := range ms {
		t := m.GetRole() + "\x00" + m.GetContent() + "\x00"
		for len(t) > 0 && len(out) < maxPrefixes {
			n := min(remaining, len(t))
			_, _ = h.Write([]byte(t[:n]))
			t = t[n:]
			remaining -= n
			if remaining == 0 {
				out = append(out, h.Sum64())
				remaining = PrefixTokens * bytesPerToken
			}
		}
	}
	slices.Reverse(out)
	return out
}

// NewID returns a random id of 128 bits in lower-case base32.
func NewID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:]))
}
