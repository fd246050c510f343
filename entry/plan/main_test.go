package plan_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run checks the same
// cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
