package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/proof/proc"
)

// adminTimeout bounds one call of the administration API.
const adminTimeout = 30 * time.Second

// RefusedError reports a response of the administration API with a status other than 2xx.
type RefusedError struct {
	Status int
	Reply  opsapi.Error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("administration API: status %d: %s (%s): %s %v", e.Status, e.Reply.Code, e.Reply.Ran, e.Reply.Message, e.Reply.Problems)
}

// AsRefused returns the *RefusedError in err's chain, nil if there is none.
func AsRefused(err error) *RefusedError {
	var e *RefusedError
	errors.As(err, &e)
	return e
}

// Admin calls the administration API of an entry with in as its JSON body and decodes the
// response into out. A refusal is returned as a *RefusedError.
func (f *Fleet) Admin(e *Entry, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), adminTimeout)
	defer cancel()
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.Addr.Admin+opsapi.BasePath+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+operatorKey)
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		var r opsapi.ErrorReply
		_ = json.Unmarshal(body, &r)
		return &RefusedError{Status: res.StatusCode, Reply: r.Error}
	}
	return json.Unmarshal(body, out)
}

// TryPromote validates a document with a trial and then promotes it to the generation after
// seen.
func (f *Fleet) TryPromote(e *Entry, body string, seen ident.Generation) (opsapi.AcceptedReply, error) {
	var tried opsapi.TrialReply
	var out opsapi.AcceptedReply
	if err := f.Admin(e, http.MethodPost, "/document/trial", opsapi.DocumentRequest{Body: body}, &tried); err != nil {
		return out, err
	}
	err := f.Admin(e, http.MethodPost, "/document/promote", opsapi.PromoteRequest{
		Body: body, Digest: tried.Digest, ExpectedLatest: seen, Reason: "test",
	}, &out)
	return out, err
}

// Promote promotes a document through an entry and returns the new generation. It fails the
// test if the document is refused.
func (f *Fleet) Promote(entry int, body string, seen ident.Generation) ident.Generation {
	f.t.Helper()
	r, err := f.TryPromote(f.Entries[entry], body, seen)
	if err != nil {
		f.t.Fatalf("promote: %v", err)
	}
	if r.Digest != envdoc.DigestOf([]byte(body)) {
		f.t.Fatalf("promoted digest %s is not the document's", r.Digest)
	}
	return r.Generation.Generation
}

// Withdraw withdraws a version through an entry and returns the new generation.
func (f *Fleet) Withdraw(entry int, r ident.VersionRef, seen ident.Generation) ident.Generation {
	f.t.Helper()
	var out opsapi.AcceptedReply
	err := f.Admin(f.Entries[entry], http.MethodPost, "/withdraw", opsapi.WithdrawRequest{Version: r.String(), ExpectedLatest: seen, Reason: "test"}, &out)
	if err != nil {
		f.t.Fatalf("withdraw %s: %v", r, err)
	}
	return out.Generation.Generation
}

// Halt halts a version through the entry with an index.
func (f *Fleet) Halt(entry int, r ident.VersionRef) error {
	var out opsapi.HaltReply
	return f.Admin(f.Entries[entry], http.MethodPost, "/halt", opsapi.HaltRequest{Version: r.String(), Reason: "test"}, &out)
}

// Status returns the status that an entry reports.
func (f *Fleet) Status(e *Entry) (opsapi.StatusReply, error) {
	var s opsapi.StatusReply
	err := f.Admin(e, http.MethodGet, "/status", nil, &s)
	return s, err
}

// WaitInForce waits until every running entry reports that a generation, or a later one, is in
// force at itself and at all running agents and entries of the fleet.
func (f *Fleet) WaitInForce(g ident.Generation) {
	f.t.Helper()
	want := 0
	for _, e := range f.Entries {
		if !e.Ended() {
			want++
		}
	}
	for _, a := range f.Agents {
		if !a.Ended() {
			want++
		}
	}
	text := fmt.Sprintf("generation %d is in force at %d instances", g, want)
	proc.Eventually(f.t, text, func() bool {
		for _, e := range f.Entries {
			if e.Ended() {
				continue
			}
			s, err := f.Status(e)
			if err != nil || s.Generation < g || !f.inForceAt(s, g, want) {
				return false
			}
		}
		return true
	})
}

// inForceAt reports whether a status shows a generation, or a later one, at want instances.
func (f *Fleet) inForceAt(s opsapi.StatusReply, g ident.Generation, want int) bool {
	n := 0
	for _, i := range s.Instances {
		if i.Problem == "" && i.Generation >= g {
			n++
		}
	}
	return n >= want
}

// Bill returns the bill from one hour ago to one hour ahead.
func (f *Fleet) Bill(e *Entry) (opsapi.BillReply, error) {
	var b opsapi.BillReply
	from := time.Now().Add(-time.Hour).UTC().Format(time.RFC3339)
	to := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	err := f.Admin(e, http.MethodGet, "/bill?from="+url.QueryEscape(from)+"&to="+url.QueryEscape(to), nil, &b)
	return b, err
}
