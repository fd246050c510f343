package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
)

// Headers of the API.
const (
	headerTimeout   = "Tarragonvalve-Timeout-Ms"
	headerRequestID = "Tarragonvalve-Request-Id"
)

// fanOutRetry is when to come back after too many requests to the whole fleet.
const fanOutRetry = time.Second

// call is one authenticated request.
type call struct {
	*http.Request
	id       string
	operator ident.OperatorID
}

// answer handles a call and returns the body of the reply.
type answer func(ctx context.Context, c *call) (any, error)

type operatorKey struct{}

// authenticate admits operators with a role.
func (a *API) authenticate(need opsapi.Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			k, err := a.operator(r, need)
			if err != nil {
				a.refuse(w, newID(), err)
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, k.Operator)))
		})
	}
}

func (a *API) operator(r *http.Request, need opsapi.Role) (Key, error) {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || t == "" {
		return Key{}, refuse.New(refuse.Unauthenticated, refuse.NotRun, "no operator key in the header Authorization: Bearer KEY")
	}
	k, ok := a.keys[envdoc.KeyDigestOf(t)]
	if !ok {
		return Key{}, refuse.New(refuse.Unauthenticated, refuse.NotRun, "the operator key is not known")
	}
	if need == opsapi.RoleOperate && k.Role != opsapi.RoleOperate {
		return Key{}, refuse.New(refuse.Forbidden, refuse.NotRun, "operator %s has the role %s, and this needs %s", k.Operator, k.Role, need)
	}
	return k, nil
}

// handle turns an answer into a handler with a deadline.
func (a *API) handle(f answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{Request: r, id: newID()}
		c.operator, _ = r.Context().Value(operatorKey{}).(ident.OperatorID)
		c.Body = http.MaxBytesReader(w, r.Body, maxBody)
		d, err := timeout(r)
		if err != nil {
			a.refuse(w, c.id, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), d)
		defer cancel()
		b, err := f(ctx, c)
		if err != nil {
			a.refuse(w, c.id, err)
			return
		}
		a.reply(w, c.id, http.StatusOK, b)
	}
}

// bounded refuses calls beyond the room in slots.
func bounded(slots chan struct{}, f answer) answer {
	return func(ctx context.Context, c *call) (any, error) {
		select {
		case slots <- struct{}{}:
		default:
			return nil, refuse.New(refuse.Overloaded, refuse.NotRun, "%d requests of this kind are running", cap(slots)).After(fanOutRetry)
		}
		defer func() { <-slots }()
		return f(ctx, c)
	}
}

