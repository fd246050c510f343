// Package drive sends an open-loop load to the entries and records all answers.
//
// Arrivals are a Poisson process, and accounts are chosen at random by weight. All
// random choices follow from the seed, so that policies are compared on the same load.
package drive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/client"
)

const (
	// maxInFlight is the maximum number of open requests.
	maxInFlight    = 4000
	requestTimeout = 30 * time.Second
	// historyWords is the number of words in the prompt prefix that the long requests of
	// an account share.
	historyWords = 600
	// questionWords is the number of words that fill up a short request.
	questionWords = 30
)

// Task is a kind of request in the load.
type Task string

// The values of Task. Review is a long request, such as a design review or a turning
// plan, and Question a short one.
const (
	Review   Task = "review"
	Question Task = "question"
)

// Options describes a load.
type Options struct {
	// Entries holds the callers' addresses of the entries, one of which is chosen at
	// random for each request.
	Entries  []string
	Document *envdoc.Document
	// Rate returns the rate in requests per second at a time since the start.
	Rate     func(at time.Duration) float64
	Duration time.Duration
	Seed     uint64
	// Weight returns the weight of an account in the load at a time since the start. If it
	// is nil, the weight in the document is used.
	Weight func(a *envdoc.Account, at time.Duration) float64
	// Model is the model that callers name, "auto" by default.
	Model string
	// ReviewFraction is the fraction of long requests, from 0 to 1.
	ReviewFraction float64
}

// Record is a request with its answer.
type Record struct {
	// At is the time since the start at which the request was due.
	At       time.Duration
	Account  ident.AccountID
	Task     Task
	Messages []answer.Message
	client.Reply
}

// request is a request of the load before it is sent.
type request struct {
	at      time.Duration
	account ident.AccountID
	task    Task
	entry   string
	text    []answer.Message
}

// Run sends the load, runs each action at its time, and returns the records of all
// requests in the order of their start. If ctx ends, the records of requests that were
// not sent are zero.
func Run(ctx context.Context, o Options, actions []Action) []Record {
	jobs := generateRequests(o)
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
	defer h.CloseIdleConnections()
	out := make([]Record, len(jobs))
	start := time.Now()
	var g sync.WaitGroup
	for _, a := range actions {
		g.Go(func() {
			if sleep(ctx, time.Until(start.Add(a.At))) {
				a.Do(ctx)
			}
		})
	}
	slots := make(chan struct{}, maxInFlight)
	for i, j := range jobs {
		if !sleep(ctx, time.Until(start.Add(j.at))) {
			break
		}
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			out[i] = send(ctx, h, o, j)
		})
	}
	g.Wait()
	return out
}

// Action is a function that runs during a load, for example to inject a fault.
type Action struct {
	// At is the time since the start.
	At time.Duration
	Do func(ctx context.Context)
}

func send(ctx context.Context, h *http.Client, o Options, j request) Record {
	// The keys of the example documents are documented as key-ACCOUNT.
	c := &client.Client{HTTP: h, Entry: j.entry, Key: "key-" + string(j.account)}
	m := o.Model
	if m == "" {
		m = "auto"
	}
	r := c.Chat(ctx, client.Chat{Model: m, Messages: j.text, Stream: true, Task: string(j.task), Timeout: requestTimeout})
	return Record{At: j.at, Account: j.account, Task: j.task, Messages: j.text, Reply: r}
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// generateRequests returns the requests of a load, sorted by time.
func generateRequests(o Options) []request {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	var as []*envdoc.Account
	for _, a := range o.Document.Accounts {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *envdoc.Account) int { return strings.Compare(string(a.ID), string(b.ID)) })
	var out []request
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(r.ExpFloat64() / o.Rate(at) * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		a := pickAccount(r, as, o, at)
		j := request{at: at, account: a.ID, task: Question, entry: o.Entries[r.IntN(len(o.Entries))]}
		if r.Float64() < o.ReviewFraction {
			j.task = Review
		}
		j.text = messages(a.ID, j.task, o.Seed, n)
		out = append(out, j)
	}
}

// pickAccount chooses an account at random by weight.
func pickAccount(r *rand.Rand, as []*envdoc.Account, o Options, at time.Duration) *envdoc.Account {
	weight := func(a *envdoc.Account) float64 {
		if o.Weight != nil {
			return o.Weight(a, at)
		}
		return float64(a.Weight)
	}
	sum := 0.0
	for _, a := range as {
		sum += weight(a)
	}
	x := r.Float64() * sum
	for _, a := range as {
		x -= weight(a)
		if x < 0 {
			return a
		}
	}
	return as[len(as)-1]
}

// messages returns the prompt of the nth request of a load. Long requests of an account
// share a prefix.
func messages(a ident.AccountID, t Task, seed uint64, n int) []answer.Message {
	own := fmt.Sprintf("request %d of load %d", n, seed)
	if t == Question {
		return []answer.Message{{Role: "user", Content: own + strings.Repeat(" word", questionWords)}}
	}
	history := string(a) + strings.Repeat(" stitch", historyWords)
	return []answer.Message{{Role: "system", Content: history}, {Role: "user", Content: own}}
}
