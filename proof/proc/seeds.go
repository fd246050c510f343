package proc

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// Seeds returns the seeds that an environment variable names as FIRST-LAST or a single number, and standard if it is
// not set. It fails the test if the variable names none.
func Seeds(t *testing.T, variable string, standard ...uint64) []uint64 {
	t.Helper()
	s := os.Getenv(variable)
	if s == "" {
		return standard
	}
	a, b, ok := strings.Cut(s, "-")
	first, err := strconv.ParseUint(a, 10, 32)
	last := first
	if ok && err == nil {
		last, err = strconv.ParseUint(b, 10, 32)
	}
	if err != nil {
		t.Fatalf("%s %q: want FIRST-LAST", variable, s)
	}
	var out []uint64
	for i := first; i <= last; i++ {
		out = append(out, i)
	}
	return out
}
