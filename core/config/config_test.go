package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/config"
)

// read returns the settings of a temporary file with the given text.
func read(t *testing.T, text string, env []string, flags map[string]string) *config.File {
	t.Helper()
	p := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := config.Read(p, env, flags)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against a source being overridden by one of lower precedence.
func TestSourcePrecedence(t *testing.T) {
	f := read(t, "[table]\nregion = file\ntime-limit = 2s\nname = file\n",
		[]string{"TARRAGONVALVE_TABLE_TIME_LIMIT=3s", "TARRAGONVALVE_TABLE_NAME=env", "TARRAGONVALVE_OTHER_NAME=x"},
		map[string]string{"table.name": "flag"})
	s := f.Section("table")
	if g := s.Text("region", ""); g != "file" {
		t.Errorf("region = %q", g)
	}
	if g := s.Duration("time-limit", 0); g != 3*time.Second {
		t.Errorf("time-limit = %v", g)
	}
	if g := s.Required("name"); g != "flag" {
		t.Errorf("name = %q", g)
	}
	if g := s.Int("absent", 7); g != 7 {
		t.Errorf("absent = %d", g)
	}
	if err := f.Err(); err != nil {
		t.Error(err)
	}
}

// Guards against an error that stops at the first fault, lacks the source or line of
// a fault, or shows a secret.
func TestErrReportsAllProblems(t *testing.T) {
	f := read(t, "[listen]\ncallers = localhost:80\ndrain = soon\nextra = 1\n\n[lost]\na = b\n",
		[]string{"TARRAGONVALVE_LISTEN_COUNT=many", "TARRAGONVALVE_LISTEN_TYPO=1"},
		map[string]string{"listen.secret-key": "hidden-value", "listen.tls": "maybe", "bad": "x"})
	s := f.Section("listen")
	s.Addr("callers", "")
	s.Duration("drain", 0)
	s.Int("count", 1)
	s.Bool("tls", false)
	s.IntIn("secret-key", 0, 0, 9)
	s.Required("name")
	s.Choice("level", "info", "info", "debug")
	err := f.Err()
	var e *config.ProblemsError
	if !errors.As(err, &e) {
		t.Fatalf("error %v, want a *ProblemsError", err)
	}
	for _, w := range []string{
		`line 2: [listen] callers = "localhost:80": not an address`,
		`line 3: [listen] drain = "soon": not a duration`,
		`line 4: [listen] extra = "(not shown)": unknown key; allowed: keys callers, count, drain`,
		`line 6: [lost] unknown section; allowed: sections listen`,
		`environment variable TARRAGONVALVE_LISTEN_COUNT: [listen] count = "many"`,
		`environment variable TARRAGONVALVE_LISTEN_TYPO: [listen] unknown key`,
		`flag listen.tls: [listen] tls = "maybe": not yes or no; allowed: yes, no`,
		`[listen] name: missing`,
		`flag = "bad"`,
	} {
		if !strings.Contains(err.Error(), strings.TrimPrefix(w, "flag = ")) {
			t.Errorf("no problem %q in:\n%v", w, err)
		}
	}
	if strings.Contains(err.Error(), "hidden-value") {
		t.Errorf("the error shows a secret:\n%v", err)
	}
}

// Guards against faults of syntax that are not reported, or only one at a time.
func TestSyntaxProblems(t *testing.T) {
	f := read(t, "early = 1\n[a]\nk = 1\nk = 2\nnovalue\n[a]\nq = \"x\"\n[broken\n", nil, nil)
	var e *config.ProblemsError
	if !errors.As(f.Err(), &e) {
		t.Fatal("no *ProblemsError for invalid syntax")
	}
	if len(e.Problems) != 6 {
		t.Errorf("%d problems, want 6:\n%v", len(e.Problems), e)
	}
	for _, p := range e.Problems {
		if p.Line == 0 {
			t.Errorf("problem without a line: %v", p)
		}
	}
}
