package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
)

// Dispatch describes a call that is claimed just before it is sent.
type Dispatch struct {
	// Expect is the revision that the claim's row must have; 0 means that there must be
	// no row.
	Expect   ident.Revision
	Digest   CallDigest
	Request  ident.RequestID
	Upstream ident.UpstreamID
	// At is the time of the dispatch.
	At time.Time
	// Token identifies the attempt. Two calls of Store.Dispatch never share a claim,
	// even with the same token.
	Token table.WriteToken
}

// NotRunMark describes a call that is marked not-run, so that a dispatch that expects
// the same revision fails.
type NotRunMark struct {
	Expect  ident.Revision
	Digest  CallDigest
	Request ident.RequestID
}

// ConflictError reports that another write changed the claim first.
type ConflictError struct {
	// Claim is the claim that the table holds.
	Claim *Claim
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("write claim of service %s for account %s: claim is %s at revision %d",
		e.Claim.Key.Service, e.Claim.Key.Account, e.Claim.State, e.Claim.Revision)
}

// DigestOf returns the digest of a call, which distinguishes a repeat of the call from
// another call with the same key. The path includes the query.
func DigestOf(method, path string, body []byte) CallDigest {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + path + "\n"))
	_, _ = h.Write(body)
	return CallDigest(hex.EncodeToString(h.Sum(nil)))
}

// Hash returns the SHA-256 of the key's parts in lower-case hex. Each part follows its
// length, so that different keys never give the same input. Row keys and request ids
// contain the hash, since the caller's key may have any length and content.
func (k Key) Hash() string {
	h := sha256.New()
	for _, s := range []string{string(k.Account), string(k.Service), k.Idempotency} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// RequestID returns the request id that all calls with this key share, so that repeats
// of a call are billed once.
func (k Key) RequestID() ident.RequestID {
	return ident.RequestID("key-" + k.Hash()[:32])
}

// row returns the key of the claim's row.
func (k Key) row() table.Key {
	return table.Key{Partition: fmt.Sprintf("claim/%s/%s/%s", k.Account, k.Service, k.Hash()), Sort: "claim"}
}

// checkReplaceable returns an error unless a write that expects a revision may replace
// c, which is nil for a key without a claim. A row with a given revision never changes,
// so the check still holds when the conditional write takes effect.
func checkReplaceable(c *Claim, k Key, expect ident.Revision, digest CallDigest) error {
	switch {
	case c == nil && expect == 0:
		return nil
	case c == nil:
		return refuse.New(refuse.ClaimFenced, refuse.NotRun,
			"write claim of service %s: no claim, expected revision %d", k.Service, expect)
	case c.Digest != digest:
		return keyReused(k)
	case c.Revision != expect || c.State != StateNotRun:
		return &ConflictError{Claim: c}
	}
	return nil
}

func keyReused(k Key) error {
	return refuse.New(refuse.KeyReused, refuse.NotRun,
		"claim call of service %s: the key was used with another body", k.Service)
}

func encode(c *Claim) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, oops.In("claim").Wrapf(err, "encode claim of service %s", c.Key.Service)
	}
	return b, nil
}

func decode(k Key, r table.Row) (*Claim, error) {
	var c Claim
	if err := json.Unmarshal(r.Body, &c); err != nil {
		return nil, oops.In("claim").Wrapf(err, "decode claim of service %s", k.Service)
	}
	c.Key = k
	c.Revision = r.Revision
	return &c, nil
}

// dropLargeBody returns the result without its body if the body exceeds MaxResultBytes.
func dropLargeBody(r Result) Result {
	if len(r.Body) > MaxResultBytes {
		r.Body = nil
		r.Truncated = true
	}
	return r
}
