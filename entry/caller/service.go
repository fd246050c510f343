package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/calls"
	"tarragonvalve.example/entry/policy"
)

// service runs a plain-service call and passes the service's response on.
func (a *API) service(w *exchange, r *http.Request, c *requestInfo) {
	k, err := a.readCall(w, r, c)
	if err != nil {
		a.reject(w, c.id, c, err)
		return
	}
	w.id = k.ID
	a.recordReceived(k.ID, c)
	if _, err := a.o.Limits.Admit(r.Context(), c.account, policy.RequestSize{}); err != nil {
		a.reject(w, k.ID, c, err)
		return
	}
	p, err := a.o.Calls.Call(r.Context(), k)
	if err != nil {
		w.refused(refuse.FromError(err, refuse.Unknown))
		a.refuse(w, k.ID, err)
		return
	}
	h := w.Header()
	h.Set(HeaderRequest, string(k.ID))
	if p.ContentType != "" {
		h.Set("Content-Type", p.ContentType)
	}
	if p.Replayed {
		h.Set(HeaderReplayed, "yes")
	}
	s := finalStatus(p.StatusCode)
	if s != http.StatusNoContent && s != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(p.Body)))
	}
	limitWrite(w)
	w.WriteHeader(s)
	_, _ = w.Write(p.Body)
}

// finalStatus replaces a status that no final response may have by 502, since
// net/http does not send it as one.
func finalStatus(s int) int {
	if s < 200 || s > 599 {
		return http.StatusBadGateway
	}
	return s
}

// readCall reads and checks a plain-service call. With an idempotency key its
// request id is derived from the key, so that repeats have the same id.
func (a *API) readCall(w http.ResponseWriter, r *http.Request, c *requestInfo) (calls.Call, error) {
	s := chi.URLParam(r, "service")
	key := r.Header.Get(HeaderKey)
	if len(key) > maxNameBytes {
		return calls.Call{}, refuse.New(refuse.BadRequest, refuse.NotRun, "%s is longer than %d bytes", HeaderKey, maxNameBytes)
	}
	path, target, err := callPath(r.URL, s)
	if err != nil {
		return calls.Call{}, err
	}
	b, err := a.readBody(w, r, c)
	if err != nil {
		return calls.Call{}, err
	}
	id := c.id
	if key != "" {
		id = claim.Key{Account: c.account.ID, Service: ident.ServiceID(s), Idempotency: key}.RequestID()
	}
	return calls.Call{
		ID:          id,
		Account:     c.account.ID,
		Service:     ident.ServiceID(s),
		Method:      r.Method,
		Path:        path,
		Target:      target,
		ContentType: r.Header.Get("Content-Type"),
		Body:        b,
		Key:         key,
		Deadline:    c.deadline,
	}, nil
}

// callPath returns the decoded path after the service's name, and the escaped path
// with the query to send. It refuses empty, "." and ".." segments, backslashes and
// NUL bytes: the service could resolve such a path to one that matches another
// call rule than the path that was checked.
func callPath(u *url.URL, service string) (path, target string, err error) {
	path = strings.TrimPrefix(u.Path, "/v1/services/"+service)
	if path == "" {
		path = "/"
	}
	for i, s := range strings.Split(path, "/")[1:] {
		empty := s == "" && i < strings.Count(path, "/")-1
		if empty || s == "." || s == ".." || strings.ContainsAny(s, "\\\x00") {
			return "", "", refuse.New(refuse.BadRequest, refuse.NotRun, "the path has a segment that is not allowed")
		}
	}
	target = (&url.URL{Path: path, RawQuery: u.RawQuery}).String()
	return path, target, nil
}
