package scene

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"time"

	"tarragonvalve.example/bench/drive"
	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/setup"
)

// Versions holds the stand-ins' settings of all versions.
type Versions = map[ident.VersionRef]setup.Version

// Figures holds the results of a run after the warm-up.
type Figures struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Goodput is the rate of complete answers per second.
	Goodput float64 `json:"goodput"`
	// Quality is the fraction of good answers, and Target the mean of the accounts'
	// quality targets over the same answers.
	Quality float64 `json:"quality"`
	Target  float64 `json:"target"`
	// BelowTarget is the number of accounts whose fraction of good answers is below their
	// target by more than two standard errors.
	BelowTarget int `json:"short"`
	// Cost is the cost of all attempts in micro-cents per answer.
	Cost float64 `json:"cost"`
	// FirstTokenMS and EndMS hold p50, p95 and p99 of the time to the first token and to
	// the end of an answer, in ms. ReviewEndMS is EndMS for long requests only.
	FirstTokenMS [3]float64 `json:"first-ms"`
	EndMS        [3]float64 `json:"end-ms"`
	ReviewEndMS  [3]float64 `json:"review-end-ms"`
	// SmallEndMS is EndMS for accounts of weight 1 only.
	SmallEndMS [3]float64 `json:"small-end-ms"`
	// Exposed is the number of requests with a response from the bad version after it
	// turned bad.
	Exposed int `json:"exposed"`
	// HaltedAfter is the time from the start to the first halt of the bad version; 0 for none.
	HaltedAfter time.Duration `json:"halted"`
	// LastBad is the time from the halt to the start of the last request that the bad
	// version still answered; 0 for none.
	LastBad time.Duration `json:"last-bad"`
	// Attempts is the number of attempts per answered request.
	Attempts float64        `json:"attempts"`
	Codes    map[string]int `json:"codes"`
}

// Measure computes the figures of a run from its records, the stored receipts and the
// status of the entries. Versions holds the true qualities of the stand-ins, which
// decide whether an answer is good.
func Measure(ctx context.Context, s *Experiment, w *world.Deployment, rs []drive.Record, begin time.Time, vs Versions) (Figures, error) {
	f := Figures{Codes: map[string]int{}}
	var first, end, review, small []float64
	answered := map[ident.RequestID]bool{}
	good := 0
	tallies := map[ident.AccountID]tally{}
	for i := range rs {
		r := &rs[i]
		if r.At < s.Warmup {
			continue
		}
		f.Requests++
		if !r.OK() {
			f.count(r)
			continue
		}
		f.Answered++
		answered[r.Request] = true
		a := w.Document.Accounts[r.Account]
		f.Target += a.QualityTarget
		v := vs[r.Version]
		if answer.Compute(answer.Settings{Ref: r.Version, Quality: v.Quality, MeanTokens: v.MeanTokens}, r.Messages, 0).Good {
			good++
			tallies[r.Account] = tallies[r.Account].add(1)
		} else {
			tallies[r.Account] = tallies[r.Account].add(0)
		}
		first = append(first, ms(r.TimeToFirstText))
		end = append(end, ms(r.Total))
		if r.Task == drive.Review {
			review = append(review, ms(r.Total))
		}
		if a.Weight == 1 {
			small = append(small, ms(r.Total))
		}
	}
	n := float64(max(f.Answered, 1))
	f.Quality = float64(good) / n
	f.Target /= n
	for id, t := range tallies {
		if t.belowTarget(w.Document.Accounts[id].QualityTarget) {
			f.BelowTarget++
		}
	}
	f.Goodput = float64(f.Answered) / (s.Duration - s.Warmup).Seconds()
	f.FirstTokenMS, f.EndMS, f.ReviewEndMS, f.SmallEndMS = quantiles(first), quantiles(end), quantiles(review), quantiles(small)
	if err := f.cost(ctx, w, answered, begin); err != nil {
		return f, err
	}
	return f, f.exposure(ctx, s, w, rs, begin)
}

// tally counts the good answers and all answers of an account.
type tally struct{ good, all float64 }

func (t tally) add(good float64) tally {
	return tally{good: t.good + good, all: t.all + 1}
}

// belowTarget reports whether the fraction of good answers is below a target by more than
// two standard errors.
func (t tally) belowTarget(target float64) bool {
	q := t.good / t.all
	return q+2*math.Sqrt(target*(1-target)/t.all) < target
}

// count counts a request without a complete answer, by its code.
func (f *Figures) count(r *drive.Record) {
	code := string(r.Code)
	if code == "" {
		code = "no-answer"
	}
	f.Codes[code]++
	if r.Ran == "not-run" {
		f.Refused++
		return
	}
	f.Failed++
}

// cost sets Cost and Attempts from the stored receipts of the answered requests. An
// attempt has a receipt from the agent, from the entry, or from both.
func (f *Figures) cost(ctx context.Context, w *world.Deployment, answered map[ident.RequestID]bool, begin time.Time) error {
	rs, err := ledger.Load(ctx, w.Table(), begin.Add(-time.Minute), time.Now().Add(time.Minute))
	if err != nil {
		return err
	}
	type attempt struct {
		request ident.RequestID
		n       ident.Attempt
	}
	prices := map[attempt]ident.MicroCents{}
	for i := range rs {
		r := &rs[i]
		if answered[r.Request] {
			k := attempt{request: r.Request, n: r.Attempt}
			prices[k] = max(prices[k], r.Price)
		}
	}
	total := 0.0
	for _, p := range prices {
		total += float64(p)
	}
	n := float64(max(len(answered), 1))
	f.Cost = total / n
	f.Attempts = float64(len(prices)) / n
	return nil
}

// exposure sets Exposed, HaltedAfter and LastBad.
func (f *Figures) exposure(ctx context.Context, s *Experiment, w *world.Deployment, rs []drive.Record, begin time.Time) error {
	if s.BadVersion == (ident.VersionRef{}) {
		return nil
	}
	halt := time.Time{}
	for _, a := range w.Admins {
		var st opsapi.StatusReply
		if err := w.Operator(ctx, http.MethodGet, a, "/status", &st); err != nil {
			return err
		}
		for _, h := range st.Halts {
			if h.Version == s.BadVersion.String() && (halt.IsZero() || h.At.Before(halt)) {
				halt = h.At
			}
		}
	}
	if !halt.IsZero() {
		f.HaltedAfter = halt.Sub(begin)
	}
	for i := range rs {
		r := &rs[i]
		if r.At < s.Warmup || r.Version != s.BadVersion || r.Status == 0 {
			continue
		}
		f.Exposed++
		if !halt.IsZero() && r.At > f.HaltedAfter {
			f.LastBad = max(f.LastBad, r.At-f.HaltedAfter)
		}
	}
	return nil
}

// quantiles sorts x and returns its p50, p95 and p99, or zeros if it is empty.
func quantiles(x []float64) [3]float64 {
	if len(x) == 0 {
		return [3]float64{}
	}
	slices.Sort(x)
	at := func(q float64) float64 { return x[min(int(q*float64(len(x))), len(x)-1)] }
	return [3]float64{at(0.5), at(0.95), at(0.99)}
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// JSON returns the figures as JSON on one line.
func (f Figures) JSON() string {
	b, err := json.Marshal(f)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
