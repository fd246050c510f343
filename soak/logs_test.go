package soak

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// outputsOf returns what gets the output of a router: its log, watch unless that is nil, and a file in the directory that
// SOAK_LOGS names, if it does. The log keeps only the end, which doesn't show why a decision was made earlier.
func outputsOf(t *testing.T, r *router, watch io.Writer) []io.Writer {
	t.Helper()
	out := []io.Writer{r.log}
	if watch != nil {
		out = append(out, watch)
	}
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return out
	}
	f, err := os.Create(filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-")+"-"+r.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Errorf("close the log file of %s: %v", r.name, err)
		}
	})
	return append(out, f)
}
