// Package client is an HTTP client of the entries' API for load generation and tests. It reads
// a response to its end and returns everything that a test checks in it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/standin/answer"
)

// maxAnswerBytes bounds the body of a response, maxLineBytes a line of an event stream.
const (
	maxAnswerBytes = 16 << 20
	maxLineBytes   = 1 << 20
)

// Client sends requests to one entry with the key of one client account.
type Client struct {
	HTTP *http.Client
	// Entry is the address of the entry's callers' API, IP:PORT.
	Entry string
	Key   string
}

// Chat is a chat completion request.
type Chat struct {
	Model     string
	Messages  []answer.Message
	MaxTokens int
	Stream    bool
	Session   string
	Task      string
	Timeout   time.Duration
	// OnText is called after each event with text with the number of such events so far.
	OnText func(n int)
}

// Call is a plain-service call. Key is its idempotency key; empty means none.
type Call struct {
	Service string
	Method  string
	Path    string
	Key     string
	Body    string
	Timeout time.Duration
}

// Reply is the response to a request.
type Reply struct {
	// Status is 0 if no response arrived; Err is the reason.
	Status       int
	Err          error
	Request      ident.RequestID
	Session      string
	SessionMoved bool
	Version      ident.VersionRef
	// Code, Ran, Message and RetryAfter are those of a refusal, also of one that ended a
	// stream.
	Code         refuse.Code
	Ran          refuse.Ran
	Message      string
	RetryAfter   time.Duration
	Text         string
	Finish       string
	InputTokens  int
	OutputTokens int
	// Done is true if the response is complete: a stream that ended with [DONE] after a finish
	// reason, a chat response with status 200 and a finish reason, or the whole body of a
	// call.
	Done            bool
	Replayed        bool
	Body            []byte
	TimeToFirstText time.Duration
	Total           time.Duration
}

// OK reports whether a complete response with a 2xx status and without a refusal arrived.
func (r *Reply) OK() bool {
	return r.Err == nil && r.Status/100 == 2 && r.Done && r.Code == ""
}

// Describe returns the outcome of a request in one line, for messages about failures.
func (r *Reply) Describe() string {
	return fmt.Sprintf("status %d code %q ran %q done %t error %v: %s", r.Status, r.Code, r.Ran, r.Done, r.Err, r.Message)
}

// Chat sends a chat completion request and reads the response to its end.
func (c *Client) Chat(ctx context.Context, q Chat) Reply {
	m := map[string]any{"model": q.Model, "messages": q.Messages, "stream": q.Stream}
	if q.Stream {
		m["stream_options"] = map[string]any{"include_usage": true}
	}
	if q.MaxTokens > 0 {
		m["max_tokens"] = q.MaxTokens
	}
	b, err := json.Marshal(m)
	if err != nil {
		return Reply{Err: err}
	}
	h := c.header(q.Timeout)
	h.Set("Content-Type", "application/json")
	setNonEmpty(h, "Tarragonvalve-Session", q.Session)
	setNonEmpty(h, "Tarragonvalve-Task", q.Task)
	return c.send(ctx, http.MethodPost, "/v1/chat/completions", h, b, func(r *Reply, res *http.Response, at time.Time) {
		if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
			r.readStream(res.Body, at, q.OnText)
			return
		}
		r.readChat(res.Body, at)
	})
}

// Call sends a plain-service call and reads the response to its end.
func (c *Client) Call(ctx context.Context, q Call) Reply {
	h := c.header(q.Timeout)
	setNonEmpty(h, "Idempotency-Key", q.Key)
	return c.send(ctx, q.Method, "/v1/services/"+q.Service+q.Path, h, []byte(q.Body), func(r *Reply, res *http.Response, _ time.Time) {
		r.Body, r.Err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		r.Done = r.Err == nil
		r.readRefusal(r.Body)
	})
}

