package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/core/ident"
)

// job is one request of a simulated load.
type job struct {
	account ident.AccountID
	arrived time.Duration
	output  int
	allowed int
	started time.Duration
}

// result sums up a simulated load.
type result struct {
	done   int                                 // answers within their deadline
	missed int                                 // work that ran and came too late
	took   map[ident.AccountID][]time.Duration // from arrival to the end
}

const (
	slots      = 8
	perToken   = 10 * time.Millisecond
	meanOutput = 100
	patience   = 4 * time.Second // deadline after arrival
	length     = 120 * time.Second
)

// simulate plays a load on one upstream; rates are arrivals per second of each account.
func simulate(rates map[ident.AccountID]float64) result {
	r := rand.New(rand.NewPCG(4201, 1))
	var js []job
	for _, a := range []ident.AccountID{"big", "small"} {
		for t := 0.0; rates[a] > 0 && t < length.Seconds(); {
			t += r.ExpFloat64() / rates[a]
			n := 1 + int(r.ExpFloat64()*meanOutput)
			js = append(js, job{account: a, arrived: time.Duration(t * float64(time.Second)), output: n, allowed: 4 * meanOutput})
		}
	}
	slices.SortFunc(js, func(a, b job) int { return int(a.arrived - b.arrived) })
	s := sim{q: queue.New(queue.Default()), jobs: js, running: map[int]time.Duration{}}
	s.out.took = map[ident.AccountID][]time.Duration{}
	for i := range js {
		s.until(js[i].arrived)
		it := queue.Item{ID: uint64(i), Account: js[i].account, Weight: 1, Service: s.pace.Predict(1, js[i].allowed), Deadline: at(js[i].arrived + patience)}
		s.q.Push(it, s.load(js[i].arrived), at(js[i].arrived))
		s.fill(js[i].arrived)
	}
	s.until(2 * length)
	return s.out
}

type sim struct {
	q       *queue.Queue
	pace    queue.Pace
	jobs    []job
	running map[int]time.Duration // end of each running job
	out     result
}

func at(d time.Duration) time.Time { return start.Add(d) }

func (s *sim) load(now time.Duration) queue.Load {
	l := queue.Load{Slots: slots, Running: len(s.running)}
	for i := range s.running {
		l.Remaining += max(s.pace.Predict(1, s.jobs[i].allowed)-(now-s.jobs[i].started), 0)
	}
	return l
}

func (s *sim) fill(now time.Duration) {
	s.q.Expire(at(now))
	for len(s.running) < slots {
		it, ok := s.q.Pop()
		if !ok {
			return
		}
		i := int(it.ID)
		s.jobs[i].started = now
		// The agent cancels work at its deadline.
		s.running[i] = min(now+time.Duration(s.jobs[i].output)*perToken, s.jobs[i].arrived+patience)
	}
}

// until plays all ends up to a time.
func (s *sim) until(t time.Duration) {
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

func (s *sim) end(j *job, e time.Duration) {
	n := int((e - j.started) / perToken)
	s.pace.Observe(queue.Served{Input: 1, Output: n, Allowed: j.allowed, First: perToken, Total: e - j.started, Cut: n < j.output})
	if n < j.output {
		s.out.missed++
		return
	}
	s.out.took[j.account] = append(s.out.took[j.account], e-j.arrived)
	s.out.done++
}

func p95(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)*95/100]
}

// capacity is the number of requests per second that the slots can serve.
const capacity = float64(slots) / (meanOutput * 0.01)

// Guards against goodput that collapses under overload because work runs that
// comes too late: at twice capacity it must be at least 0.9 of that at capacity.
func TestGoodputUnderOverload(t *testing.T) {
	one := simulate(map[ident.AccountID]float64{"big": capacity})
	two := simulate(map[ident.AccountID]float64{"big": 2 * capacity})
	t.Logf("seed 4201: %d in time and %d late at capacity, %d and %d at twice capacity", one.done, one.missed, two.done, two.missed)
	if float64(two.done) < 0.9*float64(one.done) {
		t.Fatalf("%d answers in time at twice capacity, %d at capacity", two.done, one.done)
	}
}

// Guards against a large account whose threefold load slows a small one down:
// the small account's p95 must stay within 1.2 of that without the overload.
func TestSmallAccountUnderOverload(t *testing.T) {
	normal := simulate(map[ident.AccountID]float64{"big": 0.6 * capacity, "small": 0.1 * capacity})
	triple := simulate(map[ident.AccountID]float64{"big": 1.8 * capacity, "small": 0.1 * capacity})
	a, b := p95(normal.took["small"]), p95(triple.took["small"])
	t.Logf("seed 4201: p95 of the small account %v, under overload %v; %d and %d answers", a, b, len(normal.took["small"]), len(triple.took["small"]))
	if float64(b) > 1.2*float64(a) {
		t.Fatalf("p95 %v under overload, %v without", b, a)
	}
}
