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

// boundedRetryAfter is the retry-after time of a request refused by a semaphore of bounded.
const boundedRetryAfter = time.Second

// call is one request to the API.
type call struct {
	*http.Request
	// id is the request id in the reply and in events.
	id string
	// operator is empty where no key is needed.
	operator ident.OperatorID
}

// operation serves a call and returns the body of the reply, which is encoded as JSON.
type operation func(ctx context.Context, c *call) (any, error)

// operatorKey is the key of the operator's id in a request's context.
type operatorKey struct{}

// authenticate passes requests with the key of an operator that has the role.
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

// operator returns the operator's key of a request, or a refusal when it is
// missing, unknown or does not have the role.
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

// handle turns an operation into an HTTP handler. It bounds the time and the body
// of requests and encodes replies and refusals.
func (a *API) handle(f operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{Request: r, id: newID()}
		c.operator, _ = r.Context().Value(operatorKey{}).(ident.OperatorID)
		c.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
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

// bounded limits the concurrent calls to the capacity of the semaphore slots and
// refuses those above it.
func bounded(slots chan struct{}, f operation) operation {
	return func(ctx context.Context, c *call) (any, error) {
		select {
		case slots <- struct{}{}:
		default:
			return nil, refuse.New(refuse.Overloaded, refuse.NotRun, "%d requests of this kind are running", cap(slots)).WithRetryAfter(boundedRetryAfter)
		}
		defer func() { <-slots }()
		return f(ctx, c)
	}
}

// timeout returns the time that a request may take.
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

// reply writes a response with a JSON body.
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

// refuse writes the response for an error. It logs internal errors.
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

// unavailableRetryAfter is the retry-after time while the table is not available.
const unavailableRetryAfter = 2 * time.Second

// toError turns any error into the body of a refusal. Errors of unknown types get
// the code internal, of which it is unknown whether the request had an effect.
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
		return errorOf(refuse.New(refuse.TableUnavailable, refuse.NotRun, "%v", err).WithRetryAfter(unavailableRetryAfter))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errorOf(refuse.New(refuse.DeadlineExceeded, refuse.Unknown, "%v", err))
	}
	return errorOf(refuse.New(refuse.Internal, refuse.Unknown, "%v", err))
}

func errorOf(r *refuse.Error) opsapi.Error {
	return opsapi.Error{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfterMS: r.RetryAfter.Milliseconds()}
}

// statuses holds the HTTP status of refusal codes; all others have 500.
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

// decode decodes the JSON body of a call. It refuses unknown fields, a second value
// and a body that is too large.
func decode[T any](c *call) (T, error) {
	var v T
	d := json.NewDecoder(c.Body) //nolint:forbidigo // bounded by maxBodyBytes
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

// conflictError reports a change that was refused because another one was accepted
// first. It is an *accept.ConflictError with the latest generation in the table.
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

// documentProblems returns an error with problems that envdoc.Parse can't find, since they
// depend on this environment or on the latest generation. It is nil without problems.
func documentProblems(ps ...inidoc.Problem) error {
	return inidoc.NewProblemsError("document", ps)
}