func (c *Client) header(timeout time.Duration) http.Header {
	h := http.Header{}
	setNonEmpty(h, "Authorization", "Bearer "+c.Key)
	if timeout > 0 {
		h.Set("Tarragonvalve-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	return h
}

func setNonEmpty(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

func (c *Client) send(ctx context.Context, method, path string, h http.Header, body []byte, read func(*Reply, *http.Response, time.Time)) Reply {
	at := time.Now()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.Entry+path, bytes.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	q.Header = h
	// Without GetBody the transport can't resend the body, so it never sends a request twice.
	q.GetBody = nil
	res, err := c.HTTP.Do(q)
	if err != nil {
		return Reply{Err: err, Total: time.Since(at)}
	}
	defer res.Body.Close()
	r := Reply{
		Status:       res.StatusCode,
		Request:      ident.RequestID(res.Header.Get("Tarragonvalve-Request-Id")),
		Session:      res.Header.Get("Tarragonvalve-Session"),
		SessionMoved: res.Header.Get("Tarragonvalve-Session-Moved") == "yes",
		Replayed:     res.Header.Get("Tarragonvalve-Replayed") == "yes",
	}
	r.setVersion(res.Header.Get("Tarragonvalve-Model"))
	read(&r, res, at)
	r.Total = time.Since(at)
	return r
}

func (r *Reply) setVersion(s string) {
	if v, err := ident.ParseRef(s); err == nil {
		r.Version = v
	}
}

// chunk is a chat completion or one event of a streamed one.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   answer.Message `json:"delta"`
		Message answer.Message `json:"message"`
		Finish  string         `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

// addChunk adds a chunk to the reply and returns the chunk's text.
func (r *Reply) addChunk(m *chunk) string {
	r.setVersion(m.Model)
	text := ""
	for _, c := range m.Choices {
		text += c.Delta.Content + c.Message.Content
		r.Finish += c.Finish
	}
	r.Text += text
	if m.Usage != nil {
		r.InputTokens, r.OutputTokens = m.Usage.Prompt, m.Usage.Completion
	}
	return text
}

func (r *Reply) readChat(body io.Reader, at time.Time) {
	r.Body, r.Err = io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	r.TimeToFirstText = time.Since(at)
	if r.Err != nil || r.readRefusal(r.Body) {
		return
	}
	var m chunk
	if r.Err = json.Unmarshal(r.Body, &m); r.Err != nil {
		return
	}
	r.addChunk(&m)
	r.Done = r.Status == http.StatusOK && r.Finish != ""
}

func (r *Reply) readStream(body io.Reader, at time.Time, onText func(int)) {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxLineBytes)
	pieces := 0
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			r.Done = r.Finish != ""
			continue
		case r.readRefusal([]byte(data)):
			continue
		}
		var m chunk
		if r.Err = json.Unmarshal([]byte(data), &m); r.Err != nil {
			return
		}
		if r.addChunk(&m) == "" {
			continue
		}
		if pieces == 0 {
			r.TimeToFirstText = time.Since(at)
		}
		pieces++
		if onText != nil {
			onText(pieces)
		}
	}
	r.Err = s.Err()
}

// readRefusal copies the fields of a refusal into the reply; it reports whether b is one.
func (r *Reply) readRefusal(b []byte) bool {
	var m struct {
		Error *struct {
			Code       refuse.Code     `json:"code"`
			Message    string          `json:"message"`
			Ran        refuse.Ran      `json:"ran"`
			Request    ident.RequestID `json:"request-id"`
			RetryAfter int64           `json:"retry-after-ms"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &m) != nil || m.Error == nil || m.Error.Code == "" {
		return false
	}
	r.Code, r.Ran, r.Message = m.Error.Code, m.Error.Ran, m.Error.Message
	r.RetryAfter = time.Duration(m.Error.RetryAfter) * time.Millisecond
	if m.Error.Request != "" {
		r.Request = m.Error.Request
	}
	return true
}
