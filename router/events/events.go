// Package events splits an event stream into whole events without changing their bytes.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"tarragonvalve.example/router/quota"
)

// maxEvent bounds one event, in bytes; the largest are a few hundred.
const maxEvent = 64 << 10

// Event is one event with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is valid if Numbered.
	ID       uint64
	Numbered bool
	// Blank events hold nothing but comments.
	Blank bool
}

// Reader reads events from a body.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next whole event. It returns io.EOF after the last one and
// io.ErrUnexpectedEOF if the stream ends within an event, and a *quota.TooLongError for an
// event without end. The event's bytes are the caller's.
func (r *Reader) Next() (Event, error) {
	e := Event{Blank: true}
	for {
		line, err := r.r.ReadSlice('\n')
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
		if len(e.Raw) > maxEvent {
			return Event{}, &quota.TooLongError{What: "event", Limit: maxEvent}
		}
		if err != nil {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.field(line)
	}
}

func (e *Event) field(line []byte) {
	if line[0] != ':' {
		e.Blank = false
	}
	v, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(v)), 10, 64)
	if err != nil {
		return
	}
	e.ID, e.Numbered = n, true
}
