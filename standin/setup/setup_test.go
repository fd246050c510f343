package setup_test

import (
	"os"
	"path/filepath"
	"testing"

	"tarragonvalve.example/core/config"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/standin/setup"
)

// Guards against example deployments that lack engines, plain services or versions of their
// environment document.
func TestDeploymentsMatchDocuments(t *testing.T) {
	engines := map[string]int{"ilmek": 9, "kootenay": 12}
	for name, want := range engines {
		t.Run(name, func(t *testing.T) {
			s, err := setup.Read(filepath.Join("..", "..", "scripts", "deploy", name+".ini"), nil)
			if err != nil {
				t.Fatal(err)
			}
			b, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".ini"))
			if err != nil {
				t.Fatal(err)
			}
			d, err := envdoc.Parse(b)
			if err != nil {
				t.Fatal(err)
			}
			if len(s.Engines) != want || len(s.Plains) != len(d.Services) {
				t.Errorf("the deployment has %d engines and %d plain services", len(s.Engines), len(s.Plains))
			}
			for r := range d.Versions {
				if _, ok := s.Versions[r]; !ok {
					t.Errorf("the deployment has no settings for version %s", r)
				}
			}
			for _, p := range s.Plains {
				if _, ok := d.Services[p.Service]; !ok {
					t.Errorf("service %s is not in the document", p.Service)
				}
			}
		})
	}
}

// Guards against a misspelt setting that is ignored, so that the default applies.
func TestUnknownKey(t *testing.T) {
	f := filepath.Join(t.TempDir(), "x.ini")
	if err := os.WriteFile(f, []byte("[engine e]\nslot = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := setup.Read(f, nil); !config.IsProblems(err) {
		t.Fatalf("read settings with an unknown key: got error %v, want a list of problems", err)
	}
}
