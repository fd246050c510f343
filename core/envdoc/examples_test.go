package envdoc_test

import (
	"os"
	"testing"

	"tarragonvalve.example/core/envdoc"
)

func load(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("../../examples/" + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against published examples that the program refuses or whose
// documented test keys don't work.
func TestExamples(t *testing.T) {
	for name, key := range map[string]string{"ilmek": "key-denizli", "kootenay": "key-kaslo"} {
		t.Run(name, func(t *testing.T) {
			d, err := envdoc.Parse(load(t, name))
			if err != nil {
				t.Fatal(err)
			}
			if a, ok := d.AccountByKey(key); !ok || "key-"+string(a.ID) != key {
				t.Errorf("key %s selects no account of its name", key)
			}
			if len(d.Accounts) != 10 {
				t.Errorf("%d accounts, want 10", len(d.Accounts))
			}
		})
	}
}
