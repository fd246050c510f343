package crash

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

// Part is the hash of a service and a part of the prompts that it gets, or of a whole request.
type Part uint64

// RequestHash is the hash of what distinguishes a request, or a session, from all others.
type RequestHash uint64

// Prompt holds what a request shares with others.
type Prompt struct {
	// Content stands for the whole request: others with the same caller, path and body have it too.
	Content Part
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

// Content identifies the content of a request.
type Content struct {
	Account        ident.AccountID
	Method, Target string
	Body           []byte
}

// part returns the part that stands for the content of a request to a service.
func (c Content) part(s ident.ServiceID, q call.Request) Part {
	h := xxhash.New()
	for _, x := range []string{string(s), string(c.Account), c.Method, c.Target} {
		_, _ = h.WriteString(x + "\x00")
	}
	for _, x := range q.Prefix {
		_, _ = h.WriteString(x.ID + "\x00")
	}
	_, _ = h.Write(c.Body)
	return Part(h.Sum64() | contentBit)
}

// NewPrompt returns the prompt of a request to a service. The last part of the prefix belongs to the
// request or its session alone.
func NewPrompt(s ident.ServiceID, q call.Request, c Content) Prompt {
	p := Prompt{ID: q.ID, Content: c.part(s, q)}
	n := len(q.Prefix) - 1
	if n < 1 {
		return p
	}
	p.Request = RequestHash(xxhash.Sum64String(q.Prefix[n].ID))
	var ids []string
	for _, x := range q.Prefix[:n] {
		p.Parts = append(p.Parts, newPart(s, x.ID))
		ids = append(ids, x.ID)
	}
	p.labels = strings.Join(ids, ",")
	p.labels = p.labels[:min(len(p.labels), maxLabels)]
	return p
}

// contentBit is set in parts that stand for the content of whole requests.
const contentBit = 1

// newPart returns the part with an id of prompts to a service.
func newPart(s ident.ServiceID, id string) Part {
	return Part(xxhash.Sum64String(string(s)+"/"+id) &^ contentBit)
}

// IsContent reports whether the part stands for the content of whole requests.
func (p Part) IsContent() bool { return p&contentBit != 0 }

// String returns the part as it is logged.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// String returns the request's id, the ids of its shared parts and its content.
func (p Prompt) String() string { return string(p.ID) + ":" + p.labels + ":" + p.Content.String() }

// Labels returns the ids of the shared parts, separated by commas.
func (p Prompt) Labels() string { return p.labels }
