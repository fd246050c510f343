package setup_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/agent/setup"
	"tarragonvalve.example/core/config"
)

const example = "../testdata/agent.ini"

// Guards against an example file that the program rejects, and against ignored overrides
// by the environment and flags.
func TestExample(t *testing.T) {
	s, err := setup.Read(example, []string{"TARRAGONVALVE_UPSTREAM_SLOTS=16"}, map[string]string{"stream.link-grace": "3s"})
	if err != nil {
		t.Fatal(err)
	}
	if s.Upstream.ID != "ege-a-engine-1" || s.Upstream.Slots != 16 || s.Stream.LinkGrace != 3*time.Second || s.Stream.BufferBytes != 4<<20 {
		t.Fatalf("got %+v", s)
	}
}

// Guards against accepting settings without an upstream, without encryption unless it is
// permitted, with unknown keys or with invalid values.
func TestProblems(t *testing.T) {
	b, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ from, to, key string }{
		"no upstream":       {"engine-url = http://127.0.0.1:8001", "", "engine-url"},
		"url with path":     {"http://127.0.0.1:8001", "http://127.0.0.1:8001/v1", "engine-url"},
		"service only":      {"kind = batching", "service = stock", "service"},
		"no permission":     {"allow-plaintext = yes", "", "allow-plaintext"},
		"half a key pair":   {"allow-plaintext = yes", "allow-plaintext = yes\ncert = a.pem", "cert"},
		"unknown key":       {"kind = batching", "kinds = batching", "kinds"},
		"zero slots":        {"slots = 8", "slots = 0", "slots"},
		"no interval":       {"interval = 2s", "interval = 0s", "interval"},
		"name as address":   {"admin = 127.0.0.1:0", "admin = localhost:0", "admin"},
		"no table endpoint": {"endpoint = http://127.0.0.1:8000", "", "endpoint"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "agent.ini")
			if err := os.WriteFile(path, []byte(strings.Replace(string(b), c.from, c.to, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := setup.Read(path, nil, nil)
			var p *config.ProblemsError
			if !errors.As(err, &p) || p.Problems[0].Key != c.key {
				t.Fatalf("got %v, want the first problem with key %s", err, c.key)
			}
		})
	}
}
