// Package drive sends an open load to the entries and records every answer.
//
// Arrivals are a Poisson process; accounts are drawn by their weight. Every
// draw follows the seed, so that policies are compared on the same load.
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
	maxInFlight    = 4000
	requestTimeout = 30 * time.Second
	// historyWords is the length of the prompt prefix that the long requests of one account share.
	historyWords = 600
	questionWord = 30
)

// Task is a kind of request in the load.
type Task string

// The tasks. Review is the long design review or turning plan, Question a short one.
const (
	Review   Task = "review"
	Question Task = "question"
)

// Options describe a load.
type Options struct {
	Entries  []string
	Document *envdoc.Document
	// Rate is in requests per second at a time since the start.
	Rate     func(at time.Duration) float64
	Duration time.Duration
	Seed     uint64
	// Weight returns the part of an account in the load at a time since the start.
	Weight func(a *envdoc.Account, at time.Duration) float64
	// Model is the model that callers name, "auto" by default.
	Model string
	// ReviewPart is the part of long requests.
	ReviewPart float64
}

// Record is one request with its answer.
type Record struct {
	At       time.Duration
	Account  ident.AccountID
	Task     Task
	Messages []answer.Message
	client.Reply
}

type job struct {
	at      time.Duration
	account ident.AccountID
	task    Task
	entry   string
	text    []answer.Message
}

// Run sends the load, calls each action at its time, and returns all records in the order of their start.
func Run(ctx context.Context, o Options, actions []Action) []Record {
	jobs := draw(o)
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

// Action is something that happens during a load, such as a fault.
type Action struct {
	At time.Duration
	Do func(ctx context.Context)
}

func send(ctx context.Context, h *http.Client, o Options, j job) Record {
	// The keys of the example documents are documented as key-ACCOUNT.
	c := &client.Client{HTTP: h, Entry: j.entry, Key: "key-" + string(j.account)}
	m := o.Model
	if m == "" {
		m = "auto"
	}
	r := c.Chat(ctx, client.Chat{Model: m, Messages: j.text, Stream: true, Task: string(j.task), Timeout: requestTimeout})
	return Record{At: j.at, Account: j.account, Task: j.task, Messages: j.text, Reply: r}
}

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

func draw(o Options) []job {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	var as []*envdoc.Account
	for _, a := range o.Document.Accounts {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *envdoc.Account) int { return strings.Compare(string(a.ID), string(b.ID)) })
	var out []job
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(r.ExpFloat64() / o.Rate(at) * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		a := pickAccount(r, as, o, at)
		j := job{at: at, account: a.ID, task: Question, entry: o.Entries[r.IntN(len(o.Entries))]}
		if r.Float64() < o.ReviewPart {
			j.task = Review
		}
		j.text = messages(a.ID, j.task, o.Seed, n)
		out = append(out, j)
	}
}

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

func messages(a ident.AccountID, t Task, seed uint64, n int) []answer.Message {
	own := fmt.Sprintf("request %d of load %d", n, seed)
	if t == Question {
		return []answer.Message{{Role: "user", Content: own + strings.Repeat(" word", questionWord)}}
	}
	history := string(a) + strings.Repeat(" stitch", historyWords)
	return []answer.Message{{Role: "system", Content: history}, {Role: "user", Content: own}}
}
