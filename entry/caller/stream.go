package caller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/relay"
)

const (
	// commentInterval is the interval of SSE comment lines, which keep callers and
	// proxies from closing a stream without output.
	commentInterval = 5 * time.Second
	// writeTimeout bounds one write to a caller that no longer reads.
	writeTimeout = 20 * time.Second
	// maxAnswerBytes is the largest answer, in bytes of text, that is buffered for a
	// request without streaming.
	maxAnswerBytes = 8 << 20
)

// chunk is a whole chat completion or one event of a streamed one.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt     uint64        `json:"prompt_tokens"`
	Completion uint64        `json:"completion_tokens"`
	Total      uint64        `json:"total_tokens"`
	Details    *usageDetails `json:"prompt_tokens_details,omitempty"`
}

type usageDetails struct {
	Cached uint64 `json:"cached_tokens"`
}

func usageOf(a *relay.Answer) *usage {
	u := &usage{Prompt: uint64(a.Input), Completion: uint64(a.Output), Total: uint64(a.Input + a.Output)}
	if a.Cached > 0 {
		u.Details = &usageDetails{Cached: uint64(a.Cached)}
	}
	return u
}

// setHeaders sets the response headers that depend on the session and version.
func setHeaders(h http.Header, id ident.RequestID, d relay.Head) {
	h.Set(HeaderRequest, string(id))
	h.Set(HeaderSession, d.Session)
	h.Set(HeaderModel, d.Version.String())
	h.Del(HeaderSessionMoved)
	if d.Moved {
		h.Set(HeaderSessionMoved, "yes")
	}
}

// eventWriter sends an answer as server-sent events (SSE). A second goroutine sends
// comment lines, so mu guards all writes.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	id ident.RequestID
	// created is the start of the answer in Unix seconds.
	created int64

	mu   sync.Mutex
	head relay.Head
	// final is true when it is final which version answers.
	final bool
	// headersSent is true when the headers are sent.
	headersSent bool
	// roleSent is true when the event with the role is sent.
	roleSent bool
	// writeErr is the first error of encoding or writing; nothing is written after it.
	writeErr error
}

// SetHead implements relay.Sink. The headers can change until the first byte is sent.
func (s *eventWriter) SetHead(h relay.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = h
	s.final = h.Final
	if !s.headersSent {
		setHeaders(s.w.Header(), s.id, h)
	}
}

// Text implements relay.Sink. It sends the text as one event.
func (s *eventWriter) Text(t string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.roleSent {
		s.roleSent = true
		s.sendEvent(s.chunk(&message{Role: "assistant"}, nil))
	}
	s.sendEvent(s.chunk(&message{Content: t}, nil))
	return s.writeErr
}

func (s *eventWriter) chunk(d *message, finish *string) chunk {
	return chunk{
		ID:      "chatcmpl-" + string(s.id),
		Object:  "chat.completion.chunk",
		Created: s.created,
		Model:   s.head.Version.String(),
		Choices: []choice{{Delta: d, Finish: finish}},
	}
}

func (s *eventWriter) sendEvent(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		s.writeErr = errors.Join(s.writeErr, err)
		return
	}
	s.write("data: " + string(b) + "\n\n")
}

func (s *eventWriter) write(t string) {
	if s.writeErr != nil {
		return
	}
	s.sendHeaders()
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write([]byte(t)); err != nil {
		s.writeErr = err
		return
	}
	if err := s.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.writeErr = err
	}
}

// sendHeaders sends the status and headers once.
func (s *eventWriter) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

// sendComment sends a comment line if it is final which version answers. Before that
// the headers are not complete, and the comment would send them.
func (s *eventWriter) sendComment() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final {
		s.write(": waiting\n\n")
	}
}

// sendComments sends a comment line at each interval until ctx ends.
func (s *eventWriter) sendComments(ctx context.Context) {
	t := time.NewTicker(commentInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.sendComment()
		}
	}
}

