package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/dynamo"
	"tarragonvalve.example/standin/engine"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/listed"
	"tarragonvalve.example/standin/plain"
)

// controlTimeout bounds one call of the stand-ins' control API.
const controlTimeout = 20 * time.Second

func (f *Fleet) control(method, path string, in, out any) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), controlTimeout)
	defer cancel()
	b, err := json.Marshal(in)
	if err != nil {
		f.t.Fatal(err)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+f.Addr.Control+path, bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		f.t.Fatalf("%s %s of the stand-ins: %v", method, path, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode/100 != 2 {
		f.t.Fatalf("%s %s of the stand-ins: status %d, %v: %s", method, path, res.StatusCode, err, body)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(body, out); err != nil {
		f.t.Fatalf("%s %s of the stand-ins: %v", method, path, err)
	}
}

// SetFaults replaces the faults of a stand-in component; the zero value clears them.
func (f *Fleet) SetFaults(part string, v fault.Faults) {
	f.t.Helper()
	f.control(http.MethodPut, "/faults/"+part, v, nil)
}

// Faults returns the active faults of a stand-in component.
func (f *Fleet) Faults(part string) fault.Faults {
	f.t.Helper()
	var m map[string]fault.Faults
	f.control(http.MethodGet, "/faults", nil, &m)
	return m[part]
}

// SilenceConnections discards all further data of the connections to a stand-in component that
// are open now.
func (f *Fleet) SilenceConnections(part string) {
	f.t.Helper()
	f.control(http.MethodPost, "/silence/"+part, nil, nil)
}

// Crash crashes an engine: it loses its streams, its cache and its fencing tokens.
func (f *Fleet) Crash(id ident.UpstreamID) {
	f.t.Helper()
	f.control(http.MethodPost, "/crash/"+string(id), nil, nil)
}

// OverrideVersion overrides settings of a version on all engines.
func (f *Fleet) OverrideVersion(r ident.VersionRef, c engine.Override) {
	f.t.Helper()
	f.control(http.MethodPut, "/versions/"+r.String(), c, nil)
}

// Register adds an instance to the instance list or replaces its registration.
func (f *Fleet) Register(i listed.Instance) {
	f.t.Helper()
	f.control(http.MethodPut, "/instances/"+i.Instance, i, nil)
}

// Unregister removes an instance from the instance list.
func (f *Fleet) Unregister(instance string) {
	f.t.Helper()
	f.control(http.MethodDelete, "/instances/"+instance, nil, nil)
}

// Counters returns the stand-ins' counters, with the starts at or after a time; the zero time
// means all starts.
func (f *Fleet) Counters(since time.Time) ctrl.Counters {
	f.t.Helper()
	var c ctrl.Counters
	ms := int64(0)
	if !since.IsZero() {
		ms = since.UnixMilli()
	}
	f.control(http.MethodGet, "/counters?since="+strconv.FormatInt(ms, 10), nil, &c)
	return c
}

// Starts returns all starts of a version.
func (f *Fleet) Starts(r ident.VersionRef) []engine.Start {
	f.t.Helper()
	return f.Counters(time.Time{}).Starts[r.String()]
}

// Runs returns how often the call with an idempotency key ran on the orders service.
func (f *Fleet) Runs(key string) int {
	f.t.Helper()
	return f.Counters(time.Time{}).Runs[plain.KeyID("orders", key)]
}

// Orders returns the orders that the engines received.
func (f *Fleet) Orders() []engine.OrderRecord {
	var out []engine.OrderRecord
	f.control(http.MethodGet, "/orders", nil, &out)
	return out
}

// Rows returns the rows of the table whose partition key starts with a prefix.
func (f *Fleet) Rows(prefix string) []dynamo.Row {
	f.t.Helper()
	var out []dynamo.Row
	f.control(http.MethodGet, "/rows?prefix="+prefix, nil, &out)
	return out
}

// Client returns a client of an entry with the key of a client account. Each request opens a
// connection of its own.
func (f *Fleet) Client(e *Entry, account string) *client.Client {
	return &client.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Entry: e.Addr.Callers, Key: "key-" + account}
}

// ChatRequest returns a streamed chat request with one user message.
func ChatRequest(model, text string) client.Chat {
	return client.Chat{
		Model:    model,
		Messages: []answer.Message{{Role: "user", Content: text}},
		Timeout:  time.Minute,
		Stream:   true,
	}
}

// ExpectedText returns the text with which a version answers a request.
func ExpectedText(r ident.VersionRef, q client.Chat) string {
	return expectedAnswer(r, q).Text()
}

func expectedAnswer(r ident.VersionRef, q client.Chat) *answer.Answer {
	v := Versions[r]
	return answer.Compute(answer.Settings{Ref: r, Quality: v.Quality, MeanTokens: v.MeanTokens}, q.Messages, q.MaxTokens)
}

// CheckWhole fails the test unless a reply is complete and has the text of the version that it
// names.
func (f *Fleet) CheckWhole(q client.Chat, r *client.Reply) {
	f.t.Helper()
	if !r.OK() {
		f.t.Fatalf("request %s has no complete answer: %s", r.Request, r.Describe())
	}
	f.CheckText(q, r)
}

// CheckText fails the test unless the text of a reply is a prefix of the expected text of the
// version that it names, and all of that text if the reply is complete.
func (f *Fleet) CheckText(q client.Chat, r *client.Reply) {
	f.t.Helper()
	if r.Text == "" && !r.OK() {
		return
	}
	want := ExpectedText(r.Version, q)
	whole := r.OK() && r.Text != want
	if whole || len(r.Text) > len(want) || want[:len(r.Text)] != r.Text {
		f.t.Fatalf("request %s answered by %s has the text\n%q\nand not\n%q", r.Request, r.Version, r.Text, want)
	}
}

// WaitStarts waits until another request starts on an agent's engine.
func (f *Fleet) WaitStarts(a *Agent) {
	f.t.Helper()
	before := f.Counters(time.Time{}).Engines[a.ID].Started
	proc.Eventually(f.t, "requests start on "+string(a.ID), func() bool {
		return f.Counters(time.Time{}).Engines[a.ID].Started > before
	})
}

// waitServing waits until an entry answers a chat and a call of each plain service.
func (f *Fleet) waitServing(e *Entry) {
	f.t.Helper()
	c := f.Client(e, Alpha)
	last := ""
	defer func() {
		if f.t.Failed() {
			f.t.Logf("%s does not serve: %s", e.Name, last)
		}
	}()
	proc.Eventually(f.t, e.Name+" serves models and services", func() bool {
		q := c.Chat(f.t.Context(), ChatRequest("quick", "warm-up"))
		s := c.Call(f.t.Context(), client.Call{Service: "stock", Method: http.MethodGet, Path: "/caps"})
		o := c.Call(f.t.Context(), client.Call{Service: "orders", Method: http.MethodGet, Path: "/runs"})
		last = fmt.Sprintf("chat %s; stock %s; orders %s", q.Describe(), s.Describe(), o.Describe())
		return q.OK() && s.OK() && o.OK()
	})
}
