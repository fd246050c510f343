// Package front is the HTTP server for clients: it authenticates and admits requests by the
// configuration in force and passes them to the relay.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/admit"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/relay"
	"tarragonvalve.example/router/routes"
)

const (
	// defaultTimeout is the timeout of a client that states none.
	defaultTimeout = 30 * time.Second
	// retryStale is the Retry-After of an instance that lacks a fresh configuration, or
	// memory for the request. Another instance may serve the request at once.
	retryStale = 200 * time.Millisecond
	// maxViewWait is how long a request waits for the first read of the store by an
	// instance that has just started. The content arrives within some 20 ms after the
	// start, and a client retries a refused request only once or twice.
	maxViewWait = time.Second
	// viewWaitFraction bounds that wait to a fraction of the client's timeout.
	viewWaitFraction = 0.25
	// writeMargin is how long after its timeout a client may take to read the rest of its
	// response. Without this limit, a client that doesn't read would keep the response's
	// memory and, for a stream, its upstream occupied indefinitely.
	writeMargin = time.Second
	// retryStopping is the Retry-After of an instance that is shutting down, or has too little processor time. It can be
	// short, as the retry uses a new connection, which goes to another instance.
	retryStopping = 50 * time.Millisecond
)

// Handler serves the requests of clients. It is safe for concurrent use.
type Handler struct {
	syncer *mirror.Syncer
	relay  *relay.Relay
	codec  call.Codec
	gate   *Gate
	meter  *meter.Meter
	// memory bounds the bodies of requests and responses in progress.
	memory *quota.MemoryLimit
	log    zerolog.Logger
	tempo  tempo
}

// New returns a handler that admits requests by the configuration of n and the state of g,
// and passes them to r.
func New(n *mirror.Syncer, r *relay.Relay, c call.Codec, g *Gate, m *meter.Meter, q *quota.MemoryLimit, l zerolog.Logger) *Handler {
	return &Handler{syncer: n, relay: r, codec: c, gate: g, meter: m, memory: q, log: l}
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if the response ended
// early after its headers were sent.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	began := time.Now()
	h.gate.enter()
	defer h.gate.leave()
	x := exchangeOf(q.Context())
	if h.refuseQueued(w, q, x) {
		return
	}
	if h.gate.Stopping() || !h.gate.Fresh(h.syncer.View()) {
		w.Header().Set("Connection", "close")
	}
	if x.headRefused {
		h.refuseHead(w, q, x)
		return
	}
	m := h.codec.ParseRequest(q.Header)
	j := &relay.Job{Meta: m, Method: q.Method, Target: q.RequestURI, Host: q.Host, Header: q.Header, Arrived: x.arrived}
	s := newStatusWriter(w)
	reservation := h.memory.NewReservation()
	defer reservation.Free()
	err := h.serve(q.Context(), s, q, x, j, reservation)
	var truncated *relay.TruncatedError
	isTruncated := errors.As(err, &truncated)
	if err != nil && !isTruncated {
		writeRefusal(s, refuse.FromError(err, refuse.Unknown))
	}
	x.end(q.Context(), err)
	h.meter.Waited(x.waited)
	h.logRequest(j, m, ended{status: s.status, err: err, took: time.Since(began), waited: x.waited})
	if isTruncated {
		// The connection must end without the mark of a complete response.
		panic(http.ErrAbortHandler)
	}
}

