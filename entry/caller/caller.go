// Package caller serves the HTTP API for callers: chat completions in the OpenAI
// protocol, the list of models, and plain services.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/calls"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/relay"
)

// Headers of requests and responses.
const (
	HeaderRequest      = "Tarragonvalve-Request-Id"
	HeaderSession      = "Tarragonvalve-Session"
	HeaderSessionMoved = "Tarragonvalve-Session-Moved"
	HeaderModel        = "Tarragonvalve-Model"
	HeaderTask         = "Tarragonvalve-Task"
	HeaderTimeout      = "Tarragonvalve-Timeout-Ms"
	HeaderKey          = "Idempotency-Key"
	// HeaderReplayed marks the recorded result of an earlier call with the same idempotency key.
	HeaderReplayed = "Tarragonvalve-Replayed"
)

// Control provides the current environment document, generation and halts.
type Control interface {
	View() *spread.View
}

// Chats answers chat completions; relay.Relay implements it.
type Chats interface {
	Chat(ctx context.Context, c relay.Chat, s relay.Sink) (*relay.Answer, error)
}

// Calls runs plain-service calls; calls.Executor implements it.
type Calls interface {
	Call(ctx context.Context, c calls.Call) (*calls.Reply, error)
}

// Limits enforces the rate limits of client accounts; policy.Controller implements it.
type Limits interface {
	// Admit charges a request to the account's limits and returns the estimated
	// tokens that it charged, or a *refuse.Error when the account is over its limits.
	Admit(ctx context.Context, a *envdoc.Account, l policy.RequestSize) (ident.Tokens, error)
	// Settle replaces the estimate of Admit by the tokens that the request used.
	Settle(a ident.AccountID, estimate, used ident.Tokens)
}

// Options are the dependencies and bounds of an API.
type Options struct {
	Control Control
	Chats   Chats
	Calls   Calls
	Limits  Limits
	// Admits reports whether a request with a deadline may be taken although the process drains.
	Admits func(deadline time.Time) bool
	// StoppedFor returns the time since the process began to drain, and whether it did.
	StoppedFor func() (time.Duration, bool)
	// Panics reports the panics of handlers.
	Panics *panics.Reporter
	Ring   *event.Ring
	Log    zerolog.Logger
	Now    func() time.Time
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// DefaultTimeout is the time of a request that sets no HeaderTimeout.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest time that HeaderTimeout may set.
	MaxTimeout time.Duration
	// MaxOpen bounds the requests that are open at the same time; more are refused.
	MaxOpen int
	// MaxTokens is the largest max_tokens of a request.
	MaxTokens int
	// Late returns how long at most requests that begin now have waited for this process.
	Late late.Func
}

// API is the HTTP API for callers. It is safe for concurrent use.
type API struct {
	o      Options
	router chi.Router
	// open counts the open requests, excess those refused because of MaxOpen.
	open   atomic.Int64
	excess atomic.Uint64
	// tooLate counts the requests refused because the process runs too late to answer them in time.
	tooLate atomic.Uint64
	// incomplete counts the answers that were not complete.
	incomplete map[ending.Cause]*atomic.Uint64
}

// New returns an API with its routes.
func New(o Options) *API {
	a := &API{o: o, incomplete: newCounters()}
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		a.refuse(w, "", refuse.New(refuse.NotFound, refuse.NotRun, "there is nothing at this path"))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		a.refuse(w, "", refuse.New(refuse.BadRequest, refuse.NotRun, "this path does not support the method"))
	})
	r.Get("/v1/models", a.admit(a.models))
	r.Post("/v1/chat/completions", a.admit(a.chat))
	r.HandleFunc("/v1/services/{service}", a.admit(a.service))
	r.HandleFunc("/v1/services/{service}/*", a.admit(a.service))
	a.router = r
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.router.ServeHTTP(w, r)
}

// Open returns the number of open requests.
func (a *API) Open() int { return int(a.open.Load()) }

// Excess returns how many requests were refused because MaxOpen requests were open.
func (a *API) Excess() uint64 { return a.excess.Load() }

// TooLate returns how many requests were refused because the process ran too late to answer them in time.
func (a *API) TooLate() uint64 { return a.tooLate.Load() }

// requestInfo holds what is known of an authenticated request before its body is read.
type requestInfo struct {
	id       ident.RequestID
	view     *spread.View
	account  *envdoc.Account
	task     ident.TaskID
	deadline time.Time
}

