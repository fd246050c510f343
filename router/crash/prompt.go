package crash

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

// Part is the hash of a service and a part of the prompts that it gets.
type Part uint64

// RequestHash is the hash of what distinguishes a request, or a session, from all others.
type RequestHash uint64

// Prompt holds what a request shares with others.
type Prompt struct {
	// ID is the id of the client's attempt.
	ID      call.ID
	Request RequestHash
	// Parts are the parts that other requests may share. Don't modify them.
	Parts []Part
	// labels are the ids of Parts for the log, separated by commas.
	labels string
}

// maxLabels bounds the ids of a prompt's parts in the log, in bytes.
const maxLabels = 256

// NewPrompt returns the prompt of a request to a service. The last part of the prefix belongs to the
// request or its session alone.
func NewPrompt(s ident.ServiceID, q call.Request) Prompt {
	n := len(q.Prefix) - 1
	if n < 1 {
		return Prompt{}
	}
	p := Prompt{ID: q.ID, Request: RequestHash(xxhash.Sum64String(q.Prefix[n].ID))}
	var ids []string
	for _, x := range q.Prefix[:n] {
		p.Parts = append(p.Parts, newPart(s, x.ID))
		ids = append(ids, x.ID)
	}
	p.labels = strings.Join(ids, ",")
	p.labels = p.labels[:min(len(p.labels), maxLabels)]
	return p
}

// newPart returns the part with an id of prompts to a service.
func newPart(s ident.ServiceID, id string) Part {
	return Part(xxhash.Sum64String(string(s) + "/" + id))
}

// String returns the request's id and the ids of its shared parts.
func (p Prompt) String() string { return string(p.ID) + ":" + p.labels }

// Labels returns the ids of the shared parts, separated by commas.
func (p Prompt) Labels() string { return p.labels }