func timeout(r *http.Request) (time.Duration, error) {
	t := r.Header.Get(headerTimeout)
	if t == "" {
		return defaultTimeout, nil
	}
	n, err := strconv.ParseInt(t, 10, 64)
	if err != nil || n < 1 || n > maxTimeout.Milliseconds() {
		return 0, refuse.New(refuse.BadRequest, refuse.NotRun, "%s must be from 1 to %d", headerTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

func newID() string {
	return ulid.Make().String()
}

func (a *API) reply(w http.ResponseWriter, id string, status int, body any) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(body); err != nil {
		a.o.Log.Error().Err(err).Str("request", id).Msg("can't encode a reply")
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}

func (a *API) refuse(w http.ResponseWriter, id string, err error) {
	e := toError(err)
	e.RequestID = id
	if e.Code == refuse.Internal {
		a.o.Log.Error().Err(err).Str("request", id).Msg("request failed")
	}
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	a.reply(w, id, statusOf(e.Code), opsapi.ErrorReply{Error: e})
}

// unavailableRetry is when to come back after the table was not available.
const unavailableRetry = 2 * time.Second

func toError(err error) opsapi.Error {
	var conflict *conflictError
	if errors.As(err, &conflict) {
		e := errorOf(refuse.New(refuse.GenerationConflict, refuse.NotRun, "%v", conflict))
		e.Latest = conflict.latest
		w := generation(conflict.winner)
		e.Winner = &w
		return e
	}
	var problems *envdoc.ProblemsError
	if errors.As(err, &problems) {
		e := errorOf(refuse.New(refuse.DocumentInvalid, refuse.NotRun, "the document has %d problem(s)", len(problems.Problems)))
		e.Problems = problems.Problems
		return e
	}
	if r, ok := refuse.As(err); ok {
		return errorOf(r)
	}
	if table.IsUnavailable(err) {
		return errorOf(refuse.New(refuse.TableUnavailable, refuse.NotRun, "%v", err).After(unavailableRetry))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errorOf(refuse.New(refuse.DeadlineExceeded, refuse.Unknown, "%v", err))
	}
	return errorOf(refuse.New(refuse.Internal, refuse.Unknown, "%v", err))
}

func errorOf(r *refuse.Error) opsapi.Error {
	return opsapi.Error{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfterMS: r.RetryAfter.Milliseconds()}
}

// statuses holds the HTTP status of each code; other codes are internal errors.
var statuses = map[refuse.Code]int{
	refuse.BadRequest:         http.StatusBadRequest,
	refuse.Unauthenticated:    http.StatusUnauthorized,
	refuse.Forbidden:          http.StatusForbidden,
	refuse.NotFound:           http.StatusNotFound,
	refuse.GenerationConflict: http.StatusConflict,
	refuse.DigestNotTried:     http.StatusConflict,
	refuse.BodyTooLarge:       http.StatusRequestEntityTooLarge,
	refuse.DocumentInvalid:    http.StatusUnprocessableEntity,
	refuse.Overloaded:         http.StatusTooManyRequests,
	refuse.TableUnavailable:   http.StatusServiceUnavailable,
	refuse.NoDocument:         http.StatusServiceUnavailable,
	refuse.OutcomeUnknown:     http.StatusGatewayTimeout,
	refuse.DeadlineExceeded:   http.StatusGatewayTimeout,
}

func statusOf(c refuse.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// read decodes a JSON body strictly.
func read[T any](c *call) (T, error) {
	var v T
	d := json.NewDecoder(c.Body)
	d.DisallowUnknownFields()
	err := d.Decode(&v)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return v, refuse.New(refuse.BodyTooLarge, refuse.NotRun, "the body exceeds %d bytes", large.Limit)
	case err != nil:
		return v, refuse.New(refuse.BadRequest, refuse.NotRun, "decode the body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return v, refuse.New(refuse.BadRequest, refuse.NotRun, "the body holds more than one JSON value")
	}
	return v, nil
}

func notFound(_ context.Context, c *call) (any, error) {
	return nil, refuse.New(refuse.NotFound, refuse.NotRun, "no operation %s %s", c.Method, c.URL.Path)
}

func generation(a *spread.AcceptedDocument) opsapi.Generation {
	return opsapi.Generation{
		Generation: a.Generation,
		Digest:     a.Document.Digest,
		Operator:   a.Operator,
		Reason:     a.Reason,
		At:         a.At.UTC(),
	}
}

// conflictError is an *accept.ConflictError with the latest generation.
type conflictError struct {
	seen   ident.Generation
	winner *spread.AcceptedDocument
	latest ident.Generation
}

func (e *conflictError) Error() string {
	w := e.winner
	return "generation " + strconv.FormatUint(uint64(e.seen), 10) + " is not the latest: operator " + string(w.Operator) +
		" made generation " + strconv.FormatUint(uint64(w.Generation), 10) + " with digest " + string(w.Document.Digest)
}

func asConflict(err error) (*accept.ConflictError, bool) {
	var e *accept.ConflictError
	ok := errors.As(err, &e)
	return e, ok
}

// invalid returns problems of a document that only the fleet's state shows.
func invalid(ps ...inidoc.Problem) error {
	return inidoc.NewProblemsError("document", ps)
}
