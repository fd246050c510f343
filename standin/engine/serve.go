package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 4 << 20

// Request is the part of a chat completions request that the engine reads.
type Request struct {
	Model         string           `json:"model"`
	Messages      []answer.Message `json:"messages"`
	MaxTokens     int              `json:"max_tokens"`
	MaxCompletion int              `json:"max_completion_tokens"`
	Stream        bool             `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
		// ContinuousUsage is an extension of vLLM: every event carries the usage so far.
		ContinuousUsage bool `json:"continuous_usage_stats"`
	} `json:"stream_options"`
	Logprobs  bool   `json:"logprobs"`
	Priority  int    `json:"priority"`
	RequestID string `json:"request_id"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message, "type": code, "code": code}})
}

func writeInjectedError(w http.ResponseWriter) {
	writeError(w, http.StatusInternalServerError, "internal_error", "error fault")
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	// net/http detects a closed client connection only once the whole body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	if h := r.Header.Get("X-Request-Id"); h != "" {
		q.RequestID = h
	}
	s, status, code := e.enqueue(&q)
	if s == nil {
		if status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		writeError(w, status, code, "request was not started")
		return
	}
	v := &responder{e: e, s: s, logprobs: q.Logprobs, usage: q.StreamOptions.IncludeUsage, continuous: q.StreamOptions.ContinuousUsage}
	if q.Stream {
		if strings.HasPrefix(q.Messages[len(q.Messages)-1].Content, CrashPrefix) {
			v.crash(r)
		}
		v.writeStream(w, r, 0)
		return
	}
	v.writeWhole(w, r)
}

// enqueue queues a request. If it refuses the request, it returns a nil stream and the HTTP
// status and error code of the refusal.
func (e *Engine) enqueue(q *Request) (*stream, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Received++
	ref, ok := e.resolveModel(q.Model)
	if !ok {
		e.counts.Refused++
		return nil, http.StatusNotFound, "model_not_found"
	}
	if len(q.Messages) == 0 {
		e.counts.Refused++
		return nil, http.StatusBadRequest, "invalid_request_error"
	}
	if len(e.queue) >= e.o.QueueLimit {
		e.counts.Refused++
		return nil, http.StatusTooManyRequests, "queue_full"
	}
	id := q.RequestID
	if id == "" {
		e.lastStreamNumber++
		id = "s-" + strconv.FormatUint(e.lastStreamNumber, 10)
	}
	if _, ok := e.streams[id]; ok {
		e.counts.Refused++
		return nil, http.StatusConflict, "duplicate_request_id"
	}
	if e.models.sampleError(e.models.Current(ref)) {
		e.counts.Failed++
		return nil, http.StatusInternalServerError, "internal_error"
	}
	limit := q.MaxTokens
	if limit == 0 {
		limit = q.MaxCompletion
	}
	s := &stream{
		id:       id,
		ref:      ref,
		messages: q.Messages,
		answer:   e.models.Answer(ref, q.Messages, limit),
		priority: q.Priority,
		readers:  1,
		changed:  make(chan struct{}),
	}
	e.streams[id] = s
	e.queue = append(e.queue, s)
	e.recordLoad(time.Now())
	e.wakeLoop()
	return s, 0, ""
}

// resolveModel resolves MODEL@VERSION, or MODEL to one of its loaded versions. It returns false
// if the version is not loaded.
func (e *Engine) resolveModel(model string) (ident.VersionRef, bool) {
	if ref, err := ident.ParseRef(model); err == nil {
		return ref, e.loaded[ref]
	}
	for ref := range e.loaded {
		if string(ref.Model) == model {
			return ref, true
		}
	}
	return ident.VersionRef{}, false
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi("0" + r.URL.Query().Get("from"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "from is not a position")
		return
	}
	e.mu.Lock()
	s, ok := e.streams[chi.URLParam(r, "id")]
	ok = ok && s.state != stateCancelled
	if ok {
		s.readers++
		e.counts.Resumed++
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	v := &responder{e: e, s: s, logprobs: true, usage: true, continuous: true}
	v.writeStream(w, r, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[chi.URLParam(r, "id")]; ok {
		e.cancelStream(s, time.Now())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data := []map[string]any{}
	for ref := range e.loaded {
		data = append(data, map[string]any{"id": ref.String(), "object": "model", "owned_by": "standin"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": data})
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.laggedLoad(time.Now()))
}

// detachReader removes a reader from a stream. Without a reader, expire cancels the stream
// after the grace time.
func (e *Engine) detachReader(s *stream) {
	e.mu.Lock()
	s.readers--
	s.lastReaderLeft = time.Now()
	e.mu.Unlock()
}