// handler serves an authenticated request.
type handler func(w *exchange, r *http.Request, c *requestInfo)

// admit bounds the open requests and the size of bodies, and authenticates
// requests before it passes them to the handler. It reports panics and incomplete answers.
func (a *API) admit(h handler) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		defer a.open.Add(-1)
		id := ident.RequestID(relay.NewID())
		w := &exchange{ResponseWriter: rw, id: id}
		defer a.recoverPanic(w)
		if a.open.Add(1) > int64(a.o.MaxOpen) {
			a.excess.Add(1)
			a.refuse(w, id, refuse.New(refuse.Overloaded, refuse.NotRun, "too many requests are open here").WithRetryAfter(time.Second))
			return
		}
		deadline, err := a.deadline(r)
		if err != nil {
			a.refuse(w, id, err)
			return
		}
		c, err := a.authenticate(r, id, deadline)
		if err != nil {
			a.refuse(w, id, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, a.o.MaxBody)
		h(w, r, c)
		a.finish(w, r)
	}
}

// authenticate finds the client account of a request's key, and reads its task.
func (a *API) authenticate(r *http.Request, id ident.RequestID, deadline time.Time) (*requestInfo, error) {
	v := a.o.Control.View()
	d := v.Document()
	if d == nil {
		return nil, refuse.New(refuse.NoDocument, refuse.NotRun, "no environment document was found yet").WithRetryAfter(time.Second)
	}
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return nil, refuse.New(refuse.Unauthenticated, refuse.NotRun, "the header Authorization must hold a bearer key")
	}
	c, ok := d.AccountByKey(k)
	if !ok {
		return nil, refuse.New(refuse.Unauthenticated, refuse.NotRun, "the key is not known")
	}
	task, err := taskOf(r)
	if err != nil {
		return nil, err
	}
	q := &requestInfo{id: id, view: v, account: c, task: task, deadline: deadline}
	return q, a.checkDrain(q)
}

// drainRetryAfter is the retry delay for a request that a draining entry refuses. The retry uses a new
// connection, which load balancers send to another entry.
const drainRetryAfter = time.Second

// checkDrain returns a *refuse.Error if the process drains and may end before the request's deadline.
func (a *API) checkDrain(c *requestInfo) error {
	if a.o.Admits(c.deadline) {
		return nil
	}
	return refuse.New(refuse.Draining, refuse.NotRun, "this entry stops before the request's deadline").WithRetryAfter(drainRetryAfter)
}

// recordReceived records the start of a request. A call with an idempotency key has
// the id that all repeats of the call share, others a random one.
func (a *API) recordReceived(id ident.RequestID, c *requestInfo) {
	a.o.Ring.Record(event.Event{Kind: event.RequestReceived, Request: id, Account: c.account.ID})
}

// reject refuses a request and records its end. It is for requests that did not
// reach Chats or Calls, which record the end of theirs.
func (a *API) reject(w http.ResponseWriter, id ident.RequestID, c *requestInfo, err error) {
	e := refuse.FromError(err, refuse.Unknown)
	f := map[string]string{"code": string(e.Code), "ran": string(e.Ran)}
	a.o.Ring.Record(event.Event{Kind: event.RequestRefused, Request: id, Account: c.account.ID, Fields: f})
	a.refuse(w, id, e)
}

