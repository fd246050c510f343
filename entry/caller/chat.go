package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/relay"
)

const (
	// defaultMaxTokens is the output limit in tokens of a request that sets none.
	defaultMaxTokens = 1024
	// maxMessages bounds the messages of one request.
	maxMessages = 1024
	// maxTemperature is the largest temperature in the OpenAI protocol.
	maxTemperature = 2
)

// chatRequest holds the supported fields of a chat completion request. A request
// with any other field is refused, since ignoring a field that affects the answer
// would give a wrong answer.
type chatRequest struct {
	Model         string          `json:"model"`
	Messages      []chatMessage   `json:"messages"`
	MaxTokens     *int            `json:"max_tokens"`
	MaxCompletion *int            `json:"max_completion_tokens"`
	Temperature   *float64        `json:"temperature"`
	Stream        bool            `json:"stream"`
	StreamOptions *streamOptions  `json:"stream_options"`
	N             *int            `json:"n"`
	User          string          `json:"user"`
	Metadata      json.RawMessage `json:"metadata"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
	Name    string      `json:"name"`
}

// chatContent is the text of a message. In JSON it is a string or a list of text
// parts, which are concatenated.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err == nil {
		*c = chatContent(s)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.New("content must be a text or a list of text parts")
	}
	var t strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.New("only text parts are supported in content")
		}
		t.WriteString(p.Text)
	}
	*c = chatContent(t.String())
	return nil
}

// roles holds the roles that a message may have.
var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// chat answers a chat completion, as a stream or in one piece.
func (a *API) chat(w *exchange, r *http.Request, c *requestInfo) {
	a.recordReceived(c.id, c)
	q, m, err := a.readChat(w, r, c)
	if err != nil {
		a.reject(w, c.id, c, err)
		return
	}
	l := policy.RequestSize{Task: q.Task, Input: relay.EstimateTokens(q.Messages), MaxOutput: ident.Tokens(q.MaxTokens)}
	estimate, err := a.o.Limits.Admit(r.Context(), c.account, l)
	if err != nil {
		a.reject(w, c.id, c, err)
		return
	}
	var used ident.Tokens
	if q.Streaming {
		used = a.respondStream(w, r, c, q, m)
	} else {
		used = a.respondWhole(w, r, c, q)
	}
	a.o.Limits.Settle(c.account.ID, estimate, used)
}

// readChat reads and validates a chat completion request.
func (a *API) readChat(w http.ResponseWriter, r *http.Request, c *requestInfo) (relay.Chat, *chatRequest, error) {
	b, err := a.readBody(w, r, c)
	if err != nil {
		return relay.Chat{}, nil, err
	}
	var m chatRequest
	d := json.NewDecoder(bytes.NewReader(b)) //nolint:forbidigo // in memory
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return relay.Chat{}, nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the body is not a chat completion: %v", err)
	}
	if d.More() {
		return relay.Chat{}, nil, refuse.New(refuse.BadRequest, refuse.NotRun, "the body holds more than one value")
	}
	if f := m.problem(a.o.MaxTokens); f != "" {
		return relay.Chat{}, nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%s", f)
	}
	q := relay.Chat{
		ID:        c.id,
		Account:   c.account.ID,
		Task:      c.task,
		Model:     m.Model,
		Session:   r.Header.Get(HeaderSession),
		MaxTokens: uint32(m.maxOutput(a.o.MaxTokens)),
		Streaming: m.Stream,
		Deadline:  c.deadline,
	}
	if m.Temperature != nil {
		q.Temperature = *m.Temperature
	}
	for _, x := range m.Messages {
		q.Messages = append(q.Messages, &wire.Message{Role: x.Role, Content: string(x.Content)})
	}
	return q, &m, nil
}

// maxOutput returns the output limit of a request in tokens; most bounds only the default.
func (m *chatRequest) maxOutput(most int) int {
	switch {
	case m.MaxCompletion != nil:
		return *m.MaxCompletion
	case m.MaxTokens != nil:
		return *m.MaxTokens
	default:
		return min(defaultMaxTokens, most)
	}
}

// problem describes the first invalid field of a request; it is empty for a valid request.
func (m *chatRequest) problem(maxTokens int) string {
	switch n := m.maxOutput(maxTokens); {
	case m.Model == "":
		return "model is missing"
	case len(m.Messages) == 0:
		return "messages is empty"
	case len(m.Messages) > maxMessages:
		return "there are too many messages"
	case n < 1 || n > maxTokens:
		return "max_tokens is out of range"
	case m.Temperature != nil && (*m.Temperature < 0 || *m.Temperature > maxTemperature):
		return "temperature is out of range"
	case m.N != nil && *m.N != 1:
		return "n must be 1"
	}
	for _, x := range m.Messages {
		if !roles[x.Role] {
			return "a message's role must be system, developer, user or assistant"
		}
	}
	return ""
}

// models lists the models and versions that the account may use now. Each version
// has an entry MODEL@VERSION, and each model one entry before its versions.
func (a *API) models(w *exchange, _ *http.Request, c *requestInfo) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	seen := map[ident.ModelID]bool{}
	for _, v := range usableVersions(c) {
		if !seen[v.Model] {
			seen[v.Model] = true
			out.Data = append(out.Data, model{ID: string(v.Model), Object: "model", OwnedBy: "tarragonvalve"})
		}
		out.Data = append(out.Data, model{ID: v.String(), Object: "model", OwnedBy: "tarragonvalve"})
	}
	w.Header().Set(HeaderRequest, string(c.id))
	writeJSON(w, http.StatusOK, out)
}
