package inlet

import (
	"bufio"
	"errors"
	"io"
	"strings"
)

// Lines reads the lines of server-sent events. It isn't safe for concurrent use.
type Lines struct {
	reader *bufio.Reader
	peer   string
	limit  int64
	// used is the number of bytes since the last blank line.
	used int64
}

// NewLines returns a reader of the lines in r, which come from peer. limit bounds the bytes
// of all lines of one event together.
func NewLines(r io.Reader, peer string, limit int64) *Lines {
	return &Lines{reader: bufio.NewReader(r), peer: peer, limit: limit}
}

// Next returns the next line without its line break; a blank line ends an event. It returns
// a *TooLongError if the lines since the last blank one exceed the limit, io.EOF after the
// last line, and errors of the underlying reader. A last line without a line break is
// returned as well.
func (l *Lines) Next() (string, error) {
	var text strings.Builder
	for {
		b, err := l.reader.ReadSlice('\n')
		l.used += int64(len(b))
		if l.used > l.limit {
			return "", &TooLongError{Part: Event, Limit: l.limit, Peer: l.peer}
		}
		text.Write(b)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (!errors.Is(err, io.EOF) || text.Len() == 0) {
			return "", err
		}
		line := strings.TrimSuffix(strings.TrimSuffix(text.String(), "\n"), "\r")
		if line == "" {
			l.used = 0
		}
		return line, nil
	}
}
