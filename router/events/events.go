// Package events splits a stream of server-sent events into complete events without
// changing their bytes.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"tarragonvalve.example/router/quota"
)

// maxEventBytes bounds the length of one event. The largest ones have a few hundred bytes.
const maxEventBytes = 64 << 10

// usualEventBytes is the room for an event that is allocated at once. Those of the users' servers have 70 bytes.
const usualEventBytes = 128

// Event is one event.
type Event struct {
	// Raw is the event's text with the blank line that ends it.
	Raw []byte
	// ID is valid if HasID is true: if the event has an id field with a decimal number.
	ID    uint64
	HasID bool
	// CommentOnly is true if the event has no field, only comments.
	CommentOnly bool
}

// Reader reads events from a response body. It isn't safe for concurrent use.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next complete event. It returns io.EOF after the last one,
// io.ErrUnexpectedEOF if the stream ends within an event, and a *quota.TooLongError for an
// event longer than maxEventBytes. The caller may keep and modify the event's bytes.
func (r *Reader) Next() (Event, error) {
	e := Event{CommentOnly: true}
	for {
		line, err := r.r.ReadSlice('\n')
		if e.Raw == nil && len(line) > 0 {
			e.Raw = make([]byte, 0, max(len(line), usualEventBytes))
		}
		e.Raw = append(e.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			if len(e.Raw) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, io.EOF
		case err != nil:
			return Event{}, err
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, &quota.TooLongError{What: "event", Limit: maxEventBytes}
		}
		if err != nil {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.parseField(line)
	}
}

// Ready reports whether a whole event has been read from the response already, so that Next doesn't wait.
func (r *Reader) Ready() bool {
	b, err := r.r.Peek(r.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

// parseField updates the event from one of its lines, which is not empty and has no line
// break.
func (e *Event) parseField(line []byte) {
	if line[0] != ':' {
		e.CommentOnly = false
	}
	v, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(v)), 10, 64)
	if err != nil {
		return
	}
	e.ID, e.HasID = n, true
}
