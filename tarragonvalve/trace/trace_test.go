package trace_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tarragonvalve.example/tarragonvalve/trace"
)

// Guards against a story without the lines of another router, or without what a
// router learnt of the upstream that it had chosen.
func TestStory(t *testing.T) {
	f, err := os.Open("testdata/logs.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ls, err := trace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := trace.Write(&b, trace.Story(ls, "7c1f")); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "story", b.Bytes())
	if s := trace.Story(ls, "none"); s != nil {
		t.Errorf("a request without lines has the story %v", s)
	}
}