// refuseHead refuses a request for whose headers there is no memory. It drops them and doesn't wait for the body: net/http
// keeps the request until the rest of a body has arrived.
func (h *Handler) refuseHead(w http.ResponseWriter, q *http.Request, x *exchange) {
	began := time.Now()
	w.Header().Set("Connection", "close")
	err := refuse.New(refuse.Overloaded, refuse.NotRun, "the headers of requests in progress take the memory that they may").WithRetryAfter(retryStale)
	m := h.codec.ParseRequest(q.Header)
	q.Header, x.header = nil, nil
	s := newStatusWriter(w)
	// An error means that the connection is closed.
	setDeadlines(http.NewResponseController(w), began.Add(-defaultTimeout), defaultTimeout) //nolint:errcheck,gosec // see above
	writeRefusal(s, err)
	x.end(q.Context(), err)
	h.logRequest(&relay.Job{}, m, ended{status: s.status, err: err, took: time.Since(began), waited: x.waited})
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// newStatusWriter returns w if it records the status already, as it does for requests of a Server.
func newStatusWriter(w http.ResponseWriter) *statusWriter {
	if s, ok := w.(*statusWriter); ok {
		return s
	}
	return &statusWriter{ResponseWriter: w}
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. A first write without a status implies the status 200.
func (w *statusWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController flush and set deadlines on the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// serve admits a request, reads its body and forwards it. It fills in j step by step, so
// that the caller can log how far the request got. reservation accounts for the memory of
// the body.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, q *http.Request, x *exchange, j *relay.Job, reservation *quota.Reservation) error {
	c := http.NewResponseController(w)
	if err := h.checkHeaders(w, q); err != nil {
		return err
	}
	if err := setDeadlines(c, j.Arrived, clientTimeout(j.Meta)); err != nil {
		return err
	}
	h.awaitView(ctx, j.Meta)
	if err := h.admit(q.URL.Path, x, j); err != nil {
		return err
	}
	if err := checkLink(ctx, w, q, j); err != nil {
		return err
	}
	if err := setDeadlines(c, j.Arrived, j.Deadline.Sub(j.Arrived)); err != nil {
		return err
	}
	if err := h.readBody(w, q, j, reservation); err != nil {
		return err
	}
	// While the request is served, net/http keeps reading to detect that the client disconnects.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	// The body may have taken long to arrive: if the configuration has changed or become
	// stale meanwhile, the request is admitted once more.
	if v := h.syncer.View(); j.Document != v.Document || !h.gate.Fresh(v) {
		if err := h.admit(q.URL.Path, x, j); err != nil {
			return err
		}
	}
	j.Recheck = func() error { return x.checked(h.recheck(x, j)) }
	err := h.relay.Serve(ctx, w, j)
	if r, ok := refuse.As(err); !ok || r.Ran != refuse.NotRun {
		h.tempo.record(j.Route.ID, time.Since(j.Arrived), err == nil, time.Now())
	}
	return explainStop(ctx, err)
}

// errDrained is the cause of the end of requests that are in progress at the end of a drain. It counts as
// context.Canceled, like the departure of their clients, since it says nothing about the upstreams.
var errDrained = fmt.Errorf("the instance stopped before the answer was complete: %w", context.Canceled)

// explainStop replaces the refusal of a request that the end of the drain has ended. A truncated answer
// can't be replaced.
func explainStop(ctx context.Context, err error) error {
	var truncated *relay.TruncatedError
	r, ok := refuse.As(err)
	if !ok || errors.As(err, &truncated) || !errors.Is(context.Cause(ctx), errDrained) {
		return err
	}
	return refuse.New(refuse.Draining, r.Ran, "%v", errDrained).WithRetryAfter(retryStopping)
}

// checkHeaders refuses a request with ambiguous headers and ends its connection, as a program
// before this one may have read it differently. It also ends the connection after a request with a
// transfer coding, as net/http doesn't tell whether there was a Content-Length too, after which
// the connection must not be used again (RFC 9112, section 6.1).
func (h *Handler) checkHeaders(w http.ResponseWriter, q *http.Request) error {
	if len(q.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if err := h.codec.CheckRequest(q.Header); err != nil {
		w.Header().Set("Connection", "close")
		return refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
	}
	return nil
}

// clientTimeout returns how long the client waits from the request's arrival.
func clientTimeout(m call.Request) time.Duration {
	if m.Timeout <= 0 {
		return defaultTimeout
	}
	return m.Timeout
}

// setDeadlines sets the deadlines by which the client must have sent its body, which is
// timeout after the request's arrival, and read its response, which is writeMargin later. A request whose time is over
// already gets writeMargin for its refusal.
func setDeadlines(c *http.ResponseController, arrived time.Time, timeout time.Duration) error {
	read, write := arrived.Add(timeout), time.Now().Add(writeMargin)
	if t := read.Add(writeMargin); t.After(write) {
		write = t
	}
	return errors.Join(c.SetReadDeadline(read), c.SetWriteDeadline(write))
}

// recheck authenticates an admitted request again right before it is sent, as the process
// may have been paused since. It returns a *refuse.Error if the key is no longer accepted
// or now belongs to another client account, if the instance may stop before the request has ended, if its time is over, or if
// its client has left.
func (h *Handler) recheck(x *exchange, j *relay.Job) error {
	if err := h.checkTime(x, j); err != nil {
		return err
	}
	if x.clientLeft() {
		return refuse.New(refuse.Cancelled, refuse.NotRun, "the client left before the request was sent")
	}
	if err := h.checkShutdown(j); err != nil {
		return err
	}
	k := *j
	if err := h.authenticate(&k, h.syncer.View()); err != nil {
		return err
	}
	if k.Account != j.Account {
		return refuse.New(refuse.StaleGeneration, refuse.NotRun, "the key was given to another client account").WithRetryAfter(retryStale)
	}
	return nil
}

// awaitView waits until the instance has read what it needs to serve requests, but no longer than
// maxViewWait and viewWaitFraction of the client's timeout.
func (h *Handler) awaitView(ctx context.Context, m call.Request) {
	if h.syncer.View().Complete {
		return
	}
	limit := maxViewWait
	if m.Timeout > 0 {
		limit = min(limit, time.Duration(float64(m.Timeout)*viewWaitFraction))
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for {
		c := h.syncer.Changed()
		if h.syncer.View().Complete {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c:
		}
	}
}

// admit checks a request against the configuration in force and sets the job's document,
// route, account, priority and deadline. It returns a *refuse.Error if the request is
// not admitted.
func (h *Handler) admit(path string, x *exchange, j *relay.Job) error {
	v := h.syncer.View()
	d := v.Document
	if d == nil {
		return refuse.New(refuse.NoDocument, refuse.NotRun, "no configuration is known yet").WithRetryAfter(retryStale)
	}
	j.Document = d
	r, ok := d.Match(j.Host, path)
	if !ok {
		if !h.gate.Fresh(v) {
			return refuse.New(refuse.StaleGeneration, refuse.NotRun, "the route is unknown and the configuration is old").WithRetryAfter(retryStale)
		}
		return refuse.New(refuse.NotFound, refuse.NotRun, "no route for the host and path")
	}
	j.Route = r
	j.Priority = r.Priority
	if err := h.authenticate(j, v); err != nil {
		return err
	}
	timeout := clientTimeout(j.Meta)
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	j.Deadline = j.Arrived.Add(timeout)
	if err := h.checkTime(x, j); err != nil {
		return err
	}
	return h.checkShutdown(j)
}

// checkTime returns a *refuse.Error if the request's time is over, or its answer would be late.
func (h *Handler) checkTime(x *exchange, j *relay.Job) error {
	now := time.Now()
	left := j.Deadline.Sub(now)
	if admit.InTime(left, h.tempo.fastest(j.Route.ID, now), x.waited, h.gate.lateness.Lateness()) {
		return nil
	}
	if left > 0 {
		return errOverloaded
	}
	return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "the request's time was over before it could be sent")
}

// checkShutdown returns a *refuse.Error if the instance may end before the request.
func (h *Handler) checkShutdown(j *relay.Job) error {
	if !h.gate.Stopping() || h.gate.Admits(h.longest(j)) {
		return nil
	}
	return refuse.New(refuse.Draining, refuse.NotRun, "the instance may stop before the request has ended").WithRetryAfter(retryStopping)
}

// longest returns how long a request may take from now on: until its deadline. For a buffered answer that may be
// requested again, it is what the tempo of its route leads to expect, if that is less: if it takes longer, its client
// gets a 502 and may repeat it. A stream would be cut, and the fate of a request that may run once be unknown.
func (h *Handler) longest(j *relay.Job) time.Duration {
	left := time.Until(j.Deadline)
	if j.Route.Kind != routes.Idempotent {
		return left
	}
	if d, ok := h.tempo.expected(j.Route.ID, time.Now()); ok {
		left = min(left, d)
	}
	return left
}

// authenticate finds the client account of a request that needs a key, by a view's configuration. Keys are
// accepted only while that is provably fresh, as a key may have been revoked.
func (h *Handler) authenticate(j *relay.Job, v *mirror.View) error {
	d := v.Document
	if !d.RequiresKey(j.Route) {
		return nil
	}
	if !h.gate.Fresh(v) {
		return refuse.New(refuse.StaleGeneration, refuse.NotRun, "the configuration is too old to accept keys").WithRetryAfter(retryStale)
	}
	a, ok := d.Account(j.Meta.Key)
	if !ok {
		return refuse.New(refuse.Unauthenticated, refuse.NotRun, "the key is unknown")
	}
	j.Account = a.ID
	if a.Priority >= 0 {
		j.Priority = a.Priority
	}
	return nil
}

// readBody reads the request's body into the job. It returns a *refuse.Error if the body is
// too long, too late or broken, or if the memory for messages in progress is used up.
func (h *Handler) readBody(w http.ResponseWriter, q *http.Request, j *relay.Job, reservation *quota.Reservation) error {
	if q.Body == nil || q.Body == http.NoBody {
		return nil
	}
	limit := j.Document.Limits.MaxBody
	if limit <= 0 {
		limit = math.MaxInt32
	}
	b, err := reservation.ReadAll(http.MaxBytesReader(w, q.Body, limit), "body", limit)
	var long *http.MaxBytesError
	var full *quota.MemoryLimitError
	switch {
	case errors.As(err, &long):
		return refuse.New(refuse.BodyTooLarge, refuse.NotRun, "the body is longer than %d bytes", long.Limit)
	case errors.As(err, &full):
		return refuse.New(refuse.Overloaded, refuse.NotRun, "%v", full).WithRetryAfter(retryStale)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return refuse.New(refuse.RequestTimeout, refuse.NotRun, "the body did not arrive in the client's time")
	case err != nil:
		return refuse.New(refuse.BadRequest, refuse.NotRun, "read the body: %v", err)
	}
	j.Body = b
	return nil
}

// statuses are the HTTP status codes by the code of a refusal. Any other refusal is a 503 if
// the request did not run, else a 502.
var statuses = map[refuse.Code]int{
	refuse.NotFound:         http.StatusNotFound,
	refuse.Unauthenticated:  http.StatusUnauthorized,
	refuse.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	refuse.BadRequest:       http.StatusBadRequest,
	refuse.RequestTimeout:   http.StatusRequestTimeout,
	refuse.DeadlineExceeded: http.StatusGatewayTimeout,
}

// writeRefusal writes the response of a request that got none from an upstream.
func writeRefusal(w http.ResponseWriter, e *refuse.Error) {
	status, ok := statuses[e.Code]
	switch {
	case ok:
	case e.Ran == refuse.NotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	if e.RetryAfter > 0 && e.Ran == refuse.NotRun {
		w.Header().Set("Retry-After", retryAfter(e))
	}
	w.Header().Set("Content-Type", "application/json")
	b := refusalBody(e)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

// retryAfter returns the header Retry-After of a refusal.
func retryAfter(e *refuse.Error) string {
	return strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64)
}

// refusalBody returns the body of a refusal.
func refusalBody(e *refuse.Error) []byte {
	b, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": e.Code, "message": e.Message, "ran": e.Ran, "retry-after-ms": e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		// The values above always encode. If they didn't, the status would be sent without a
		// body.
		return nil
	}
	return b
}

// ended is how a request ended.
type ended struct {
	status int
	err    error
	// took is the time in the handler, waited that before it.
	took, waited time.Duration
}

// logRequest logs and counts how a request ended, with the route, account and configuration
// that applied to it.
func (h *Handler) logRequest(j *relay.Job, m call.Request, n ended) {
	e := h.log.Info()
	code := strconv.Itoa(n.status)
	if n.err != nil {
		e = h.log.Warn().AnErr("reason", n.err)
		r := refuse.FromError(n.err, refuse.Unknown)
		code = string(r.Code)
		e = e.Str("code", code).Str("ran", string(r.Ran)).Dur("retry-after", r.RetryAfter)
	}
	kind := "none"
	if j.Route != nil {
		kind = j.Route.Kind.String()
		e = e.Str("route", string(j.Route.ID)).Str("account", string(j.Account))
	}
	if j.Document != nil {
		e = e.Uint64("generation", uint64(j.Document.Generation))
	}
	if a, ok := h.syncer.ConfigAge(); ok {
		e = e.Dur("configuration-age", a)
	}
	h.meter.Request(kind, code, n.took)
	e.Str("request", string(m.ID)).Int("status", n.status).Dur("took", n.took).Dur("waited", n.waited).Msg("request ended")
}
