package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tarragonvalve.example/standin/answer"
)

// responder writes a stream to one reader in the format of chat completions. continuous adds
// the usage so far to every event.
type responder struct {
	e          *Engine
	s          *stream
	logprobs   bool
	usage      bool
	continuous bool
}

// Usage is the usage object of a response.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usageOf returns the usage after n output tokens.
func (v *responder) usageOf(n int) *Usage {
	u := &Usage{Prompt: v.s.answer.Input, Completion: n, Total: v.s.answer.Input + n}
	u.Details.Cached = v.s.cached
	return u
}

func (v *responder) envelope(object string, choices []any) map[string]any {
	return map[string]any{
		"id":      v.s.id,
		"object":  object,
		"created": time.Now().Unix(),
		"model":   v.s.ref.String(),
		"choices": choices,
	}
}

// logprobsOf returns the logprobs object of tokens.
func logprobsOf(ts []answer.Token) map[string]any {
	var out []any
	for _, t := range ts {
		out = append(out, map[string]any{"token": t.Text, "logprob": t.Logprob, "bytes": nil, "top_logprobs": []any{}})
	}
	return map[string]any{"content": out}
}

// waitForTokens waits until the stream has more than n tokens or is complete, and returns its
// tokens so far and whether it is complete. ok is false if the stream was cancelled or the
// client closed the connection.
func (v *responder) waitForTokens(r *http.Request, n int) (tokens []answer.Token, done, ok bool) {
	for {
		v.e.mu.Lock()
		st, emitted, changed := v.s.state, v.s.emitted, v.s.changed
		v.e.mu.Unlock()
		switch {
		case st == stateCancelled:
			return nil, false, false
		case st == stateFinished || emitted > n:
			return v.s.answer.Tokens[:emitted], st == stateFinished, true
		}
		select {
		case <-r.Context().Done():
			return nil, false, false
		case <-changed:
		}
	}
}

// writeWhole writes the answer as one JSON response once it is complete. If the stream is
// cancelled, it aborts the connection.
func (v *responder) writeWhole(w http.ResponseWriter, r *http.Request) {
	defer v.e.detachReader(v.s)
	n := 0
	for {
		ts, done, ok := v.waitForTokens(r, n)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		n = len(ts)
		if done {
			break
		}
	}
	c := map[string]any{
		"index":         0,
		"message":       answer.Message{Role: "assistant", Content: v.s.answer.Text()},
		"finish_reason": v.s.answer.Finish,
	}
	if v.logprobs {
		c["logprobs"] = logprobsOf(v.s.answer.Tokens)
	}
	m := v.envelope("chat.completion", []any{c})
	m["usage"] = v.usageOf(len(v.s.answer.Tokens))
	writeJSON(w, http.StatusOK, m)
}

// crash crashes the engine once the stream has its first token. It doesn't return: it aborts the
// connection.
func (v *responder) crash(r *http.Request) {
	defer v.e.detachReader(v.s)
	if _, _, ok := v.waitForTokens(r, 0); ok {
		v.e.crashForDowntime()
	}
	panic(http.ErrAbortHandler)
}

// writeStream writes the events from a position on. If the stream is cancelled, it aborts the
// connection without [DONE].
func (v *responder) writeStream(w http.ResponseWriter, r *http.Request, from int) {
	defer v.e.detachReader(v.s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", v.s.id)
	f := http.NewResponseController(w)
	_ = f.Flush()
	for n := from; ; {
		ts, done, ok := v.waitForTokens(r, n)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for ; n < len(ts); n++ {
			v.writeToken(w, n, ts[n])
		}
		if done {
			break
		}
		_ = f.Flush()
	}
	v.writeEvent(w, v.envelope("chat.completion.chunk", []any{map[string]any{
		"index": 0, "delta": map[string]any{}, "finish_reason": v.s.answer.Finish,
	}}))
	if v.usage {
		m := v.envelope("chat.completion.chunk", []any{})
		m["usage"] = v.usageOf(len(v.s.answer.Tokens))
		v.writeEvent(w, m)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	_ = f.Flush()
}

// writeToken writes the event of token n, with n as its SSE id.
func (v *responder) writeToken(w http.ResponseWriter, n int, t answer.Token) {
	d := map[string]any{"content": t.Text}
	if n == 0 {
		d["role"] = "assistant"
	}
	c := map[string]any{"index": 0, "delta": d, "finish_reason": nil}
	if v.logprobs {
		c["logprobs"] = logprobsOf([]answer.Token{t})
	}
	m := v.envelope("chat.completion.chunk", []any{c})
	if v.continuous {
		m["usage"] = v.usageOf(n + 1)
	}
	fmt.Fprintf(w, "id: %d\n", n)
	v.writeEvent(w, m)
}

func (v *responder) writeEvent(w http.ResponseWriter, m any) {
	b, _ := json.Marshal(m)
	fmt.Fprintf(w, "data: %s\n\n", b)
}
