package scene

import (
	"os"
	"path/filepath"
	"testing"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/standin/setup"
)

// Guards against experiments whose edited documents or settings are invalid, which would
// otherwise fail only when the processes start.
func TestScenesHaveValidSettings(t *testing.T) {
	for _, s := range All {
		t.Run(s.Name, func(t *testing.T) {
			d, err := os.ReadFile(filepath.Join("..", "..", "examples", s.Deployment+".ini"))
			if err != nil {
				t.Fatal(err)
			}
			x, err := envdoc.Parse([]byte(s.EditDocument(string(d))))
			if err != nil {
				t.Error(err)
			}
			if s.BadVersion.Model != "" && len(x.Rollouts) == 0 {
				t.Error("no roll-out of the version that turns bad")
			}
			b, err := os.ReadFile(filepath.Join("..", "..", "scripts", "deploy", s.Deployment+".ini"))
			if err != nil {
				t.Fatal(err)
			}
			f := filepath.Join(t.TempDir(), "s.ini")
			if err := os.WriteFile(f, []byte(s.StandinText(string(b))), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := setup.Read(f, nil); err != nil {
				t.Error(err)
			}
			for _, v := range s.Variants {
				if _, ok := PolicyByName(v.Policy); !ok {
					t.Errorf("no policy %q", v.Policy)
				}
			}
		})
	}
}
