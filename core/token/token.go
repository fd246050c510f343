// Package token signs and verifies session tokens. A token pins a session of a
// client account to a version; the caller keeps it and sends it back.
package token

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"

	"tarragonvalve.example/core/ident"
)

// MinSecretBytes is the shortest secret of a key.
const MinSecretBytes = 16

// MaxBytes is the longest token that is looked at.
const MaxBytes = 2048

// Key is a signing key.
type Key struct {
	// ID is sent in each token, in letters, digits, "-" and "_".
	ID     string
	Secret []byte
}

// Claims is what a token says.
type Claims struct {
	Session    ident.SessionID  `json:"session"`
	Account    ident.AccountID  `json:"account"`
	Version    ident.VersionRef `json:"-"`
	Generation ident.Generation `json:"generation"`
}

type payload struct {
	Claims
	Version string `json:"version"`
}

// KeyError reports keys that can't be used.
type KeyError struct {
	ID     string
	Reason string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("use signing key %q: %s", e.ID, e.Reason)
}

// InvalidError reports a token that no known key signed or that is damaged.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string {
	return "verify session token: " + e.Reason
}

// Signer signs with its first key and verifies with all. It is safe for concurrent use.
type Signer struct {
	first Key
	keys  map[string]Key
}

// encoding is strict, so that no token has a second form.
var encoding = base64.RawURLEncoding.Strict()

// NewSigner returns a signer. It returns a *KeyError for a missing, repeated or weak key.
func NewSigner(keys []Key) (*Signer, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Reason: "no key given"}
	}
	s := &Signer{first: keys[0], keys: make(map[string]Key, len(keys))}
	for _, k := range keys {
		_, dup := s.keys[k.ID]
		switch {
		case !validID(k.ID):
			return nil, &KeyError{ID: k.ID, Reason: "id needs 1 to 32 letters, digits, - or _"}
		case dup:
			return nil, &KeyError{ID: k.ID, Reason: "id is used twice"}
		case len(k.Secret) < MinSecretBytes:
			return nil, &KeyError{ID: k.ID, Reason: fmt.Sprintf("secret has %d bytes, want at least %d", len(k.Secret), MinSecretBytes)}
		}
		s.keys[k.ID] = k
	}
	return s, nil
}

// Sign returns the token KEY-ID.CLAIMS.MAC.
func (s *Signer) Sign(c Claims) string {
	// The payload holds only texts and a number, which always encode.
	b, _ := json.Marshal(payload{Claims: c, Version: c.Version.String()})
	t := s.first.ID + "." + encoding.EncodeToString(b)
	return t + "." + encoding.EncodeToString(mac(s.first, t))
}

// Verify returns the claims of a token that one of the keys signed. It returns an
// *InvalidError for any other text.
func (s *Signer) Verify(t string) (Claims, error) {
	if len(t) > MaxBytes {
		return Claims{}, &InvalidError{Reason: "too long"}
	}
	parts := strings.Split(t, ".")
	if len(parts) != 3 {
		return Claims{}, &InvalidError{Reason: "want three parts"}
	}
	k, ok := s.keys[parts[0]]
	if !ok {
		return Claims{}, &InvalidError{Reason: "unknown key"}
	}
	got, err := encoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(got, mac(k, parts[0]+"."+parts[1])) {
		return Claims{}, &InvalidError{Reason: "wrong signature"}
	}
	b, err := encoding.DecodeString(parts[1])
	if err != nil {
		return Claims{}, &InvalidError{Reason: "damaged claims"}
	}
	return parse(b)
}

func parse(b []byte) (Claims, error) {
	var p payload
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Claims{}, &InvalidError{Reason: "damaged claims"}
	}
	v, err := ident.ParseRef(p.Version)
	if err != nil || p.Session == "" || p.Account == "" {
		return Claims{}, &InvalidError{Reason: "incomplete claims"}
	}
	p.Claims.Version = v
	return p.Claims, nil
}

func mac(k Key, t string) []byte {
	m := hmac.New(sha256.New, k.Secret)
	m.Write([]byte(t))
	return m.Sum(nil)
}

func validID(s string) bool {
	if s == "" || len(s) > 32 {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
}
