package verbs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/tarragonvalve/check"
)

// example returns the text of a published example.
func example(t testing.TB, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// write writes a file of the test and returns its path.
func write(t testing.TB, name, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// noAPI is an address at which nothing answers, since a check needs no entry.
const noAPI = "http://127.0.0.1:1"

// Guards against findings on the published examples, against a check that needs an entry,
// and against unintended changes of the output from the file to the exit code.
func TestCheckExamples(t *testing.T) {
	for _, name := range []string{"ilmek.ini", "kootenay.ini", "routing.json"} {
		if r := run(t, noAPI, "check", filepath.Join("..", "..", "examples", name)); r.code != exitOK || r.errs != "" {
			t.Errorf("%s: exit code %d: %s%s", name, r.code, r.out, r.errs)
		}
	}
}

// changed are examples with a change, a warning and an error each.
func changed(t *testing.T, name string) string {
	pairs := map[string][]string{
		"kootenay.ini": {"shares = 2.3:95.5, 2.2:4.5", "shares = 2.3:80, 2.2:20", "[end]", "[service lathes]\ncalls = GET /lathes repeatable\n\n[end]"},
		"routing.json": {`"weight": 90`, `"weight": 30`, `"prefix": "/slots/"`, `"prefix": "/days/"`},
	}
	s := strings.NewReplacer(pairs[name]...).Replace(example(t, name))
	if s == example(t, name) {
		t.Fatalf("example %s is not changed", name)
	}
	return s
}

// Guards against a changed demonstration document whose findings or exit code differ from
// the golden files.
func TestCheckOutput(t *testing.T) {
	for _, name := range []string{"kootenay.ini", "routing.json"} {
		before := filepath.Join("..", "..", "examples", name)
		for kind, flags := range map[string][]string{"text": nil, "json": {"--output", "json"}} {
			t.Run(name+"-"+kind, func(t *testing.T) {
				f := write(t, name, changed(t, name))
				r := run(t, noAPI, append([]string{"check", f, "--against", before}, flags...)...)
				if r.code != exitRefused || r.errs != "" {
					t.Fatalf("exit code %d: %s", r.code, r.errs)
				}
				out := strings.ReplaceAll(r.out, filepath.Dir(f)+string(filepath.Separator), "")
				goldie.New(t).Assert(t, "check-"+name+"-"+kind, []byte(out))
			})
		}
	}
}

// Guards against an exit code that doesn't tell findings from differences and from a check
// that could not run.
func TestCheckExitCodes(t *testing.T) {
	ini, routing := filepath.Join("..", "..", "examples", "kootenay.ini"), filepath.Join("..", "..", "examples", "routing.json")
	fewer := strings.Replace(example(t, "kootenay.ini"), "weight = 8", "weight = 7", 1)
	for name, c := range map[string]struct {
		argv []string
		code int
	}{
		"differences alone":   {[]string{write(t, "a.ini", fewer), "--against", ini}, exitOK},
		"no difference":       {[]string{routing, "--against", routing}, exitOK},
		"invalid":             {[]string{write(t, "b.ini", "[environment]\n")}, exitRefused},
		"empty":               {[]string{write(t, "c.ini", "")}, exitRefused},
		"invalid JSON":        {[]string{write(t, "d.json", "{")}, exitRefused},
		"standard input":      {[]string{"-"}, exitRefused},
		"missing file":        {[]string{filepath.Join("no", "such", "file")}, exitUsage},
		"folder":              {[]string{t.TempDir()}, exitUsage},
		"too long":            {[]string{write(t, "e.json", "{"+strings.Repeat(" ", maxConfigBytes)+"}")}, exitUsage},
		"no file":             {nil, exitUsage},
		"bad output":          {[]string{ini, "--output", "yaml"}, exitUsage},
		"both standard input": {[]string{"-", "--against", "-"}, exitUsage},
		"missing against":     {[]string{ini, "--against", filepath.Join("no", "such", "file")}, exitUsage},
		"invalid against":     {[]string{ini, "--against", write(t, "f.ini", "[end]\n")}, exitUsage},
		"other form":          {[]string{ini, "--against", routing}, exitUsage},
		"unreachable entry":   {[]string{ini, "--against", refusingAddress(t)}, exitUsage},
		"unreachable store":   {[]string{routing, "--against", refusingAddress(t)}, exitUsage},
		"store with a path":   {[]string{routing, "--against", noAPI + "/rows"}, exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, noAPI, append([]string{"check"}, c.argv...)...)
			if r.code != c.code || (r.code == exitUsage) != (r.errs != "") {
				t.Errorf("exit code %d, want %d: %s%s", r.code, c.code, r.out, r.errs)
			}
		})
	}
}