// finish sends the finish reason, the token usage if withUsage is set, and [DONE].
func (s *eventWriter) finish(a *relay.Answer, withUsage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = a.Head
	if !s.roleSent {
		s.sendEvent(s.chunk(&message{Role: "assistant"}, nil))
	}
	s.sendEvent(s.chunk(&message{}, &a.FinishReason))
	if withUsage {
		c := s.chunk(nil, nil)
		c.Choices = []choice{}
		c.Usage = usageOf(a)
		s.sendEvent(c)
	}
	s.write("data: [DONE]\n\n")
}

// refuse ends a started stream by an error event, without [DONE]. It returns false
// and sends nothing when the stream has not started.
func (s *eventWriter) refuse(e *refuse.Error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headersSent {
		return false
	}
	b, _ := json.Marshal(errorOf(s.id, e))
	s.write("event: error\ndata: " + string(b) + "\n\n")
	return true
}

// respondStream streams an answer and returns the tokens that the request used, 0
// for a refused one.
func (a *API) respondStream(w *exchange, r *http.Request, c *requestInfo, q relay.Chat, m *chatRequest) ident.Tokens {
	s := &eventWriter{w: w, rc: http.NewResponseController(w), id: c.id, created: a.o.Now().Unix()}
	n, err := a.chatWithComments(r.Context(), q, s)
	if err != nil {
		e := refuse.FromError(err, refuse.Unknown)
		w.refused(e)
		if !s.refuse(e) {
			a.refuse(w, c.id, e)
		}
		return 0
	}
	s.finish(n, m.StreamOptions != nil && m.StreamOptions.IncludeUsage)
	return n.Input + n.Output
}

// chatWithComments runs a chat and sends comment lines until it ends.
func (a *API) chatWithComments(ctx context.Context, q relay.Chat, s *eventWriter) (*relay.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	wait.Go(func() { s.sendComments(ctx) })
	return a.o.Chats.Chat(ctx, q, s)
}

// answerBuffer buffers an answer for a request without streaming.
type answerBuffer struct {
	head relay.Head
	text strings.Builder
}

// SetHead implements relay.Sink.
func (h *answerBuffer) SetHead(d relay.Head) { h.head = d }

// Text implements relay.Sink. It returns an error when the answer exceeds maxAnswerBytes.
func (h *answerBuffer) Text(t string) error {
	if h.text.Len()+len(t) > maxAnswerBytes {
		return errors.New("buffer the answer: its text exceeds the limit for requests without streaming")
	}
	h.text.WriteString(t)
	return nil
}

// respondWhole sends an answer in one piece and returns the tokens that the request
// used, 0 for a refused one.
func (a *API) respondWhole(w *exchange, r *http.Request, c *requestInfo, q relay.Chat) ident.Tokens {
	h := &answerBuffer{}
	n, err := a.o.Chats.Chat(r.Context(), q, h)
	if h.head.Session != "" {
		setHeaders(w.Header(), c.id, h.head)
	}
	if err != nil {
		w.refused(refuse.FromError(err, refuse.Unknown))
		a.refuse(w, c.id, err)
		return 0
	}
	setHeaders(w.Header(), c.id, n.Head)
	writeJSON(w, http.StatusOK, chunk{
		ID:      "chatcmpl-" + string(c.id),
		Object:  "chat.completion",
		Created: a.o.Now().Unix(),
		Model:   n.Version.String(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: h.text.String()}, Finish: &n.FinishReason}},
		Usage:   usageOf(n),
	})
	return n.Input + n.Output
}

// usableVersions returns the versions that the account may use now, sorted by name.
func usableVersions(c *requestInfo) []ident.VersionRef {
	var out []ident.VersionRef
	for v := range c.account.Allowed {
		if c.view.Usable(v) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(x, y ident.VersionRef) int { return cmp.Compare(x.String(), y.String()) })
	return out
}
