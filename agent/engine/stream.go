package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/late"
)

// Chunk is one event of a stream. Tokens is the number of output tokens in Text, and
// Logprob the sum of their log-probabilities. Finish is the finish reason, set when the
// output is complete. Usage is nil if the event has no token counts.
type Chunk struct {
	Text    string
	Tokens  uint32
	Logprob float64
	Finish  string
	Usage   *Usage
}

// Usage holds the token counts of the engine. Cached is the part of Input that the engine
// had cached.
type Usage struct {
	Input  uint32
	Cached uint32
	Output uint32
}

// IncompleteError reports a stream that ended without a finish reason, or with one
// (Finished) but without [DONE].
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

// maxEvent bounds all lines of a server-sent event together, in bytes.
const maxEvent = 1 << 20

// Stream reads the events of one attempt. It is not safe for concurrent use.
type Stream struct {
	body     io.ReadCloser
	lines    *inlet.Lines
	watchdog *watchdog
	cancel   context.CancelCauseFunc
	start    uint64
	next     uint64
	// numbered is set by the first event with an id. From then on only events with an id
	// advance the position.
	numbered bool
	finished bool
}

func newStream(body io.ReadCloser, peer string, w *watchdog, cancel context.CancelCauseFunc, from uint64) *Stream {
	s := &Stream{body: body, watchdog: w, cancel: cancel, start: from, next: from}
	s.lines = inlet.NewLines(&watchdogReader{reader: body, watchdog: w}, peer, maxEvent)
	return s
}

// Position returns the position of the next event, as Resume takes it.
func (s *Stream) Position() uint64 {
	return s.next
}

// Close closes the connection. Before the end of the stream this also cancels the attempt,
// unless it is resumed within the grace period of the engine.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	s.body.Close()
}

// Next returns the next chunk. It returns io.EOF at the [DONE] of a stream with a finish
// reason, and a *BrokenError for every other end.
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

// event reads the next server-sent event that has data and returns its data and id.
func (s *Stream) event() (data, id string, err error) {
	var (
		text strings.Builder
		line string
		some bool
	)
	for {
		line, err = s.lines.Next()
		if err != nil {
			break
		}
		if line == "" && some {
			return text.String(), id, nil
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			if some {
				text.WriteByte('\n')
			}
			some = true
			text.WriteString(value)
		case "id":
			id = value
		}
	}
	if c := s.watchdog.err(); c != nil {
		err = c
	}
	if err == io.EOF { //nolint:errorlint // only an unwrapped io.EOF is the regular end of the body
		err = &IncompleteError{Finished: s.finished}
	}
	return "", "", &BrokenError{Op: "read stream", Err: err}
}

// PositionError reports an event whose id Got is not the expected position Want.
type PositionError struct {
	Want uint64
	Got  string
}

func (e *PositionError) Error() string {
	return fmt.Sprintf("event at position %q instead of %d", e.Got, e.Want)
}

// advance moves the position past an event. An engine that sends ids numbers only the
// token events; without any ids every event advances the position.
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
		// Without log-probabilities, the text counts as one token.
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

// IsIdleTimeout reports whether err was caused by the idle timeout.
func IsIdleTimeout(err error) bool {
	var e *IdleTimeoutError
	return errors.As(err, &e)
}

// watchdog cancels a request when no byte arrives within the idle timeout.
type watchdog struct {
	*late.Silence

	mu    sync.Mutex
	cause error
}

func newWatchdog(limit time.Duration, f late.Func, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.Silence = late.NewSilence(limit, f, func() {
		e := &IdleTimeoutError{Timeout: limit}
		w.mu.Lock()
		w.cause = e
		w.mu.Unlock()
		cancel(e)
	})
	return w
}

func (w *watchdog) err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cause
}

// watchdogReader resets the watchdog with every byte that it reads.
type watchdogReader struct {
	reader   io.Reader
	watchdog *watchdog
}

func (r *watchdogReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.watchdog.Reset()
	}
	return n, err
}
