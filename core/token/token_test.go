package token_test

import (
	"errors"
	"strings"
	"testing"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/token"
)

var (
	oldKey = token.Key{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}
	newKey = token.Key{ID: "k2", Secret: []byte("fedcba9876543210fedcba9876543210")}
	claims = token.Claims{Session: "s", Account: "a", Version: ident.VersionRef{Model: "ipek", Version: "2.1"}, Generation: 7}
)

func signer(t testing.TB, keys ...token.Key) *token.Signer {
	t.Helper()
	s, err := token.NewSigner(keys)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a rotation of keys that invalidates tokens of running sessions, and
// against tokens of a removed key that are still valid.
func TestRotation(t *testing.T) {
	before := signer(t, oldKey).Sign(claims)
	both := signer(t, newKey, oldKey)
	for name, tok := range map[string]string{"old": before, "new": both.Sign(claims)} {
		if c, err := both.Verify(tok); err != nil || c != claims {
			t.Errorf("%s: %v, %v", name, c, err)
		}
	}
	var e *token.InvalidError
	if _, err := signer(t, newKey).Verify(before); !errors.As(err, &e) {
		t.Errorf("removed key: %v", err)
	}
}

// Guards against a token that stays valid after a change at any position.
func TestVerifyRefusesChanges(t *testing.T) {
	s := signer(t, newKey, oldKey)
	tok := s.Sign(claims)
	for i := range tok {
		for _, b := range []byte{'A', '.', 'z', '1'} {
			bad := tok[:i] + string(b) + tok[i+1:]
			if bad == tok {
				continue
			}
			if _, err := s.Verify(bad); err == nil {
				t.Errorf("accepted %q", bad)
			}
		}
	}
	for _, bad := range []string{"", "..", tok + ".", tok + "=", "k1" + tok[2:], strings.Repeat("x", token.MaxBytes+1)} {
		if _, err := s.Verify(bad); err == nil {
			t.Errorf("accepted %q", bad)
		}
	}
}

// Guards against keys that can't protect a token.
func TestNewSignerRefuses(t *testing.T) {
	for name, keys := range map[string][]token.Key{
		"none":     {},
		"weak":     {{ID: "k", Secret: []byte("short")}},
		"no id":    {{Secret: oldKey.Secret}},
		"id":       {{ID: "a.b", Secret: oldKey.Secret}},
		"repeated": {oldKey, oldKey},
	} {
		var e *token.KeyError
		if _, err := token.NewSigner(keys); !errors.As(err, &e) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against texts from callers that crash Verify, or pass it without a valid
// signature.
func FuzzVerify(f *testing.F) {
	s := signer(f, newKey, oldKey)
	f.Add(s.Sign(claims))
	f.Add("k1..")
	f.Add("k2.e30.AAAA")
	f.Fuzz(func(t *testing.T, tok string) {
		c, err := s.Verify(tok)
		if err != nil {
			return
		}
		again, err := s.Verify(s.Sign(c))
		if err != nil || again != c {
			t.Errorf("claims %+v of %q do not survive a new signature: %+v, %v", c, tok, again, err)
		}
	})
}

// Guards against claims that change between Sign and Verify.
func FuzzSign(f *testing.F) {
	s := signer(f, newKey)
	f.Add("s", "a", "ipek", "2.1", uint64(7))
	f.Add("", "a", "@", "", uint64(0))
	f.Add("\"\\\x00<&>", "ünal", "m", "v", uint64(1)<<63)
	f.Fuzz(func(t *testing.T, session, account, model, version string, g uint64) {
		c := token.Claims{
			Session:    ident.SessionID(strings.ToValidUTF8(session, "")),
			Account:    ident.AccountID(strings.ToValidUTF8(account, "")),
			Version:    ident.VersionRef{Model: ident.ModelID(strings.ToValidUTF8(model, "")), Version: ident.VersionID(strings.ToValidUTF8(version, ""))},
			Generation: ident.Generation(g),
		}
		got, err := s.Verify(s.Sign(c))
		if err == nil && got != c {
			t.Errorf("signed %+v, verified %+v", c, got)
		}
		if _, ok := ident.ParseRef(c.Version.String()); err != nil && ok == nil && c.Session != "" && c.Account != "" && len(s.Sign(c)) <= token.MaxBytes {
			t.Errorf("signed %+v: %v", c, err)
		}
	})
}
