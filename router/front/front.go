// Package front serves clients: it admits requests by the configuration in
// force and hands them to the relay.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/known"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/relay"
	"tarragonvalve.example/router/routes"
)

const (
	// defaultLeft is the time of a client that states none.
	defaultLeft = 30 * time.Second
	// retryUnknown is when a client may come back to an instance that doesn't
	// know a fresh configuration; another instance may take it at once.
	retryUnknown = 200 * time.Millisecond
	// startWait is how long a request waits for the first configuration of an
	// instance that has just started: it comes within some 20 ms after a start,
	// and a client repeats a refused request only once or twice.
	startWait = time.Second
	// startPart bounds the same by the client's time.
	startPart = 0.25
	// writeMargin is how long after the end of its time a client may take what is left of
	// its answer. A client that takes nothing would else hold its answer and, if that is
	// a stream, its upstream for as long as it likes.
	writeMargin = time.Second
	// retryStopping sends clients to another instance; their next try uses a new connection.
	retryStopping = 50 * time.Millisecond
)

// Handler answers clients. It is safe for concurrent use.
type Handler struct {
	node  *known.Syncer
	relay *relay.Relay
	codec call.Codec
	gate  *Gate
	meter *meter.Meter
	// memory bounds the bodies of requests and answers in progress.
	memory *quota.MemoryLimit
	log    zerolog.Logger
}

// New returns a handler.
func New(n *known.Syncer, r *relay.Relay, c call.Codec, g *Gate, m *meter.Meter, q *quota.MemoryLimit, l zerolog.Logger) *Handler {
	return &Handler{node: n, relay: r, codec: c, gate: g, meter: m, memory: q, log: l}
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	began := time.Now()
	h.gate.enter()
	defer h.gate.leave()
	if h.gate.Stopping() || !h.gate.Fresh() {
		w.Header().Set("Connection", "close")
	}
	m := h.codec.Request(q.Header)
	s := &statusWriter{ResponseWriter: w}
	j := &relay.Job{}
	held := h.memory.NewReservation()
	defer held.Free()
	err := h.serve(q.Context(), s, q, m, j, held)
	var cut *relay.CutError
	isCut := errors.As(err, &cut)
	if err != nil && !isCut {
		refused(s, refuse.From(err, refuse.Unknown))
	}
	h.record(j, m, s.status, err, time.Since(began))
	if isCut {
		// The connection must end without the mark of a complete answer.
		panic(http.ErrAbortHandler)
	}
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// serve answers a request and fills in the job as far as it gets.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, q *http.Request, m call.Request, j *relay.Job, held *quota.Reservation) error {
	*j = relay.Job{Meta: m, Method: q.Method, Target: q.RequestURI, Host: q.Host, Header: q.Header, Arrived: time.Now()}
	c := http.NewResponseController(w)
	if err := setDeadlines(c, j.Arrived, clientTime(m)); err != nil {
		return err
	}
	h.awaitStart(ctx, m)
	if err := h.admit(q.URL.Path, j); err != nil {
		return err
	}
	if err := setDeadlines(c, j.Arrived, j.Deadline.Sub(j.Arrived)); err != nil {
		return err
	}
	if err := h.body(w, q, j, held); err != nil {
		return err
	}
	// While the answer is made, net/http reads on to notice that the client leaves.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	// The body may have taken long; the configuration is checked again for what is sent now.
	if j.Document != h.node.View().Document || !h.gate.Fresh() {
		if err := h.admit(q.URL.Path, j); err != nil {
			return err
		}
	}
	j.Valid = func() error { return h.valid(j) }
	return h.relay.Serve(ctx, w, j)
}

// clientTime returns how long the client waits from the request's arrival.
func clientTime(m call.Request) time.Duration {
	if m.Left <= 0 {
		return defaultLeft
	}
	return m.Left
}

// setDeadlines bounds the time in which the client sends its body and takes its answer.
func setDeadlines(c *http.ResponseController, arrived time.Time, left time.Duration) error {
	return errors.Join(c.SetReadDeadline(arrived.Add(left)), c.SetWriteDeadline(arrived.Add(left+writeMargin)))
}

// valid checks again, when a request is sent, what its key permits. The process may
// have been paused since the request was admitted.
func (h *Handler) valid(j *relay.Job) error {
	k := *j
	if err := h.identify(&k, h.node.View().Document); err != nil {
		return err
	}
	if k.Account != j.Account {
		return refuse.New(refuse.StaleGeneration, refuse.NotRun, "the key was given to another client account").After(retryUnknown)
	}
	return nil
}

