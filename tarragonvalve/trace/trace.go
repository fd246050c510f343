// Package trace selects the log lines that concern one request from the merged logs of
// several routers.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextWindow is the time before a request's first line and after its last one in
	// which its routers' other lines are selected.
	contextWindow = 5 * time.Second
)

// Line is a log line.
type Line struct {
	At       time.Time
	Instance string
	Level    string
	Message  string
	Request  string
	Upstream string
	// Fields holds the remaining fields by name.
	Fields map[string]any
}

// namedFields are the log fields that Line holds in fields of its own.
var namedFields = []string{"time", "instance", "level", "message", "request", "upstream"}

// Read parses JSON lines. It skips the text before the first brace of a line, and lines
// that hold no JSON object. A line that is too long is an error.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r) //nolint:forbidigo // files that the operator names
	s.Buffer(nil, maxLineBytes)
	var out []Line
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var f map[string]any
		if json.Unmarshal(s.Bytes()[i:], &f) != nil {
			continue
		}
		out = append(out, newLine(f))
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read the logs: %w", err)
	}
	return out, nil
}

// newLine returns the line with the decoded fields f. It removes from f the fields that
// Line holds in fields of its own.
func newLine(f map[string]any) Line {
	text := func(k string) string {
		v, _ := f[k].(string)
		return v
	}
	l := Line{
		Instance: text("instance"), Level: text("level"), Message: text("message"),
		Request: text("request"), Upstream: text("upstream"), Fields: f,
	}
	if ms, ok := f["time"].(float64); ok {
		l.At = time.UnixMilli(int64(ms)).UTC()
	}
	for _, k := range namedFields {
		delete(f, k)
	}
	return l
}

// ForRequest returns the lines of a request, sorted by time, along with lines of the same
// routers at about the same time that belong to no request and name no upstream or
// one of the request's. It returns nil if no line names the request.
func ForRequest(ls []Line, request string) []Line {
	var out []Line
	routers, upstreams := map[string]bool{}, map[string]bool{"": true}
	var first, last time.Time
	for _, l := range ls {
		if l.Request != request {
			continue
		}
		out = append(out, l)
		routers[l.Instance] = true
		upstreams[l.Upstream] = true
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	if len(out) == 0 {
		return nil
	}
	for _, l := range ls {
		near := !l.At.Before(first.Add(-contextWindow)) && !l.At.After(last.Add(contextWindow))
		if l.Request == "" && near && routers[l.Instance] && upstreams[l.Upstream] {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// Write writes lines as text, with the fields sorted by name.
func Write(w io.Writer, ls []Line) error {
	for _, l := range ls {
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s", l.At.Format("15:04:05.000"), l.Instance)
		if l.Request != "" {
			b.WriteString(" request")
		}
		fmt.Fprintf(&b, ": %s", l.Message)
		if l.Upstream != "" {
			fmt.Fprintf(&b, " upstream=%s", l.Upstream)
		}
		keys := make([]string, 0, len(l.Fields))
		for k := range l.Fields {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
		}
		b.WriteByte('\n')
		if _, err := io.WriteString(w, b.String()); err != nil {
			return fmt.Errorf("write the log lines: %w", err)
		}
	}
	return nil
}
