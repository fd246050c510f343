package proof_test

import (
	"os"
	"testing"

	"tarragonvalve.example/proof/proc"
)

func TestMain(m *testing.M) {
	os.Exit(proc.Main(m, "standin", "entry", "agent"))
}
