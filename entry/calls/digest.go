package calls

import (
	"crypto/sha256"
	"encoding/hex"

	"tarragonvalve.example/core/claim"
)

// digest returns the digest of a call as the agent computes it for the claim.
func digest(j *job) claim.BodyDigest {
	h := sha256.New()
	_, _ = h.Write([]byte(j.Method + "\n" + j.Target + "\n"))
	_, _ = h.Write(j.Body)
	return claim.BodyDigest(hex.EncodeToString(h.Sum(nil)))
}
