package calls

import "tarragonvalve.example/core/claim"

// digest identifies the content of a call: a key may be repeated only with the same content.
func digest(j *job) claim.CallDigest {
	return claim.DigestOf(j.Method, j.Target, j.Body)
}
