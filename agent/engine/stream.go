package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Chunk is one event of a stream. Finish and Usage are set on the last ones.
type Chunk struct {
	Text    string
	Tokens  uint32
	Logprob float64
	Finish  string
	Usage   *Usage
}

// Usage is the engine's own count of tokens.
type Usage struct {
	Input  uint32
	Cached uint32
	Output uint32
}

// IncompleteError reports a stream that ended without a finish reason and [DONE].
type IncompleteError struct {
	Finished bool
}

func (e *IncompleteError) Error() string {
	if e.Finished {
		return "stream ended without [DONE]"
	}
	return "stream ended without a finish reason"
}

// ReportedError is an error that the engine reports inside a stream.
type ReportedError struct {
	Message string
}

func (e *ReportedError) Error() string {
	return "engine reports: " + e.Message
}

// maxEvent bounds one server-sent event.
const maxEvent = 1 << 20

// Stream reads the events of one attempt. It is used by one goroutine.
type Stream struct {
	body     io.ReadCloser
	lines    *bufio.Scanner
	watchdog *watchdog
	cancel   context.CancelCauseFunc
	start    uint64
	next     uint64
	// numbered is true once an event had an id; then only events with one count.
	numbered bool
	finished bool
}

func newStream(body io.ReadCloser, w *watchdog, cancel context.CancelCauseFunc, from uint64) *Stream {
	s := &Stream{body: body, watchdog: w, cancel: cancel, start: from, next: from}
	s.lines = bufio.NewScanner(&watchedReader{reader: body, watchdog: w})
	s.lines.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return s
}

// Position is the position of the next event, for Resume.
func (s *Stream) Position() uint64 {
	return s.next
}

// Close ends the stream. Closing before its end cancels the attempt.
func (s *Stream) Close() {
	s.watchdog.stop()
	s.cancel(nil)
	s.body.Close()
}

// Next returns the next chunk. It returns io.EOF after [DONE] and a
// *BrokenError for every other end.
func (s *Stream) Next() (Chunk, error) {
	data, id, err := s.event()
	if err != nil {
		return Chunk{}, err
	}
	if data == "[DONE]" {
		if !s.finished {
			return Chunk{}, &BrokenError{Op: "read stream", Err: &IncompleteError{}}
		}
		return Chunk{}, io.EOF
	}
	c, err := decode(data)
	if err != nil {
		return Chunk{}, &BrokenError{Op: "read stream", Err: err}
	}
	if err := s.advance(id); err != nil {
		return Chunk{}, &BrokenError{Op: "read stream", Err: err}
	}
	if c.Finish != "" {
		s.finished = true
	}
	return c, nil
}

// event reads one server-sent event and returns its data and id.
func (s *Stream) event() (data, id string, err error) {
	var lines []string
	for s.lines.Scan() {
		line := s.lines.Text()
		if line == "" && len(lines) > 0 {
			return strings.Join(lines, "\n"), id, nil
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			lines = append(lines, value)
		case "id":
			id = value
		}
	}
	err = s.lines.Err()
	if c := s.watchdog.fired(); c != nil {
		err = c
	}
	if err == nil {
		err = &IncompleteError{Finished: s.finished}
	}
	return "", "", &BrokenError{Op: "read stream", Err: err}
}

// PositionError reports an event at another position than the next one.
type PositionError struct {
	Want uint64
	Got  string
}

func (e *PositionError) Error() string {
	return fmt.Sprintf("event at position %q instead of %d", e.Got, e.Want)
}

// advance counts an event. An engine numbers the token events by their id and
// leaves the others without one; without any id every event counts.
func (s *Stream) advance(id string) error {
	if id == "" {
		if !s.numbered {
			s.next++
		}
		return nil
	}
	if !s.numbered {
		s.numbered = true
		s.next = s.start
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || n != s.next {
		return &PositionError{Want: s.next, Got: id}
	}
	s.next++
	return nil
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Logprobs *struct {
			Content []struct {
				Logprob float64 `json:"logprob"`
			} `json:"content"`
		} `json:"logprobs"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        uint32 `json:"prompt_tokens"`
		CompletionTokens    uint32 `json:"completion_tokens"`
		PromptTokensDetails *struct {
			CachedTokens uint32 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func decode(data string) (Chunk, error) {
	var m chatChunk
	if err := json.Unmarshal([]byte(data), &m); err != nil {
		return Chunk{}, err
	}
	if m.Error != nil {
		return Chunk{}, &ReportedError{Message: m.Error.Message}
	}
	var c Chunk
	if len(m.Choices) > 0 {
		h := m.Choices[0]
		c.Text = h.Delta.Content
		if h.FinishReason != nil {
			c.Finish = *h.FinishReason
		}
		if h.Logprobs != nil {
			for _, p := range h.Logprobs.Content {
				c.Tokens++
				c.Logprob += p.Logprob
			}
		}
		// Without log-probabilities a piece of text is one token.
		if c.Tokens == 0 && c.Text != "" {
			c.Tokens = 1
		}
	}
	if m.Usage != nil {
		c.Usage = &Usage{Input: m.Usage.PromptTokens, Output: m.Usage.CompletionTokens}
		if d := m.Usage.PromptTokensDetails; d != nil {
			c.Usage.Cached = d.CachedTokens
		}
	}
	return c, nil
}

// IsSilent reports whether err is due to the silence limit.
func IsSilent(err error) bool {
	var e *SilentError
	return errors.As(err, &e)
}

// watchdog cancels a request when no byte arrives within the limit.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	mu    sync.Mutex
	cause error
}

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		e := &SilentError{Limit: limit}
		w.mu.Lock()
		w.cause = e
		w.mu.Unlock()
		cancel(e)
	})
	return w
}

func (w *watchdog) fed() {
	w.timer.Reset(w.limit)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}

func (w *watchdog) fired() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cause
}

type watchedReader struct {
	reader   io.Reader
	watchdog *watchdog
}

func (r *watchedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.watchdog.fed()
	}
	return n, err
}
