package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/quota"
)

// wholeAnswer is a complete answer of an upstream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	memory *quota.Reservation
}

// whole answers a request whose answer is passed on when it is complete.
func (t *try) whole(ctx context.Context, w http.ResponseWriter) error {
	var best *wholeAnswer
	var o outcome
	for {
		a, last := t.wholeOnce(ctx)
		o = last
		if a != nil {
			defer a.memory.Free()
		}
		if a != nil && (a.status < http.StatusInternalServerError || best == nil) {
			best = a
		}
		if a != nil && (a.status < http.StatusInternalServerError || !t.Route.Repeatable()) {
			break
		}
		if final(o) || !t.again(ctx) {
			break
		}
	}
	if best == nil {
		return t.failure(ctx, o)
	}
	h := w.Header()
	maps.Copy(h, t.Codec.Reply(best.header))
	h.Set("Content-Length", strconv.Itoa(len(best.body)))
	w.WriteHeader(best.status)
	if _, err := w.Write(best.body); err != nil {
		return &CutError{Err: err}
	}
	return nil
}

// wholeOnce sends the request once and reads the whole answer.
func (t *try) wholeOnce(ctx context.Context) (*wholeAnswer, outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	o := t.send(ctx, cancel, "", call.Send{})
	a, ok := o.(answered)
	if !ok {
		return nil, o
	}
	m := t.Memory.NewReservation()
	b, err := t.readAll(a.Answer, m)
	a.End()
	a.latency = time.Since(began)
	a.end(err == nil && a.Status < http.StatusInternalServerError)
	if err != nil {
		m.Free()
		t.exceeded(err, a.upstream)
		return nil, lost{err: err}
	}
	if !a.Meta.Signed || (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
		// Without a receipt, or with a promise that isn't proved, the answer can't be passed on.
		m.Free()
		return nil, lost{err: errUnproved}
	}
	return &wholeAnswer{status: a.Status, header: a.Header, body: b, memory: m}, o
}

var errUnproved = errors.New("the answer carries no receipt, or promises without proof that nothing ran")

// minAttempt is the shortest time that an attempt gets before another upstream is
// tried; it is the objective otherwise, since a server that hangs would take all
// of the client's time.
const minAttempt = 150 * time.Millisecond
