// Package token signs and verifies session tokens. A token binds a session of a client
// account to a version; the caller keeps it and sends it back with later requests.
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

// MinSecretBytes is the least length of a key's secret.
const MinSecretBytes = 16

// MaxBytes is the greatest length of a token. Verify rejects a longer text without
// decoding it.
const MaxBytes = 2048

// Key is a signing key. A token names the key that signed it by its ID.
type Key struct {
	// ID is sent in clear in each token. It has 1 to 32 letters, digits, "-" and "_".
	ID     string
	Secret []byte
}

// Claims is the content of a token. Generation is that of the environment document.
type Claims struct {
	Session    ident.SessionID  `json:"session"`
	Account    ident.AccountID  `json:"account"`
	Version    ident.VersionRef `json:"-"`
	Generation ident.Generation `json:"generation"`
}

// payload is the JSON form of the claims, with the version as MODEL@VERSION.
type payload struct {
	Claims
	Version string `json:"version"`
}

// KeyError reports a key that can't be used for signing.
type KeyError struct {
	ID     string
	Reason string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("use signing key %q: %s", e.ID, e.Reason)
}

// InvalidError reports a token that is damaged or that none of the signer's keys
// signed.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string {
	return "verify session token: " + e.Reason
}

// Signer signs tokens with its first key and verifies tokens of all its keys. It is
// safe for concurrent use.
type Signer struct {
	signing Key
	keys    map[string]Key
}

// encoding is strict, so that no token has a second valid form.
var encoding = base64.RawURLEncoding.Strict()

// NewSigner returns a signer that signs with the first key. It returns a *KeyError when
// there is no key, or for a key with an invalid or repeated id or a short secret.
func NewSigner(keys []Key) (*Signer, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Reason: "no key given"}
	}
	s := &Signer{signing: keys[0], keys: make(map[string]Key, len(keys))}
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

// Sign returns the token KEY-ID.CLAIMS.MAC for claims. CLAIMS and MAC are in unpadded
// URL-safe base64.
func (s *Signer) Sign(c Claims) string {
	// The payload holds only strings and a number, so it can always be encoded.
	b, _ := json.Marshal(payload{Claims: c, Version: c.Version.String()})
	t := s.signing.ID + "." + encoding.EncodeToString(b)
	return t + "." + encoding.EncodeToString(mac(s.signing, t))
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
	return parseClaims(b)
}

// parseClaims decodes the claims of a token with a valid signature. It returns an
// *InvalidError when they are damaged or lack the session, the account or the version.
func parseClaims(b []byte) (Claims, error) {
	var p payload
	d := json.NewDecoder(bytes.NewReader(b)) //nolint:forbidigo // in memory
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

// mac returns the HMAC-SHA-256 of t with the key's secret.
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
