// Package caller serves the callers' HTTP API: chat completions, the models
// list and plain services.
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

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/calls"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/relay"
)

// Headers of requests and answers.
const (
	HeaderRequest      = "Tarragonvalve-Request-Id"
	HeaderSession      = "Tarragonvalve-Session"
	HeaderSessionMoved = "Tarragonvalve-Session-Moved"
	HeaderModel        = "Tarragonvalve-Model"
	HeaderTask         = "Tarragonvalve-Task"
	HeaderTimeout      = "Tarragonvalve-Timeout-Ms"
	HeaderKey          = "Idempotency-Key"
	// HeaderReplayed is set on a result that an earlier call with the same key recorded.
	HeaderReplayed = "Tarragonvalve-Replayed"
)

// Control is the part of spread.Node that the API reads.
type Control interface {
	View() *spread.View
}

// Chats answers chat completions.
type Chats interface {
	Chat(ctx context.Context, c relay.Chat, s relay.Sink) (*relay.Answer, error)
}

// Calls runs plain-service calls.
type Calls interface {
	Call(ctx context.Context, c calls.Call) (*calls.Reply, error)
}

// Limits charges accounts' limits; policy.Controller implements it.
type Limits interface {
	// Admit returns the tokens that the request was counted with, or a *refuse.Error when the account is over its limits.
	Admit(ctx context.Context, a *envdoc.Account, l policy.RequestSize) (ident.Tokens, error)
	Settle(a ident.AccountID, estimate, used ident.Tokens)
}

// Options are the parts and bounds of the API.
type Options struct {
	Control Control
	Chats   Chats
	Calls   Calls
	Limits  Limits
	Ring    *event.Ring
	Log     zerolog.Logger
	Now     func() time.Time
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// DefaultTimeout and MaxTimeout bound a request's time.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// MaxOpen bounds the requests that are open at once.
	MaxOpen int
	// MaxTokens bounds the output that a request may ask for.
	MaxTokens int
}

// API is the callers' HTTP API.
type API struct {
	o      Options
	router chi.Router
	open   atomic.Int64
	excess atomic.Uint64
}

// New returns the API.
func New(o Options) *API {
	a := &API{o: o}
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

// Excess returns how many requests were refused because too many were open.
func (a *API) Excess() uint64 { return a.excess.Load() }

// caller is an admitted request.
type caller struct {
	id       ident.RequestID
	view     *spread.View
	account  *envdoc.Account
	task     ident.TaskID
	deadline time.Time
}

type handler func(w http.ResponseWriter, r *http.Request, c *caller)

// admit checks what all requests have in common: open requests, document, key and time.
func (a *API) admit(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer a.open.Add(-1)
		id := ident.RequestID(relay.NewID())
		if a.open.Add(1) > int64(a.o.MaxOpen) {
			a.excess.Add(1)
			a.refuse(w, id, refuse.New(refuse.Overloaded, refuse.NotRun, "too many requests are open here").After(time.Second))
			return
		}
		c, err := a.identify(r, id)
		if err != nil {
			a.refuse(w, id, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, a.o.MaxBody)
		h(w, r, c)
	}
}

func (a *API) identify(r *http.Request, id ident.RequestID) (*caller, error) {
	v := a.o.Control.View()
	d := v.Document()
	if d == nil {
		return nil, refuse.New(refuse.NoDocument, refuse.NotRun, "no environment document was found yet").After(time.Second)
	}
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return nil, refuse.New(refuse.Unauthenticated, refuse.NotRun, "the header Authorization must hold a bearer key")
	}
	c, ok := d.AccountByKey(k)
	if !ok {
		return nil, refuse.New(refuse.Unauthenticated, refuse.NotRun, "the key is not known")
	}
	t, err := a.timeout(r)
	if err != nil {
		return nil, err
	}
	task, err := taskOf(r)
	if err != nil {
		return nil, err
	}
	return &caller{id: id, view: v, account: c, task: task, deadline: a.o.Now().Add(t)}, nil
}

// received records a request under its final id.
func (a *API) received(id ident.RequestID, c *caller) {
	a.o.Ring.Record(event.Event{Kind: event.RequestReceived, Request: id, Account: c.account.ID})
}

// reject refuses a request that went no further; what goes further records its own end.
func (a *API) reject(w http.ResponseWriter, id ident.RequestID, c *caller, err error) {
	e := refuse.From(err, refuse.Unknown)
	f := map[string]string{"code": string(e.Code), "ran": string(e.Ran)}
	a.o.Ring.Record(event.Event{Kind: event.RequestRefused, Request: id, Account: c.account.ID, Fields: f})
	a.refuse(w, id, e)
}

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

// readLimit bounds reading a request's body.
const readLimit = 20 * time.Second

// maxName bounds task names and idempotency keys, in bytes: they become parts of table rows and of statistics.
const maxName = 255

func taskOf(r *http.Request) (ident.TaskID, error) {
	t := r.Header.Get(HeaderTask)
	if len(t) > maxName {
		return "", refuse.New(refuse.BadRequest, refuse.NotRun, "%s is longer than %d bytes", HeaderTask, maxName)
	}
	return ident.TaskID(t), nil
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

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

func (a *API) refuse(w http.ResponseWriter, id ident.RequestID, err error) {
	e := refuse.From(err, refuse.Unknown)
	if id != "" {
		w.Header().Set(HeaderRequest, string(id))
	}
	if e.RetryAfter > 0 {
		s := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(s), 10))
	}
	writeJSON(w, Status(e.Code), errorOf(id, e))
}

// hurry bounds the write of an answer to a caller that no longer reads.
func hurry(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit))
}

// readBody reads a body within the read limit. The limit is lifted afterwards: a
// read that fails later counts as a caller who left.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(readLimit))
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, readRefusal(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, nil
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	hurry(w)
	b, err := json.Marshal(v)
	if err != nil {
		code = http.StatusInternalServerError
		b = []byte(`{"error":{"code":"internal","message":"the answer could not be encoded","ran":"unknown"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// statusClientClosed is the usual status for a request whose caller left; nobody reads it.
const statusClientClosed = 499

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

// Status returns the HTTP status of a refusal; codes without an own one mean that the service is not available now.
func Status(c refuse.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// readRefusal turns a read error into a refusal.
func readRefusal(err error) error {
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return refuse.New(refuse.BodyTooLarge, refuse.NotRun, "the body is larger than %d bytes", m.Limit)
	}
	return refuse.New(refuse.BadRequest, refuse.NotRun, "the body could not be read")
}
