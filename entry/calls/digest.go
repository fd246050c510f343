package calls

import "tarragonvalve.example/core/claim"

func digest(j *job) claim.BodyDigest {
	return claim.DigestOf(j.Method, j.Target, j.Body)
}