// Guards against a document in force that is read from another place than the entry, or
// without its latest generation.
func TestCheckAgainstEntry(t *testing.T) {
	a := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch strings.TrimPrefix(r.URL.Path, opsapi.BasePath) {
		case "/document":
			_ = json.NewEncoder(w).Encode(opsapi.DocumentReply{Generation: generation(0, "ada", "first"), Body: example(t, "kootenay.ini")})
		case "/status":
			_ = json.NewEncoder(w).Encode(opsapi.StatusReply{Latest: 9})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	for cleared, code := range map[int]int{9: exitOK, 10: exitRefused} {
		f := write(t, "next.ini", strings.Replace(example(t, "kootenay.ini"), "[version selkirk@4.0]", fmt.Sprintf("[version selkirk@4.0]\nhalts-cleared-at = %d", cleared), 1))
		r := run(t, noAPI, "check", f, "--against", a)
		if r.code != code || !strings.Contains(r.out, "[halts-cleared]") {
			t.Errorf("halts cleared at %d: exit code %d, want %d: %s%s", cleared, r.code, code, r.out, r.errs)
		}
	}
}

// Guards against a configuration in force that is read from another row, and against a store
// without one that is taken for an empty configuration.
func TestCheckAgainstStore(t *testing.T) {
	data := []byte(example(t, "routing.json"))
	row := func(key string) map[string]any {
		return map[string]any{"rows": []map[string]any{{"table_name": "op", "key": key, "data": data, "row_version": 3}}}
	}
	for name, c := range map[string]struct {
		reply map[string]any
		code  int
	}{"configuration": {row("config"), exitRefused}, "other row": {row("rollout/schedule"), exitUsage}, "no rows": {map[string]any{}, exitUsage}} {
		t.Run(name, func(t *testing.T) {
			a := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if q := r.URL.Query(); r.Header.Get("Authorization") != "" || q.Get("table_name") != "op" || q.Get("source") >= "config" {
					t.Errorf("asked for %s", r.URL)
				}
				_ = json.NewEncoder(w).Encode(c.reply)
			})
			r := run(t, noAPI, "check", write(t, "next.json", changed(t, "routing.json")), "--against", a)
			if r.code != c.code || (c.code == exitRefused) != strings.Contains(r.out, "[stale-version]") {
				t.Errorf("exit code %d: %s%s", r.code, r.out, r.errs)
			}
		})
	}
}

const (
	// maxCheckBytes bounds what a check of the longest text may allocate, in bytes, so that it
	// runs on an operator's machine beside other work.
	maxCheckBytes = 1 << 30
	// fixedBytes is the part of it that doesn't depend on the text, in bytes.
	fixedBytes = 8 << 20
)

// maxAllocated returns what a check of n bytes may allocate, in bytes.
func maxAllocated(n int) uint64 {
	return uint64(fixedBytes + (maxCheckBytes-fixedBytes)/maxConfigBytes*n)
}

// checkText checks a text, compared with the example of its form, and returns the report and
// the bytes allocated. Other goroutines must not allocate meanwhile.
func checkText(t *testing.T, b []byte, before check.Config) (*check.Report, uint64) {
	t.Helper()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	c, r := decodeConfig("f", b)
	if r == nil {
		var against check.Config
		if isRouting(b) {
			against = before
		}
		var err error
		if r, err = check.Run(c, against); err != nil {
			t.Fatal(err)
		}
	} else if r.Errors == 0 {
		t.Error("refused without an error")
	}
	runtime.ReadMemStats(&m1)
	return r, m1.TotalAlloc - m0.TotalAlloc
}

// Guards against memory that grows faster than the text, with the longest texts of the
// smallest entries.
func TestCheckMemory(t *testing.T) {
	before, _ := decodeConfig("before", []byte(example(t, "routing.json")))
	fill := func(head, entry, tail string) string {
		return head + strings.Repeat(entry, (maxConfigBytes-len(head)-len(tail))/len(entry)) + tail
	}
	for name, text := range map[string]string{
		"routes":   fill(`{"version":8,"routes":[`, "{},", "{}]}"),
		"services": fill(`{"version":8,"services":[`, "{},", "{}]}"),
		"accounts": fill(`{"version":8,"tenants":[`, "{},", "{}]}"),
		"keys":     fill(`{"version":8,"tenants":[{"api_keys":[`, `"",`, `""]}]}`),
		"members":  fill("{", `"a":0,`, `"b":0}`),
		"nested":   fill("{", "[", ""),
		"lines":    fill("{", "\n", "}"),
		"sections": fill("", "[a]\n", ""),
		"text":     fill("", "\x00", ""),
	} {
		t.Run(name, func(t *testing.T) {
			r, used := checkText(t, []byte(text), before)
			if used > maxCheckBytes {
				t.Errorf("%d bytes allocated, want at most %d", used, maxCheckBytes)
			}
			if len(r.Findings) > check.MaxFindings {
				t.Errorf("%d findings", len(r.Findings))
			}
		})
	}
}

// Guards against a panic, a finding outside of the text, a report beyond its bound, and
// memory without a bound, on any input.
func FuzzCheck(f *testing.F) {
	for _, name := range []string{"ilmek.ini", "kootenay.ini", "routing.json"} {
		f.Add([]byte(example(f, name)))
	}
	for _, s := range []string{
		"", "{", "{}", "{\n", `{"routes":null,"tenants":null}`, `{"routes":[{}],"Routes":[{},{}]}`, `{"services":[{"name":"s"}],"services":{}}`,
		`{"tenants":[{"api_keys":[1]}]}`, `{"version":1e400}`, `{"version":-1}`, `{"limits":[]}`, "{\"routes\":[\n{\"attempts\":1.5}]}",
		"[environment]\nname = x\n[end]\n", "[end]", strings.Repeat(`{"routes":[`, 50), `{"routes":[` + strings.Repeat("{},", 400) + `{}]}`,
	} {
		f.Add([]byte(s))
	}
	before, _ := decodeConfig("before", []byte(example(f, "routing.json")))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, used := checkText(t, b, before)
		if most := maxAllocated(len(b)); used > most {
			t.Errorf("%d bytes allocated for %d, want at most %d", used, len(b), most)
		}
		if len(r.Findings) > check.MaxFindings {
			t.Errorf("%d findings", len(r.Findings))
		}
		lines := bytes.Count(b, []byte("\n")) + 1
		for _, x := range r.Findings {
			if x.Line < 1 || x.File == "f" && x.Line > lines {
				t.Errorf("the finding is outside of the %d lines: %s", lines, x)
			}
		}
	})
}
