package events_test

import (
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"tarragonvalve.example/router/events"
	"tarragonvalve.example/router/quota"
)

// Guards against events that are merged, modified or returned incomplete.
func TestNext(t *testing.T) {
	tests := map[string]struct {
		text string
		ids  []uint64
		end  error
	}{
		"two events":        {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []uint64{1, 2}, io.EOF},
		"carriage returns":  {"id: 1\r\ndata: a\r\n\r\n", []uint64{1}, io.EOF},
		"other first lines": {"tarragonvalve-weight-versions: 2\nid: 7\ndata: a\n\n", []uint64{7}, io.EOF},
		"cut in an event":   {"id: 1\ndata: a\n\nid: 2\nda", []uint64{1}, io.ErrUnexpectedEOF},
		"no blank line":     {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"empty":             {"", nil, io.EOF},
		"long":              {"id: 1\ndata: " + strings.Repeat("x", 20_000) + "\n\n", []uint64{1}, io.EOF},
		"too long":          {"data: " + strings.Repeat("x", 300<<10), nil, &quota.TooLongError{What: "event", Limit: 64 << 10}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := events.NewReader(iotest.OneByteReader(strings.NewReader(c.text)))
			var ids []uint64
			var raw strings.Builder
			for {
				e, err := r.Next()
				if err != nil {
					if !reflect.DeepEqual(err, c.end) {
						t.Errorf("ended with %v, want %v", err, c.end)
					}
					break
				}
				ids = append(ids, e.ID)
				raw.Write(e.Raw)
			}
			if len(ids) != len(c.ids) || !strings.HasPrefix(c.text, raw.String()) {
				t.Fatalf("got ids %v of %q", ids, raw.String())
			}
			for i := range ids {
				if ids[i] != c.ids[i] {
					t.Errorf("got ids %v, want %v", ids, c.ids)
				}
			}
		})
	}
}

// Guards against an event that is held back for one that has not arrived as a whole.
func TestReady(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		rest string
		want bool
	}{
		"nothing":              {"", false},
		"part of an event":     {"id: 2\ndata: b\n", false},
		"whole event":          {"id: 2\ndata: b\n\n", true},
		"with carriage return": {"id: 2\r\ndata: b\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			r := events.NewReader(strings.NewReader(first + c.rest))
			if r.Ready() {
				t.Error("ready before anything was read")
			}
			if _, err := r.Next(); err != nil {
				t.Fatal(err)
			}
			if r.Ready() != c.want {
				t.Errorf("got %t", !c.want)
			}
		})
	}
}
