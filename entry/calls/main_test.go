package calls

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
