package plan

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// Bucket is a position in the traffic, from 0 to ident.FullShare-1, that a session
// gets by a hash.
type Bucket struct {
	// Base assigns the session to one of the versions that share a model's traffic.
	Base ident.Share
	// Rollout assigns the session to the old or the new version of a roll-out. It is
	// independent of Base.
	Rollout ident.Share
}

// BucketOf returns the bucket of an account's session, or of a single request, by its
// id. It depends on nothing else, so all entries compute the same bucket.
func BucketOf(a ident.AccountID, key string) Bucket {
	h := xxhash.New()
	_, _ = h.WriteString(string(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	base := h.Sum64()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], base)
	step := xxhash.Sum64(b[:])
	return Bucket{
		Base:    ident.Share(base % uint64(ident.FullShare)),
		Rollout: ident.Share(step % uint64(ident.FullShare)),
	}
}

// ExposureCheck reports whether a roll-out's new version may take another session; see
// steps.MayExpose.
type ExposureCheck func(r *envdoc.Rollout) bool

// ResolveVersion returns the version of a model that takes new work of a bucket: by
// shares, then by the roll-out's step, then by fallbacks until one is allowed and
// usable. A nil mayExpose allows every exposure. While a roll-out's share grows,
// buckets only move from its old to its new version. Errors are *refuse.Error.
func ResolveVersion(v *spread.View, a ident.AccountID, m ident.ModelID, p Bucket, mayExpose ExposureCheck) (ident.VersionRef, error) {
	d := v.Document()
	if d == nil {
		return ident.VersionRef{}, refuse.New(refuse.NoDocument, refuse.NotRun, "no document is in force")
	}
	c, ok := d.Models[m]
	if !ok {
		return ident.VersionRef{}, refuse.New(refuse.ModelUnknown, refuse.NotRun, "model %q does not exist", m)
	}
	// Fallbacks may lead to other models, but not from a model of which the account may
	// use no version.
	if !allowsModel(d, a, m) {
		return ident.VersionRef{}, refuse.New(refuse.ModelNotAllowed, refuse.NotRun, "account %s may use no version of model %s", a, m)
	}
	if len(c.Shares) == 0 {
		// Every version of the model is withdrawn.
		return ResolveFallback(v, a, c.Fallback)
	}
	r := ident.VersionRef{Model: m, Version: versionAt(c.Shares, p.Base)}
	if x := rolloutAt(v, r, p); x != nil {
		to := ident.VersionRef{Model: m, Version: x.To}
		if d.Allows(a, to) && v.Usable(to) && (mayExpose == nil || mayExpose(x)) {
			return to, nil
		}
	}
	return ResolveFallback(v, a, r)
}

func allowsModel(d *envdoc.Document, a ident.AccountID, m ident.ModelID) bool {
	c, ok := d.Accounts[a]
	if !ok {
		return false
	}
	for r, allowed := range c.Allowed {
		if allowed && r.Model == m {
			return true
		}
	}
	return false
}

// ResolveFallback returns r, or the first in its chain of fallbacks that the account
// is allowed to use and that is neither withdrawn nor halted. Errors are
// *refuse.Error.
func ResolveFallback(v *spread.View, a ident.AccountID, r ident.VersionRef) (ident.VersionRef, error) {
	d := v.Document()
	if d == nil {
		return r, refuse.New(refuse.NoDocument, refuse.NotRun, "no document is in force")
	}
	code := refuse.ModelNotAllowed
	seen := map[ident.VersionRef]bool{}
	for x := r; !seen[x]; {
		if d.Allows(a, x) {
			if v.Usable(x) {
				return x, nil
			}
			code = refuse.VersionWithdrawn
			if v.Halted(x) {
				code = refuse.VersionHalted
			}
		}
		seen[x] = true
		c, ok := d.Versions[x]
		if !ok {
			break
		}
		x = fallbackOf(d, c)
	}
	return r, refuse.New(code, refuse.NotRun, "version %s can't take new work and has no usable fallback", r)
}

// fallbackOf returns the version's configured fallback; without one, the old version
// when it is the new version of a roll-out, else the version itself.
func fallbackOf(d *envdoc.Document, c *envdoc.Version) ident.VersionRef {
	if c.Fallback != (ident.VersionRef{}) {
		return c.Fallback
	}
	for _, r := range d.Rollouts {
		if r.Model == c.Ref.Model && r.To == c.Ref.Version {
			return ident.VersionRef{Model: r.Model, Version: r.From}
		}
	}
	return c.Ref
}

// rolloutAt returns the roll-out from version r whose current step includes the
// bucket, nil for none.
func rolloutAt(v *spread.View, r ident.VersionRef, p Bucket) *envdoc.Rollout {
	for id, x := range v.Document().Rollouts {
		if x.Model != r.Model || x.From != r.Version {
			continue
		}
		// A roll-out at its first step is missing in Steps, which reads as 0.
		s := min(v.Steps[id], len(x.Steps)-1)
		if s >= 0 && p.Rollout < x.Steps[s] {
			return x
		}
	}
	return nil
}

// versionAt maps a bucket to a version by cumulative shares in the order of version
// ids.
func versionAt(shares map[ident.VersionID]ident.Share, p ident.Share) ident.VersionID {
	ids := make([]ident.VersionID, 0, len(shares))
	for id := range shares {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	sum := ident.Share(0)
	for _, id := range ids {
		sum += shares[id]
		if p < sum {
			return id
		}
	}
	return ids[len(ids)-1]
}
