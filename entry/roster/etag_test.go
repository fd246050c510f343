package roster

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against transferring an unchanged list at every read, against treating it as
// empty, and against missing a change. OnUpdate must be called for an unchanged list
// as well: a link that failed since then moves to the second address of its upstream
// only when the targets are compared again.
func TestUnchangedList(t *testing.T) {
	tag, port, whole := `"1"`, "1", 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		whole++
		_ = json.NewEncoder(w).Encode([]group{{Targets: []string{"127.0.0.1:" + port}, Labels: map[string]string{"role": RoleEntry}}})
	}))
	defer s.Close()
	var got []string
	r := New(Options{URL: s.URL, Client: s.Client(), Log: zerolog.Nop(), OnUpdate: func(is []Instance) {
		for _, i := range is {
			got = append(got, i.Addr)
		}
	}})
	r.refresh(t.Context())
	r.refresh(t.Context())
	tag, port = `"2"`, "2"
	r.refresh(t.Context())
	r.refresh(t.Context())
	want := []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:2"}
	if len(got) != len(want) || whole != 2 {
		t.Fatalf("listed %v with %d whole answers", got, whole)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("listed %v, want %v", got, want)
		}
	}
	if failed, _ := r.Counts(); failed != 0 {
		t.Fatalf("%d reads failed", failed)
	}
}

// Guards against a list without entity tags that is read only once.
func TestListWithoutTags(t *testing.T) {
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n++
		_, _ = w.Write([]byte("[]"))
	}))
	defer s.Close()
	r := New(Options{URL: s.URL, Client: s.Client(), Log: zerolog.Nop(), OnUpdate: func([]Instance) {}})
	for range 3 {
		if _, err := r.read(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if n != 3 || r.etag != "" {
		t.Fatalf("%d reads, tag %s", n, r.etag)
	}
}
