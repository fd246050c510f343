package envdoc_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// propertySeed is the default seed of property tests, so that each run checks the same cases.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", propertySeed)
	}
	fmt.Println("property seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// edit returns an example document in which the first match of each pair's first text
// is replaced by its second one.
func edit(t testing.TB, name string, pairs ...string) []byte {
	t.Helper()
	s := string(load(t, name))
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(s, pairs[i]) {
			t.Fatalf("example %s lacks %q", name, pairs[i])
		}
		s = strings.Replace(s, pairs[i], pairs[i+1], 1)
	}
	return []byte(s)
}

func parse(t testing.TB, b []byte) *envdoc.Document {
	t.Helper()
	d, err := envdoc.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against invalid documents being accepted, or refused without the line of
// the fault and the allowed values. The golden files hold the expected messages.
func TestProblems(t *testing.T) {
	all := func(s string) []byte { return []byte(s) }
	for name, b := range map[string][]byte{
		"unknown-section":    edit(t, "ilmek", "[service stock]", "[servce stock]"),
		"unknown-key":        edit(t, "ilmek", "weight = 8", "wieght = 8"),
		"duplicate-section":  edit(t, "ilmek", "[account bursa]", "[account denizli]"),
		"share-sum":          edit(t, "ilmek", "1.4:90, 1.5:10", "1.4:90, 1.5:10.01"),
		"share-decimals":     edit(t, "ilmek", "1.4:90, 1.5:10", "1.4:89.999, 1.5:10.001"),
		"withdrawn-share":    edit(t, "ilmek", "[version pamuk@1.5]", "[version pamuk@1.5]\nstate = withdrawn"),
		"no-usable-version":  edit(t, "ilmek", "allowed = ipek@2.1, ipek@2.2\n", "allowed = keten@2.9\n"),
		"fallback-cycle":     edit(t, "ilmek", "quality-prior = 0.74", "fallback = pamuk@1.5"),
		"escalation-cycle":   edit(t, "ilmek", "shares = 2.1:100", "shares = 2.1:100\nescalate = keten"),
		"self-fallback":      edit(t, "ilmek", "fallback = keten@3.0\n\n[version pamuk@1.5]", "fallback = pamuk@1.4\n\n[version pamuk@1.5]"),
		"missing-references": edit(t, "ilmek", "fallback = pamuk@1.4", "fallback = pamuk@9", "services = orders, stock,", "services = orders, stok,", "escalate = ipek", "escalate = ipke", "to = 2.2", "to = 9.9", "keten@2.9\n", "keten@7\n"),
		"steps-falling":      edit(t, "ilmek", "1, 5, 25, 100", "1, 25, 5, 100"),
		"withdrawn-rollout":  edit(t, "ilmek", "[version ipek@2.2]", "[version ipek@2.2]\nstate = withdrawn"),
		"hedge-once":         edit(t, "ilmek", "POST /runs not-repeatable,", "POST /runs not-repeatable hedge,"),
		"shadowed-rule":      edit(t, "ilmek", "GET /caps repeatable hedge", "GET /threads/7 not-repeatable"),
		"same-key":           edit(t, "ilmek", "5a801fea9548b0a32a077d8e28508ad1a05cc767d0c707434525b859ab0ec812", "71804e2875c4a1b691e1002d38d3e723f2d3b4c26fd3346db2b943a196c21fe8"),
		"no-end":             edit(t, "ilmek", "[end]\n", ""),
		"truncated-key":      load(t, "ilmek")[:1207],
		"binary":             append(load(t, "ilmek"), 0xff, 0x00),
		"control":            append(load(t, "ilmek"), 0x00),
		"oversized":          all(string(load(t, "ilmek")) + strings.Repeat("#\n", envdoc.MaxBytes/2)),
		"empty":              nil,
		"syntax":             all("x = 1\n[environment\nname\n[a b]\nK = 1\n"),
		"out-of-range":       edit(t, "ilmek", "weight = 8", "weight = 0", "quality-target = 0.9", "quality-target = NaN", "step-time = 10m", "step-time = -1s", "false-alarm-rate = 0.01", "false-alarm-rate = 1"),
		"many-parts":         edit(t, "ilmek", "shares = 2.1:100", "shares = "+strings.Repeat("2.1:100, ", 3)+"x"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := envdoc.Parse(b)
			var e *envdoc.ProblemsError
			if !errors.As(err, &e) {
				t.Fatalf("error %v, want a *ProblemsError", err)
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// Guards against changes that are missed or described differently from the golden file.
func TestDiff(t *testing.T) {
	b := parse(t, load(t, "ilmek"))
	a := parse(t, edit(t, "ilmek", "1.4:90, 1.5:10", "1.4:74.75, 1.5:25.25", "weight = 8", "weight = 9",
		"services = stock, run-status", "services = stock", "cancel-running = yes", "cancel-running = no",
		"[upstream-kind plain-engine]", "[upstream-kind other-engine]", "steps = 1, 5, 25, 100", "steps = 0.5, 100",
		"DELETE /runs not-repeatable, ", "", "# The best", "# The very best"))
	var out strings.Builder
	for _, c := range envdoc.Diff(b, a) {
		fmt.Fprintln(&out, c)
	}
	goldie.New(t).Assert(t, "diff", []byte(out.String()))
	if c := envdoc.Diff(b, b); len(c) != 0 {
		t.Errorf("a document differs from itself: %v", c)
	}
	if c := envdoc.Diff(nil, b); len(c) == 0 {
		t.Error("no changes from a nil document to a full one")
	}
}

// Guards against a withdrawal that leaves an invalid document or one in which the
// version still has a share of new sessions.
func TestWithdraw(t *testing.T) {
	for _, n := range []string{"ilmek", "kootenay"} {
		d := parse(t, load(t, n))
		for _, r := range d.VersionRefs() {
			b, actions, err := envdoc.Withdraw(d, r)
			if d.Withdrawn(r) {
				if err == nil {
					t.Errorf("%s: withdrawn a second time, want an error", r)
				}
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			w := parse(t, b)
			if !w.Withdrawn(r) || w.Models[r.Model].Shares[r.Version] != 0 {
				t.Errorf("%s is still in use after %v", r, actions)
			}
		}
	}
	d := parse(t, load(t, "ilmek"))
	b, actions, err := envdoc.Withdraw(d, ident.VersionRef{Model: "ipek", Version: "2.1"})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintln(&out, strings.Join(actions, "\n"))
	for _, c := range envdoc.Diff(d, parse(t, b)) {
		fmt.Fprintln(&out, c)
	}
	goldie.New(t).Assert(t, "withdraw", []byte(out.String()))
}

// Guards against a truncated document being accepted as a smaller one.
func TestTruncationIsRefused(t *testing.T) {
	b := load(t, "kootenay")
	whole := len(strings.TrimRight(string(b), "\n"))
	for i := range whole {
		if _, err := envdoc.Parse(b[:i]); err == nil {
			t.Fatalf("accepted %d of %d bytes", i, len(b))
		}
	}
}

// Guards against shares that no longer sum to 100 percent after a withdrawal.
func TestWithdrawShares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(r, "versions")
		left := ident.FullShare
		var shares, versions, allowed []string
		for i := range n {
			s := ident.Share(rapid.IntRange(1, int(left)-(n-i-1)).Draw(r, "share"))
			if i == n-1 {
				s = left
			}
			left -= s
			shares = append(shares, fmt.Sprintf("v%d:%s", i, envdoc.FormatShare(s)))
			versions = append(versions, fmt.Sprintf("[version m@v%d]\ninput-price-micro-cents = 1\noutput-price-micro-cents = 1\n", i))
			allowed = append(allowed, fmt.Sprintf("m@v%d", i))
		}
		text := "[environment]\nname = x\n[account a]\nkey-digests = " + string(envdoc.KeyDigestOf("key-a")) + "\nallowed = " + strings.Join(allowed, ", ") +
			"\n[model m]\nshares = " + strings.Join(shares, ", ") + "\n" + strings.Join(versions, "") + "[end]\n"
		d, err := envdoc.Parse([]byte(text))
		if err != nil {
			r.Fatal(err)
		}
		b, _, err := envdoc.Withdraw(d, ident.VersionRef{Model: "m", Version: ident.VersionID(fmt.Sprintf("v%d", rapid.IntRange(0, n-1).Draw(r, "withdrawn")))})
		if err != nil {
			r.Fatal(err)
		}
		if _, err := envdoc.Parse(b); err != nil {
			r.Fatal(err)
		}
	})
}

// Guards against a panic, an accepted document that violates the rules of shares, or
// an error without problems, on any input.
func FuzzParse(f *testing.F) {
	f.Add(load(f, "ilmek"))
	f.Add(load(f, "kootenay"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := envdoc.Parse(b)
		if err != nil {
			var e *envdoc.ProblemsError
			if !errors.As(err, &e) || len(e.Problems) == 0 {
				t.Fatalf("error %v, want a *ProblemsError with problems", err)
			}
			return
		}
		for id, m := range d.Models {
			var sum ident.Share
			for v, s := range m.Shares {
				sum += s
				if d.Withdrawn(ident.VersionRef{Model: id, Version: v}) {
					t.Fatalf("withdrawn version %s has a share", v)
				}
			}
			if sum != ident.FullShare && len(m.Shares) > 0 {
				t.Fatalf("shares of %s sum to %d", id, sum)
			}
		}
		if c := envdoc.Diff(d, d); len(c) > 0 {
			t.Fatalf("the document differs from itself: %v", c)
		}
	})
}

// Guards against a call that matches the rule of another path or method.
func TestRule(t *testing.T) {
	s := parse(t, load(t, "ilmek")).Services["orders"]
	for path, want := range map[string]bool{"/runs": true, "/runs/7": true, "/runsheet": false, "/": false, "": false} {
		if _, ok := s.Rule("POST", path); ok != want {
			t.Errorf("POST %q matches a rule: %v, want %v", path, ok, want)
		}
	}
	if _, ok := s.Rule("PUT", "/runs"); ok {
		t.Error("PUT matches a rule")
	}
}

var keyDigestPattern = regexp.MustCompile(`(?m)^key-digests = (.*)$`)

// Guards against a message that shows a key digest, which allows a brute-force search
// for the key.
func TestProblemsShowNoKeyDigest(t *testing.T) {
	b := load(t, "ilmek")
	k := keyDigestPattern.FindSubmatch(b)[1]
	_, err := envdoc.Parse([]byte(strings.Replace(string(b), string(k), string(k)+"0", 1)))
	if err == nil || strings.Contains(err.Error(), string(k)) {
		t.Errorf("error %v, want one without the key digest", err)
	}
}
