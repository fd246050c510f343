package calls

import (
	"crypto/sha256"
	"encoding/hex"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/wire"
)

// digest returns the digest of a call. Entries compute the same one, since the
// claim of a key holds it.
func digest(q *wire.CallRequest) claim.BodyDigest {
	h := sha256.New()
	_, _ = h.Write([]byte(q.GetMethod() + "\n" + q.GetPath() + "\n"))
	_, _ = h.Write(q.GetBody())
	return claim.BodyDigest(hex.EncodeToString(h.Sum(nil)))
}
