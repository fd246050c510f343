package envdoc_test

import (
	"os"
	"testing"

	"tarragonvalve.example/core/envdoc"
)

// load returns the text of a published example document.
func load(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("../../examples/" + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against published examples that are invalid or whose documented test keys
// select no account.
func TestExamples(t *testing.T) {
	for name, key := range map[string]string{"ilmek": "key-denizli", "kootenay": "key-kaslo"} {
		t.Run(name, func(t *testing.T) {
			d, err := envdoc.Parse(load(t, name))
			if err != nil {
				t.Fatal(err)
			}
			if a, ok := d.AccountByKey(key); !ok || "key-"+string(a.ID) != key {
				t.Errorf("key %s does not select the account that it is named after", key)
			}
			if len(d.Accounts) != 10 {
				t.Errorf("%d accounts, want 10", len(d.Accounts))
			}
		})
	}
}
