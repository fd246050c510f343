package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crashingPart is the id of the part that crashes servers, sharedPart that of the first part of all
	// prompts, soundPart that of the second part of sound ones.
	crashingPart, sharedPart, soundPart = "bad00001", "aaaa0001", "cccc0001"
	// soundGap and crashingGap are the times between two sound and between two crashing requests.
	soundGap    = 25 * time.Millisecond
	crashingGap = 500 * time.Millisecond
	// calmTime is the time before the first crashing request, poisonTime that from it to the end.
	calmTime   = 6 * time.Second
	poisonTime = 25 * time.Second
	// stabilityWindow is the bound stability_window_ms. countedCrashes is the number of crashes from which
	// on it counts, twice.
	stabilityWindow = 3 * time.Second
	countedCrashes  = 5
	// leastRequests is the least number of requests on either side for a verdict.
	leastRequests = 20
)

// poisoned sends sound requests all the time, and beside them requests with a part that crashes each server
// that begins to answer. Later than twice the stability window after the fifth crash sound requests must
// begin at least half as often as before.
func poisoned(e *env) (int, error) {
	s := newStore()
	s.put("op", "config", chatConfig(64))
	p := &poisoning{env: e, began: map[string]bool{}}
	for i := range 3 {
		x := &frail{
			id: fmt.Sprintf("server-%d", i+1), address: "127.0.0.1:0", record: e.record, store: s, part: crashingPart,
			events: 40, interval: 30 * time.Millisecond, downTime: 2 * time.Second, onRun: p.run, onCrash: p.crash,
		}
		if err := x.start(); err != nil {
			return failed, err
		}
	}
	rs, err := newRouters(e, s, 3)
	if err != nil {
		return failed, err
	}
	defer endAll(rs)
	// The machines must be in touch.
	time.Sleep(4 * time.Second)
	start := time.Now()
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; time.Since(start) < calmTime+poisonTime; n++ {
			r, id := rs[n%len(rs)], fmt.Sprintf("sound-%d", n)
			p.sent(id)
			g.Go(func() { p.send(r, id, soundPart) })
			time.Sleep(soundGap)
		}
	})
	time.Sleep(calmTime)
	first := time.Now()
	for n := 0; e.trouble && time.Since(first) < poisonTime; n++ {
		r, id := rs[n%len(rs)], fmt.Sprintf("crashing-%d", n)
		g.Go(func() { p.send(r, id, crashingPart) })
		time.Sleep(crashingGap)
	}
	g.Wait()
	return p.judge(first)
}

// poisoning holds what happened. It is safe for concurrent use.
type poisoning struct {
	*env

	mu      sync.Mutex
	sounds  []soundRequest
	began   map[string]bool
	crashes []time.Time
}

// soundRequest is a sound request and when its client sent it.
type soundRequest struct {
	id string
	at time.Time
}

func (p *poisoning) sent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sounds = append(p.sounds, soundRequest{id: id, at: time.Now()})
}

func (p *poisoning) run(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began[id] = true
}

func (p *poisoning) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// share returns how many sound requests were sent between two times, and how many of them began.
func (p *poisoning) share(from, to time.Time) (sent, began int) {
	for _, x := range p.sounds {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		sent++
		if p.began[x.id] {
			began++
		}
	}
	return sent, began
}

// judge compares the sound requests after the crashes with those before first, the first crashing request.
func (p *poisoning) judge(first time.Time) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := first
	if n := len(p.crashes); n > 0 {
		from = p.crashes[min(n, countedCrashes)-1].Add(2 * stabilityWindow)
	}
	sent, began := p.share(time.Time{}, first)
	sentAfter, beganAfter := p.share(from, first.Add(poisonTime))
	p.record.add("%d crashes; before the first crashing request %d of %d sound requests began; from %s after it on, %d of %d",
		len(p.crashes), began, sent, from.Sub(first).Round(time.Millisecond), beganAfter, sentAfter)
	if sent < leastRequests || sentAfter < leastRequests {
		return failed, fmt.Errorf("%d and %d sound requests are too few", sent, sentAfter)
	}
	if float64(beganAfter)/float64(sentAfter) < float64(began)/float64(sent)/2 {
		return broken, nil
	}
	return held, nil
}

// send sends one request with a second part and one of its own.
func (p *poisoning) send(r *router, id, part string) {
	c, err := net.DialTimeout("tcp", r.clients, time.Second)
	if err != nil {
		p.record.add("%s: %v", id, err)
		return
	}
	defer c.Close()
	p.record.add("client sends %s to %s", id, r.name)
	fmt.Fprintf(c, "POST /chat/1 HTTP/1.1\r\nHost: %s\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 8000\r\nTarragonvalve-Model-Name: model-a\r\nTarragonvalve-Token-Usage: 100,480\r\nTarragonvalve-Prompt-Prefix: %s:40,%s:30,%x:30\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", host, id, sharedPart, part, id, len(id), id)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.record.add("connection of %s ends without an answer: %v", id, err)
		return
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		p.record.add("connection of %s ends in the middle of its answer: %v", id, err)
		return
	}
	p.record.add("client gets %d for %s, Retry-After %q", a.StatusCode, id, a.Header.Get("Retry-After"))
}
