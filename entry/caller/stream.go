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
	// commentEvery is the pause between comment lines, which show the caller that the stream is alive.
	commentEvery = 5 * time.Second
	// writeLimit bounds one write to a caller that no longer reads.
	writeLimit = 20 * time.Second
	// maxAnswer bounds the text of an answer that is held for a caller without streaming.
	maxAnswer = 8 << 20
)

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

func setHead(h http.Header, id ident.RequestID, d relay.Head) {
	h.Set(HeaderRequest, string(id))
	h.Set(HeaderSession, d.Session)
	h.Set(HeaderModel, d.Version.String())
	h.Del(HeaderSessionMoved)
	if d.Moved {
		h.Set(HeaderSessionMoved, "yes")
	}
}

// writer sends an answer as server-sent events. Comment lines come from another
// goroutine, so all writes are under its lock.
type writer struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	id      ident.RequestID
	created int64

	mu      sync.Mutex
	head    relay.Head
	planned bool
	started bool
	sent    bool
	failed  error
}

// Planned implements relay.Sink. Headers can change until the first byte.
func (s *writer) Planned(h relay.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = h
	s.planned = h.Settled
	if !s.started {
		setHead(s.w.Header(), s.id, h)
	}
}

// Text implements relay.Sink.
func (s *writer) Text(t string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sent {
		s.sent = true
		s.event(s.chunk(&message{Role: "assistant"}, nil))
	}
	s.event(s.chunk(&message{Content: t}, nil))
	return s.failed
}

func (s *writer) chunk(d *message, finish *string) chunk {
	return chunk{
		ID:      "chatcmpl-" + string(s.id),
		Object:  "chat.completion.chunk",
		Created: s.created,
		Model:   s.head.Version.String(),
		Choices: []choice{{Delta: d, Finish: finish}},
	}
}

func (s *writer) event(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		s.failed = errors.Join(s.failed, err)
		return
	}
	s.write("data: " + string(b) + "\n\n")
}

func (s *writer) write(t string) {
	if s.failed != nil {
		return
	}
	s.start()
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := s.w.Write([]byte(t)); err != nil {
		s.failed = err
		return
	}
	if err := s.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.failed = err
	}
}

func (s *writer) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

// comment sends a comment line once it is settled which version answers; before
// that the headers are not complete.
func (s *writer) comment() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planned {
		s.write(": waiting\n\n")
	}
}

func (s *writer) comments(ctx context.Context) {
	t := time.NewTicker(commentEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.comment()
		}
	}
}

func (s *writer) finish(a *relay.Answer, withUsage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = a.Head
	if !s.sent {
		s.event(s.chunk(&message{Role: "assistant"}, nil))
	}
	s.event(s.chunk(&message{}, &a.FinishReason))
	if withUsage {
		c := s.chunk(nil, nil)
		c.Choices = []choice{}
		c.Usage = usageOf(a)
		s.event(c)
	}
	s.write("data: [DONE]\n\n")
}

// refuse ends a stream that has begun with an error event and without [DONE].
// It reports false when nothing was sent yet.
func (s *writer) refuse(e *refuse.Error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		return false
	}
	b, _ := json.Marshal(errorOf(s.id, e))
	s.write("event: error\ndata: " + string(b) + "\n\n")
	return true
}

func (a *API) stream(w http.ResponseWriter, r *http.Request, c *caller, q relay.Chat, m *chatRequest) ident.Tokens {
	s := &writer{w: w, rc: http.NewResponseController(w), id: c.id, created: a.o.Now().Unix()}
	ctx, cancel := context.WithCancel(r.Context())
	var wait sync.WaitGroup
	wait.Go(func() { s.comments(ctx) })
	n, err := a.o.Chats.Chat(ctx, q, s)
	cancel()
	wait.Wait()
	if err != nil {
		e := refuse.From(err, refuse.Unknown)
		if !s.refuse(e) {
			a.refuse(w, c.id, e)
		}
		return 0
	}
	s.finish(n, m.StreamOptions != nil && m.StreamOptions.IncludeUsage)
	return n.Input + n.Output
}

// holder keeps an answer for a caller without streaming.
type holder struct {
	head relay.Head
	text strings.Builder
}

// Planned implements relay.Sink.
func (h *holder) Planned(d relay.Head) { h.head = d }

// Text implements relay.Sink.
func (h *holder) Text(t string) error {
	if h.text.Len()+len(t) > maxAnswer {
		return errors.New("the answer is too long to hold")
	}
	h.text.WriteString(t)
	return nil
}

func (a *API) whole(w http.ResponseWriter, r *http.Request, c *caller, q relay.Chat) ident.Tokens {
	h := &holder{}
	n, err := a.o.Chats.Chat(r.Context(), q, h)
	if h.head.Session != "" {
		setHead(w.Header(), c.id, h.head)
	}
	if err != nil {
		a.refuse(w, c.id, err)
		return 0
	}
	setHead(w.Header(), c.id, n.Head)
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

// usable returns the versions that the account may use now, sorted.
func usable(c *caller) []ident.VersionRef {
	var out []ident.VersionRef
	for v := range c.account.Allowed {
		if c.view.Usable(v) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(x, y ident.VersionRef) int { return cmp.Compare(x.String(), y.String()) })
	return out
}