// awaitStart waits until the instance knows a configuration and its upstreams,
// for a bounded time.
func (h *Handler) awaitStart(ctx context.Context, m call.Request) {
	v := h.node.View()
	if v.Document != nil && v.UpstreamsRead {
		return
	}
	limit := startWait
	if m.Left > 0 {
		limit = min(limit, time.Duration(float64(m.Left)*startPart))
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for v.Document == nil || !v.UpstreamsRead {
		c := h.node.Changed()
		if v = h.node.View(); v.Document != nil && v.UpstreamsRead {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c:
		}
	}
}

// admit checks a request against the configuration in force.
func (h *Handler) admit(path string, j *relay.Job) error {
	d := h.node.View().Document
	if d == nil {
		return refuse.New(refuse.NoDocument, refuse.NotRun, "no configuration is known yet").After(retryUnknown)
	}
	j.Document = d
	r, ok := d.Match(j.Host, path)
	if !ok {
		if !h.gate.Fresh() {
			return refuse.New(refuse.StaleGeneration, refuse.NotRun, "the route is unknown and the configuration is old").After(retryUnknown)
		}
		return refuse.New(refuse.NotFound, refuse.NotRun, "no route for the host and path")
	}
	j.Route = r
	j.Priority = r.Priority
	if err := h.identify(j, d); err != nil {
		return err
	}
	left := clientTime(j.Meta)
	if r.Timeout > 0 {
		left = min(left, r.Timeout)
	}
	j.Deadline = j.Arrived.Add(left)
	if h.gate.Closed() && r.Kind == routes.Stream {
		return refuse.New(refuse.Draining, refuse.NotRun, "the instance is stopping").After(retryStopping)
	}
	return nil
}

// identify finds the client account of a keyed request. A key is accepted only
// while the configuration is provably fresh: it may have been taken away.
func (h *Handler) identify(j *relay.Job, d *routes.Document) error {
	if !d.Keyed(j.Route) {
		return nil
	}
	if !h.gate.Fresh() {
		return refuse.New(refuse.StaleGeneration, refuse.NotRun, "the configuration is too old to accept keys").After(retryUnknown)
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

func (h *Handler) body(w http.ResponseWriter, q *http.Request, j *relay.Job, held *quota.Reservation) error {
	if q.Body == nil || q.Body == http.NoBody {
		return nil
	}
	limit := j.Document.Limits.Body
	if limit <= 0 {
		limit = math.MaxInt32
	}
	b, err := held.ReadAll(http.MaxBytesReader(w, q.Body, limit), "body", limit)
	var long *http.MaxBytesError
	var full *quota.MemoryLimitError
	switch {
	case errors.As(err, &long):
		return refuse.New(refuse.BodyTooLarge, refuse.NotRun, "the body is longer than %d bytes", long.Limit)
	case errors.As(err, &full):
		return refuse.New(refuse.Overloaded, refuse.NotRun, "%v", full).After(retryUnknown)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return refuse.New(refuse.RequestTimeout, refuse.NotRun, "the body did not arrive in the client's time")
	case err != nil:
		return refuse.New(refuse.BadRequest, refuse.NotRun, "read the body: %v", err)
	}
	j.Body = b
	return nil
}

// statuses are the status codes of refusals; others that did not run are 503.
var statuses = map[refuse.Code]int{
	refuse.NotFound:         http.StatusNotFound,
	refuse.Unauthenticated:  http.StatusUnauthorized,
	refuse.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	refuse.BadRequest:       http.StatusBadRequest,
	refuse.RequestTimeout:   http.StatusRequestTimeout,
	refuse.DeadlineExceeded: http.StatusGatewayTimeout,
}

// refused writes the final answer of a request that no upstream answered.
func refused(w http.ResponseWriter, e *refuse.Error) {
	status, ok := statuses[e.Code]
	switch {
	case ok:
	case e.Ran == refuse.NotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	if e.RetryAfter > 0 && e.Ran == refuse.NotRun {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	b, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": e.Code, "message": e.Message, "ran": e.Ran, "retry-after-ms": e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		// The values above always encode; an empty body still carries the status.
		b = nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

// record logs and counts how a request ended, with what decided it.
func (h *Handler) record(j *relay.Job, m call.Request, status int, err error, took time.Duration) {
	e := h.log.Info()
	code := strconv.Itoa(status)
	if err != nil {
		e = h.log.Warn().AnErr("reason", err)
		r := refuse.From(err, refuse.Unknown)
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
	if a, ok := h.node.ConfigAge(); ok {
		e = e.Dur("configuration-age", a)
	}
	h.meter.Request(kind, code, took)
	e.Str("request", string(m.ID)).Int("status", status).Dur("took", took).Msg("request ended")
}