// timeout returns the time that a request may take.
func (a *API) timeout(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderTimeout)
	if s == "" {
		return a.o.DefaultTimeout, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 1 || n > a.o.MaxTimeout.Milliseconds() {
		return 0, refuse.New(refuse.BadRequest, refuse.NotRun, "%s must be a number from 1 to %d", HeaderTimeout, a.o.MaxTimeout.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

// readTimeout bounds the time to read the body of a request.
const readTimeout = 20 * time.Second

// maxNameBytes is the longest task name or idempotency key in bytes. They become parts
// of table rows and statistics.
const maxNameBytes = 255

// taskOf returns the task that the caller names in HeaderTask, which may be empty.
func taskOf(r *http.Request) (ident.TaskID, error) {
	t := r.Header.Get(HeaderTask)
	if len(t) > maxNameBytes {
		return "", refuse.New(refuse.BadRequest, refuse.NotRun, "%s is longer than %d bytes", HeaderTask, maxNameBytes)
	}
	return ident.TaskID(t), nil
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is a refusal in JSON. Ran tells whether the request ran. RetryAfterMs
// is 0 when a retry is not known to help.
type errorDetail struct {
	Code         refuse.Code     `json:"code"`
	Message      string          `json:"message"`
	Ran          refuse.Ran      `json:"ran"`
	Request      ident.RequestID `json:"request-id"`
	RetryAfterMs int64           `json:"retry-after-ms"`
}

func errorOf(id ident.RequestID, e *refuse.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Ran:          e.Ran,
		Request:      id,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

// refuse responds with a refusal. The id is empty for a request that matched no route.
func (a *API) refuse(w http.ResponseWriter, id ident.RequestID, err error) {
	e := refuse.FromError(err, refuse.Unknown)
	if id != "" {
		w.Header().Set(HeaderRequest, string(id))
	}
	if e.RetryAfter > 0 {
		s := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(s), 10))
	}
	writeJSON(w, status(e), errorOf(id, e))
}

// limitWrite bounds the write of a response to a caller that no longer reads.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// readBody reads the body of a request within readTimeout. It then removes the read
// deadline: net/http goes on reading to detect a caller that disconnects, and would
// take an expired deadline for one. The process may have begun to drain meanwhile.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, c *requestInfo) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(readTimeout))
	// The end of the context doesn't end a read.
	stop := context.AfterFunc(r.Context(), func() { _ = rc.SetReadDeadline(time.Now()) })
	b, err := io.ReadAll(r.Body) //nolint:forbidigo // bounded by MaxBody
	stop()
	switch {
	case err != nil && abort.Drained(r.Context()):
		return nil, abort.Refusal(r.Context(), refuse.NotRun)
	case err != nil:
		return nil, bodyRefusal(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, a.checkDrain(c)
}

// writeJSON responds with a status and a JSON body.
func writeJSON(w http.ResponseWriter, code int, v any) {
	limitWrite(w)
	b, err := json.Marshal(v)
	if err != nil {
		code = http.StatusInternalServerError
		b = []byte(`{"error":{"code":"internal","message":"the answer could not be encoded","ran":"unknown"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// statusClientClosed is nginx's status for a request whose caller disconnected. The
// caller does not receive it.
const statusClientClosed = 499

// statuses holds the HTTP status of refusal codes; all others have 503.
var statuses = map[refuse.Code]int{
	refuse.BadRequest:              http.StatusBadRequest,
	refuse.KeyRequired:             http.StatusBadRequest,
	refuse.SessionInvalid:          http.StatusBadRequest,
	refuse.Unauthenticated:         http.StatusUnauthorized,
	refuse.Forbidden:               http.StatusForbidden,
	refuse.ModelNotAllowed:         http.StatusForbidden,
	refuse.ServiceNotAllowed:       http.StatusForbidden,
	refuse.ModelUnknown:            http.StatusNotFound,
	refuse.ServiceUnknown:          http.StatusNotFound,
	refuse.NotFound:                http.StatusNotFound,
	refuse.VersionWithdrawn:        http.StatusConflict,
	refuse.VersionHalted:           http.StatusConflict,
	refuse.SessionVersionWithdrawn: http.StatusConflict,
	refuse.KeyInProgress:           http.StatusConflict,
	refuse.KeyReused:               http.StatusUnprocessableEntity,
	refuse.BodyTooLarge:            http.StatusRequestEntityTooLarge,
	refuse.RateLimited:             http.StatusTooManyRequests,
	refuse.Cancelled:               statusClientClosed,
	refuse.DeadlineExceeded:        http.StatusGatewayTimeout,
	refuse.UpstreamFailed:          http.StatusBadGateway,
	refuse.StreamBroken:            http.StatusBadGateway,
	refuse.ClaimUnknown:            http.StatusBadGateway,
	refuse.OutcomeUnknown:          http.StatusBadGateway,
	refuse.Internal:                http.StatusInternalServerError,
}

// status returns the HTTP status of a refusal. It is 503 for all codes without a status
// of their own, since they mean that the service is not available now. A shutdown has 502
// if the request may have run, since clients repeat after 503.
func status(e *refuse.Error) int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	if e.Code == refuse.Draining && e.Ran != refuse.NotRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// bodyRefusal turns an error of reading a request's body into a refusal.
func bodyRefusal(err error) error {
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return refuse.New(refuse.BodyTooLarge, refuse.NotRun, "the body is larger than %d bytes", m.Limit)
	}
	return refuse.New(refuse.BadRequest, refuse.NotRun, "the body could not be read")
}
