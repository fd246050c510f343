package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/standin/server"
)

// eventCount is the length of a stream.
const eventCount = 12

// entry is what clients and servers saw of one attempt of a client.
type entry struct {
	kind string
	key  string
	sent time.Time
	runs int
	// status is the client's answer; 0 means none, or a broken one.
	status int
	whole  bool
}

// ledger compares what clients and servers see. It is safe for concurrent use.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*entry
	revoked map[string]time.Time
	faults  []string
	random  *rand.Rand
	// spoil is the part of answers, in a thousand, that servers spoil.
	spoil atomic.Int64
}

func newLedger(seed uint64) *ledger {
	return &ledger{entries: map[string]*entry{}, revoked: map[string]time.Time{}, random: rand.New(rand.NewPCG(seed, 2))}
}

func (l *ledger) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) send(id, kind, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = &entry{kind: kind, key: key, sent: time.Now()}
}

// revokeOnce records that a key was taken away; later calls change nothing.
func (l *ledger) revokeOnce(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.revoked[key]; !ok {
		l.revoked[key] = time.Now()
	}
}

// script is what a server does with a request; it records the run.
func (l *ledger) script(service string) func(server.Request) server.Reply {
	return func(r server.Request) server.Reply {
		l.mu.Lock()
		defer l.mu.Unlock()
		e := l.entries[r.ID()]
		if e == nil {
			l.fault("a server ran request %q that no client sent", r.ID())
			return server.Reject{Status: http.StatusBadRequest}
		}
		if l.random.IntN(50) == 0 {
			return server.Reject{Status: http.StatusServiceUnavailable}
		}
		l.run(r, e)
		spoilt := l.random.Int64N(1000) < l.spoil.Load()
		if service == "llm" {
			s := server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1}
			if spoilt {
				s.TruncateAfter = 1 + l.random.IntN(eventCount-1)
			}
			return s
		}
		a := server.Answer{Status: http.StatusOK, Body: "answer to " + r.ID(), Confidence: -1}
		if !spoilt {
			return a
		}
		replies := []server.Reply{server.Reset{}, server.Truncated{}, server.Malformed{}, server.Duplicate{Answer: a}, server.Mismatched{Answer: a}, server.Hang{}}
		return replies[l.random.IntN(len(replies))]
	}
}

// run records that a request ran, and checks what must hold at that moment.
func (l *ledger) run(r server.Request, e *entry) {
	e.runs++
	if e.kind == "order" && e.runs > 1 {
		l.fault("request %s may run once and ran again", r.ID())
	}
	if e.kind == "order" && e.status == http.StatusServiceUnavailable {
		l.fault("request %s ran after its client was told that it did not", r.ID())
	}
	if want := "of-" + e.key; r.Header.Get("Tarragonvalve-Tenant-Name") != want || r.Header.Get("Authorization") != "" {
		l.fault("request %s ran as %q", r.ID(), r.Header.Get("Tarragonvalve-Tenant-Name"))
	}
	if at, ok := l.revoked[e.key]; ok && e.sent.Sub(at) > revoke {
		l.fault("request %s ran with a key taken away %v before it was sent", r.ID(), e.sent.Sub(at))
	}
}

// answer records and checks what a client got.
func (l *ledger) answer(id string, status int, body string, broken bool, signature string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if broken {
		return
	}
	e.status = status
	switch status {
	case http.StatusOK:
		want := "answer to " + id
		if e.kind == "chat" {
			want = stream()
		}
		if body != want {
			l.fault("request %s got %q", id, body)
		}
		if signature != "receipt-of-"+id {
			l.fault("request %s got the receipt %q", id, signature)
		}
		e.whole = true
	case http.StatusServiceUnavailable:
		if e.kind == "order" && e.runs > 0 {
			l.fault("request %s ran and got 503", id)
		}
	case http.StatusUnauthorized:
		if _, ok := l.revoked[e.key]; !ok {
			l.fault("request %s got 401 with a valid key", id)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		l.fault("request %s got %d", id, status)
	}
}

func stream() string {
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		b.WriteString(server.EventText(i))
	}
	return b.String()
}

// summary counts requests and whole answers.
func (l *ledger) summary() (sent, whole int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		sent++
		if e.whole {
			whole++
		}
	}
	return sent, whole
}
