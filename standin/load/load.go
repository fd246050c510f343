// Package load sends a mixed load to the entries and summarizes the responses.
//
// It is an open-loop load generator: requests are sent at a fixed rate without waiting for
// responses. On average, of 20 requests 14 are chat completions (half of them streamed, half
// with a session of the account), 3 are repeatable plain-service calls and 3 are calls that
// may run only once. An account without calls of a kind gets a chat completion instead.
// Accounts are selected with a probability proportional to their weight; texts, sessions and
// random choices follow the seed. The text of every complete chat answer is compared with the
// one that package answer computes for the version that the answer names.
package load

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/setup"
)

const (
	// maxInFlight bounds the concurrent requests; further ones are skipped and counted.
	maxInFlight        = 2000
	requestTimeout     = 30 * time.Second
	sessionsPerAccount = 20
)

// Options configure a load. Rate is in requests per second; Entries are addresses IP:PORT.
type Options struct {
	Entries  []string
	Document *envdoc.Document
	Versions map[ident.VersionRef]setup.Version
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	KindChatStream        Kind = "chat-stream"
	KindChat              Kind = "chat"
	KindRepeatableCall    Kind = "call-repeatable"
	KindNonRepeatableCall Kind = "call-once"
)

type job struct {
	kind    Kind
	account *envdoc.Account
	entry   string
	chat    client.Chat
	call    client.Call
	session string
}

type runner struct {
	o        Options
	http     *http.Client
	accounts []*envdoc.Account
	rng      *rand.Rand

	mu       sync.Mutex
	sessions map[string]string
	sum      *Summary
}

// Run sends the load until its duration or ctx ends and waits for all responses.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if len(o.Entries) == 0 || o.Rate <= 0 {
		return nil, fmt.Errorf("send load: want entries and a rate above 0, got %d entries and %g/s", len(o.Entries), o.Rate)
	}
	r := &runner{
		o:        o,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
		rng:      rand.New(rand.NewPCG(o.Seed, 0)),
		sessions: map[string]string{},
		sum:      newSummary(),
	}
	defer r.http.CloseIdleConnections()
	for _, a := range o.Document.Accounts {
		r.accounts = append(r.accounts, a)
	}
	slices.SortFunc(r.accounts, func(a, b *envdoc.Account) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	r.send(ctx)
	return r.sum, nil
}

func (r *runner) send(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxInFlight)
	t := time.NewTicker(time.Duration(float64(time.Second) / r.o.Rate))
	defer t.Stop()
	for n := range int(r.o.Rate * r.o.Duration.Seconds()) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		j := r.drawJob(n)
		select {
		case slots <- struct{}{}:
			wait.Go(func() {
				defer func() { <-slots }()
				r.do(ctx, j)
			})
		default:
			r.sum.skip()
		}
	}
}

// drawJob generates the nth request.
func (r *runner) drawJob(n int) job {
	a := r.drawAccount()
	j := job{account: a, entry: r.o.Entries[r.rng.IntN(len(r.o.Entries))]}
	k := r.rng.IntN(20)
	once, repeat := r.calls(a)
	switch {
	case k >= 17 && len(once) > 0:
		j.kind = KindNonRepeatableCall
		j.call = once[r.rng.IntN(len(once))]
		j.call.Key = fmt.Sprintf("load-%d-%d", r.o.Seed, n)
		j.call.Body = fmt.Sprintf(`{"order":%d}`, n)
	case k >= 14 && len(repeat) > 0:
		j.kind = KindRepeatableCall
		j.call = repeat[r.rng.IntN(len(repeat))]
	default:
		r.drawChat(&j, n)
	}
	j.call.Timeout = requestTimeout
	return j
}

func (r *runner) drawChat(j *job, n int) {
	j.kind = KindChat
	if r.rng.IntN(2) == 0 {
		j.kind = KindChatStream
	}
	j.chat = client.Chat{
		Model:   "auto",
		Stream:  j.kind == KindChatStream,
		Task:    "review",
		Timeout: requestTimeout,
		Messages: []answer.Message{
			{Role: "system", Content: fmt.Sprintf("you advise the customers of account %s on their designs and slots", j.account.ID)},
			{Role: "user", Content: fmt.Sprintf("question %d of run %d: is this plan sound?", n, r.o.Seed)},
		},
	}
	if r.rng.IntN(2) == 0 {
		j.session = fmt.Sprintf("%s-%d", j.account.ID, r.rng.IntN(sessionsPerAccount))
	}
}

func (r *runner) drawAccount() *envdoc.Account {
	total := 0
	for _, a := range r.accounts {
		total += a.Weight
	}
	n := r.rng.IntN(total)
	for _, a := range r.accounts {
		n -= a.Weight
		if n < 0 {
			return a
		}
	}
	return r.accounts[0]
}

// calls returns the calls that an account may make: those that may run only once and those
// that are repeatable.
func (r *runner) calls(a *envdoc.Account) (once, repeat []client.Call) {
	var ids []ident.ServiceID
	for s := range a.Services {
		ids = append(ids, s)
	}
	slices.Sort(ids)
	for _, s := range ids {
		for _, c := range r.o.Document.Services[s].Calls {
			k := client.Call{Service: string(s), Method: c.Method, Path: c.PathPrefix}
			if c.Repeatable {
				repeat = append(repeat, k)
			} else {
				once = append(once, k)
			}
		}
	}
	return once, repeat
}

func (r *runner) do(ctx context.Context, j job) {
	// In the example documents the key of account ACCOUNT is key-ACCOUNT.
	c := &client.Client{HTTP: r.http, Entry: j.entry, Key: "key-" + string(j.account.ID)}
	var p client.Reply
	if j.kind == KindNonRepeatableCall || j.kind == KindRepeatableCall {
		p = c.Call(ctx, j.call)
	} else {
		r.mu.Lock()
		j.chat.Session = r.sessions[j.session]
		r.mu.Unlock()
		p = c.Chat(ctx, j.chat)
	}
	wrong := false
	if p.OK() && p.Version.Model != "" {
		r.storeSession(j.session, p.Session)
		wrong = p.Text != r.expectedText(p.Version, j.chat)
	}
	r.sum.add(j.kind, &p, wrong)
}

func (r *runner) storeSession(session, token string) {
	if session == "" {
		return
	}
	r.mu.Lock()
	r.sessions[session] = token
	r.mu.Unlock()
}

func (r *runner) expectedText(v ident.VersionRef, c client.Chat) string {
	s := r.o.Versions[v]
	return answer.Compute(answer.Settings{Ref: v, Quality: s.Quality, MeanTokens: s.MeanTokens}, c.Messages, c.MaxTokens).Text()
}
