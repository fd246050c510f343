// Package trace merges the log lines of several routers into the story of one request.
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
	// maxLine bounds a log line.
	maxLine = 1 << 20
	// around is how long before a request's first line, and after its last one,
	// changes of what its routers believed belong to the story.
	around = 5 * time.Second
)

// Line is one log line.
type Line struct {
	At       time.Time
	Instance string
	Level    string
	Message  string
	Request  string
	Upstream string
	// Fields are the others, by name.
	Fields map[string]any
}

// own are the fields that Line holds by themselves.
var own = []string{"time", "instance", "level", "message", "request", "upstream"}

// Read reads JSON lines. Text before the first brace of a line is skipped, and
// so are lines without one.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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
		out = append(out, line(f))
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read the logs: %w", err)
	}
	return out, nil
}

func line(f map[string]any) Line {
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
	for _, k := range own {
		delete(f, k)
	}
	return l
}

// Story returns the lines of a request, and with them what its routers learnt
// around it: lines without a request that name no upstream or one that it met.
func Story(ls []Line, request string) []Line {
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
		near := !l.At.Before(first.Add(-around)) && !l.At.After(last.Add(around))
		if l.Request == "" && near && routers[l.Instance] && upstreams[l.Upstream] {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// Write prints a story as text, a line for each.
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
			return fmt.Errorf("write the story: %w", err)
		}
	}
	return nil
}
