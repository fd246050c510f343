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

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// reservation accounts for the memory of body; it must be freed.
	reservation *quota.Reservation
}

// serveBuffered serves a request whose response is passed on when it is complete. If no
// attempt succeeds it passes on the first server error of an upstream, if there was one.
func (t *request) serveBuffered(ctx context.Context, w http.ResponseWriter) error {
	var best *bufferedResponse
	var o outcome
	for {
		a, last := t.sendBuffered(ctx)
		o = last
		if a != nil {
			defer a.reservation.Free()
		}
		if a != nil && (a.status < http.StatusInternalServerError || best == nil) {
			best = a
		}
		if a != nil && (a.status < http.StatusInternalServerError || !t.Route.Retryable()) {
			break
		}
		if isFinal(o) || !t.takeRetry(ctx) {
			break
		}
	}
	if best == nil {
		return t.refusal(ctx, o)
	}
	h := w.Header()
	maps.Copy(h, t.Codec.ClientHeaders(best.header))
	h.Set("Content-Length", strconv.Itoa(len(best.body)))
	w.WriteHeader(best.status)
	if _, err := w.Write(best.body); err != nil {
		return &TruncatedError{Err: err, Answering: true}
	}
	return nil
}

// sendBuffered makes one attempt and reads the complete response. The response is nil unless
// the outcome is answered.
func (t *request) sendBuffered(ctx context.Context) (*bufferedResponse, outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m, err := t.Memory.ReserveAnswer(cancel)
	if err != nil {
		return nil, t.withoutRoom(err)
	}
	o := t.send(ctx, cancel, "", call.Outbound{})
	a, ok := o.(answered)
	if !ok {
		m.Free()
		return nil, o
	}
	b, err := t.readBody(a.Response, m)
	a.End()
	t.recordExcess(a)
	if err == nil {
		a.reportFirstResponse()
		a.verdict.Completed()
	} else if context.Cause(ctx) == nil {
		a.connectionLost()
	}
	a.finish(err == nil && a.Status < http.StatusInternalServerError)
	if err != nil {
		m.Free()
		t.recordLimit(err, a.upstream)
		return nil, unknown{err: err}
	}
	if !a.Meta.HasReceipt || (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
		// Without a receipt the response may not be the upstream's, and a 503 or 429 would
		// promise the client that nothing ran, which this one doesn't prove.
		m.Free()
		return nil, unknown{err: errUnproved}
	}
	return &bufferedResponse{status: a.Status, header: a.Header, body: b, reservation: m}, o
}

// errUnproved reports a response that must not be passed on; see sendBuffered.
var errUnproved = errors.New("the answer carries no receipt, or promises without proof that nothing ran")

// minAttemptTime is the least time that an attempt gets for the beginning of its response
// before another upstream is tried. Routes with a larger objective use that: without any
// limit, an upstream that hangs would take all of the client's time.
const minAttemptTime = 150 * time.Millisecond
