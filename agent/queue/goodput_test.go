package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/core/ident"
)

// job is one request of a simulated load. Times count from the start of the load, output
// is in tokens.
type job struct {
	account   ident.AccountID
	arrived   time.Duration
	output    int
	maxOutput int
	started   time.Duration
}

// result summarizes a simulated load.
type result struct {
	inTime    int                                 // requests answered by their deadline
	late      int                                 // requests cut off at their deadline while they ran
	latencies map[ident.AccountID][]time.Duration // from arrival to the end
}

const (
	slots        = 8
	timePerToken = 10 * time.Millisecond
	meanOutput   = 100
	timeout      = 4 * time.Second // from arrival to deadline
	loadDuration = 120 * time.Second
)

// simulate runs a load of random arrivals and output lengths on one upstream. rates
// holds the arrivals per second of each account.
func simulate(rates map[ident.AccountID]float64) result {
	r := rand.New(rand.NewPCG(4201, 1))
	var js []job
	for _, a := range []ident.AccountID{"big", "small"} {
		for t := 0.0; rates[a] > 0 && t < loadDuration.Seconds(); {
			t += r.ExpFloat64() / rates[a]
			n := 1 + int(r.ExpFloat64()*meanOutput)
			js = append(js, job{account: a, arrived: time.Duration(t * float64(time.Second)), output: n, maxOutput: 4 * meanOutput})
		}
	}
	slices.SortFunc(js, func(a, b job) int { return int(a.arrived - b.arrived) })
	s := simulation{q: queue.New(queue.Default()), jobs: js, running: map[int]time.Duration{}}
	s.out.latencies = map[ident.AccountID][]time.Duration{}
	for i := range js {
		s.runUntil(js[i].arrived)
		it := queue.Item{ID: uint64(i), Account: js[i].account, Weight: 1, ServiceTime: s.predictor.Predict(1, js[i].maxOutput), Deadline: at(js[i].arrived + timeout)}
		s.q.Push(it, s.load(js[i].arrived), at(js[i].arrived))
		s.fill(js[i].arrived)
	}
	s.runUntil(2 * loadDuration)
	return s.out
}

// simulation is an upstream with its queue and its running requests.
type simulation struct {
	q         *queue.Queue
	predictor queue.Predictor
	jobs      []job
	running   map[int]time.Duration // end of each running job, by index into jobs
	out       result
}

func at(d time.Duration) time.Time { return start.Add(d) }

func (s *simulation) load(now time.Duration) queue.Load {
	l := queue.Load{Slots: slots, Running: len(s.running)}
	for i := range s.running {
		l.Remaining += max(s.predictor.Predict(1, s.jobs[i].maxOutput)-(now-s.jobs[i].started), 0)
	}
	return l
}

func (s *simulation) fill(now time.Duration) {
	s.q.Expire(at(now))
	for len(s.running) < slots {
		it, ok := s.q.Pop()
		if !ok {
			return
		}
		i := int(it.ID)
		s.jobs[i].started = now
		// The agent cancels running work at its deadline.
		s.running[i] = min(now+time.Duration(s.jobs[i].output)*timePerToken, s.jobs[i].arrived+timeout)
	}
}

// runUntil ends all jobs whose end is at most t, in order, and refills their slots.
func (s *simulation) runUntil(t time.Duration) {
	for {
		first := -1
		for i, e := range s.running {
			if e <= t && (first < 0 || e < s.running[first]) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		e := s.running[first]
		delete(s.running, first)
		s.end(&s.jobs[first], e)
		s.fill(e)
	}
}

func (s *simulation) end(j *job, e time.Duration) {
	n := int((e - j.started) / timePerToken)
	s.predictor.Observe(queue.Sample{Input: 1, Output: n, MaxOutput: j.maxOutput, FirstToken: timePerToken, Total: e - j.started, Truncated: n < j.output})
	if n < j.output {
		s.out.late++
		return
	}
	s.out.latencies[j.account] = append(s.out.latencies[j.account], e-j.arrived)
	s.out.inTime++
}

func p95(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)*95/100]
}

// capacity is the number of requests per second that the slots can serve with the mean
// output.
const capacity = float64(slots) / (meanOutput * 0.01)

// Guards against goodput that collapses under overload because the slots run work that
// misses its deadline. The goodput at twice the capacity must be at least 0.9 of that at
// capacity.
func TestGoodputUnderOverload(t *testing.T) {
	full := simulate(map[ident.AccountID]float64{"big": capacity})
	double := simulate(map[ident.AccountID]float64{"big": 2 * capacity})
	t.Logf("seed 4201: %d in time and %d late at capacity, %d and %d at twice capacity", full.inTime, full.late, double.inTime, double.late)
	if float64(double.inTime) < 0.9*float64(full.inTime) {
		t.Fatalf("%d requests in time at twice capacity, %d at capacity, want at least 0.9 of those", double.inTime, full.inTime)
	}
}

// Guards against a large account that triples its load and so slows down a small one.
// The p95 of the small account must be at most 1.2 times that without the overload.
func TestSmallAccountUnderOverload(t *testing.T) {
	normal := simulate(map[ident.AccountID]float64{"big": 0.6 * capacity, "small": 0.1 * capacity})
	triple := simulate(map[ident.AccountID]float64{"big": 1.8 * capacity, "small": 0.1 * capacity})
	a, b := p95(normal.latencies["small"]), p95(triple.latencies["small"])
	t.Logf("seed 4201: p95 of the small account: %v, under overload %v; %d and %d requests in time", a, b, len(normal.latencies["small"]), len(triple.latencies["small"]))
	if float64(b) > 1.2*float64(a) {
		t.Fatalf("p95 of the small account is %v under overload, %v without, want at most 1.2 times that", b, a)
	}
}
