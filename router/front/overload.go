package front

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/admit"
	"tarragonvalve.example/router/call"
)

const (
	// longPrompt is the length of a prompt from which on its request is preferred in a queue.
	longPrompt = 4000
	// unreadBodyTime bounds the wait for the rest of the body of a request that was refused unread.
	unreadBodyTime = time.Second
	// refusalLogInterval is the least time between two log lines on refusals by overload.
	refusalLogInterval = time.Second
	// closeEach is the number of refusals of which one ends its connection, so that connections move to other instances.
	// Retries use new connections anyway, and accepting one takes longer than a refusal.
	closeEach = 8
)

// overload records how long requests wait for this process. Its zero value is ready for use. It is safe for concurrent
// use.
type overload struct {
	mu    sync.Mutex
	queue admit.Queue
	pause admit.Pause
	// refused is the number of refusals, unlogged that of those since logged, the time of the latest log line on them.
	refused, unlogged int
	logged            time.Time
}

// takes records that a request reached its handler after a wait, and reports whether it is taken. isPreferred reports
// whether it is preferred.
func (o *overload) takes(now time.Time, waited time.Duration, isPreferred func() bool) bool {
	standing := o.record(now, waited)
	return admit.Takes(standing, waited, false) || admit.Takes(standing, waited, isPreferred())
}

// record records how long a request waited, and reports whether a queue stands.
func (o *overload) record(now time.Time, waited time.Duration) (standing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue.Add(now, waited)
	standing = o.queue.Standing(now)
	o.pause.Update(now, standing, rand.Float64()) //nolint:gosec // spreads pauses, guards no secret
	return standing
}

// standing reports whether requests that have waited are refused.
func (o *overload) standing(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queue.Standing(now)
}

// paused reports whether the instance asks for no new connections as its queue has stood for long.
func (o *overload) paused(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queue.Standing(now) && o.pause.Paused(now)
}

// refusal counts a refusal. It returns the number of refusals to log now, or 0, and whether the connection ends.
func (o *overload) refusal(now time.Time) (logged int, closes bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused++
	o.unlogged++
	closes = o.refused%closeEach == 0
	if now.Sub(o.logged) < refusalLogInterval {
		return 0, closes
	}
	logged = o.unlogged
	o.unlogged, o.logged = 0, now
	return logged, closes
}

var errOverloaded = refuse.New(refuse.Overloaded, refuse.NotRun, "the instance has too little processor time").WithRetryAfter(retryStopping)

// overloadHeader and overloadBody are the response of a request that is refused by overload.
var (
	closeConnection = []string{"close"}
	overloadBody    = refusalBody(errOverloaded)
	overloadHeader  = map[string][]string{
		"Content-Length": {strconv.Itoa(len(overloadBody))},
		"Content-Type":   {"application/json"},
		"Retry-After":    {retryAfter(errOverloaded)},
	}
)

// refuseQueued refuses a request that has waited too long in a standing queue, and reports whether it did. That is
// cheap, as it happens past capacity: before the request is looked at, and without a log line.
func (h *Handler) refuseQueued(w http.ResponseWriter, q *http.Request, x *exchange) bool {
	now := time.Now()
	if h.gate.overload.takes(now, x.waited, func() bool { return preferred(h.codec.ParseRequest(q.Header)) }) {
		return false
	}
	if q.Body != http.NoBody {
		// An error means that the connection is closed.
		http.NewResponseController(w).SetReadDeadline(now.Add(unreadBodyTime)) //nolint:errcheck,gosec // see above
	}
	logged, closes := h.gate.overload.refusal(now)
	a := w.Header()
	if closes || h.gate.Stopping() {
		a["Connection"] = closeConnection
	}
	for k, v := range overloadHeader {
		a[k] = v
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	w.Write(overloadBody)
	x.end(q.Context(), errOverloaded)
	h.recordOverload(x.waited, logged)
	return true
}

// recordOverload counts a refusal by overload, and logs as many as are logged now.
func (h *Handler) recordOverload(waited time.Duration, logged int) {
	h.meter.RefusedByOverload(waited)
	if logged > 0 {
		h.log.Warn().Int("requests", logged).Dur("waited", waited).Dur("lateness", h.gate.lateness.Lateness()).Msg("requests refused by overload")
	}
}

// preferred reports whether a request is refused only after others: its work was begun elsewhere, or is costly to repeat.
func preferred(m call.Request) bool { return m.Resumes || m.Input >= longPrompt }
