package trace_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tarragonvalve.example/tarragonvalve/trace"
)

// Guards against missing lines of a request at another router, and missing lines of a
// router about the upstream that it had chosen.
func TestForRequest(t *testing.T) {
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
	if err := trace.Write(&b, trace.ForRequest(ls, "7c1f")); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "story", b.Bytes())
	if s := trace.ForRequest(ls, "none"); s != nil {
		t.Errorf("lines %v for a request that no line names, want none", s)
	}
}
