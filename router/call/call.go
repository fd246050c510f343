// Package call holds the values that the router reads from, and sets on, the HTTP headers of
// requests and responses. A Codec translates them from and to the platform's header names.
package call

import (
	"net/http"
	"time"

	"tarragonvalve.example/core/ident"
)

// ID identifies one attempt of a client. Upstreams return it with their response.
type ID string

// PromptPart is a segment of a prompt that other prompts may start with as well.
type PromptPart struct {
	ID     string
	Tokens ident.Tokens
}

// Request holds the values of a client's request headers. Fields are zero for absent headers.
type Request struct {
	ID ID
	// Timeout is how long the client waits from the request's arrival; 0 means unstated.
	Timeout time.Duration
	// Key is the client's API key; it may be empty.
	Key string
	// Model is the model asked for; AnyModel leaves the choice to the router.
	Model    ident.ModelID
	AnyModel bool
	// Input is the length of the prompt, Output the permitted length of the response.
	Input  ident.Tokens
	Output ident.Tokens
	// OutputHint is the client's estimate of the response's length; 0 means none.
	OutputHint ident.Tokens
	// Prefix lists the parts of the prompt in order. The last one belongs to the request or
	// its session alone.
	Prefix []PromptPart
	// Session is the client's name for requests that belong together; it may be empty.
	Session string
	// LastEvent is the id of the last event that the client has; it is valid if Resumes is true.
	LastEvent uint64
	// Resumes is true if the client asks for the continuation of a stream.
	Resumes bool
}

// Outbound holds the values that the router sets on the headers of a request to an upstream.
type Outbound struct {
	// Timeout is how long the router waits for the complete response.
	Timeout time.Duration
	// Upstream is the upstream that must serve the request; any other one rejects it.
	Upstream ident.UpstreamID
	// Account is the authenticated client account; it may be empty.
	Account ident.AccountID
	// Model replaces the client's choice unless it is empty.
	Model ident.ModelID
	// Priority is the rank at the model engine, 0 the most urgent; negative omits the header.
	Priority int
	// LastEvent is the id of the last event that was received; it is sent if Resumes is true.
	LastEvent uint64
	Resumes   bool
	// Source is the address of an upstream that likely holds the prompt's shared parts in
	// its cache, for the receiver to copy them from; it may be empty.
	Source string
}

// Load is an upstream's report of the requests that it runs, those that wait, and the number
// that it can run at a time.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there at present as a percentage of the usual time; 0 means unstated.
	Pace int
}

// Rate is a number of requests per second.
type Rate float64

// LimitStatement is what a response says about the requests that its upstream takes from all
// instances together. Its cases are the types below; nil means that it says nothing.
type LimitStatement interface{ limitStatement() }

type (
	// Limited states the largest rate of requests.
	Limited struct{ Rate Rate }
	// Unlimited states that there is no limit.
	Unlimited struct{}
)

func (Limited) limitStatement()   {}
func (Unlimited) limitStatement() {}

// Response holds the values of an upstream's response headers.
type Response struct {
	ID ID
	// HasReceipt is true if the response carries an upstream's receipt, which isn't verified.
	HasReceipt bool
	// NotRun is true if the upstream states that the request didn't run.
	NotRun bool
	Load   Load
	// HasLoad is true if Load was reported.
	HasLoad bool
	// Confidence is the model's own rating of its response, 0 to 100; negative means none.
	Confidence int
	// Encoded is true if the body has a content coding, so its bytes aren't the upstream's own.
	Encoded bool
	// IdleTimeout is how long the upstream keeps an idle connection; 0 means unstated.
	IdleTimeout time.Duration
	// Leaving is true if the upstream shuts down soon.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this instance; 0 means unstated.
	RetryAfter time.Duration
	// Limit is what the upstream states about its rate of requests.
	Limit LimitStatement
}

// HeaderError reports a header of a client's request that other readers could understand
// differently.
type HeaderError struct {
	Name   string
	Reason string
}

func (e *HeaderError) Error() string { return "header " + e.Name + ": " + e.Reason }

// Codec reads and writes the platform's headers.
type Codec interface {
	// CheckRequest returns a *HeaderError if a header that decides who sends a request, or
	// whether and how long it may run, is ambiguous or out of range.
	CheckRequest(h http.Header) error
	// ParseRequest reads a client's request headers. Malformed values count as absent.
	ParseRequest(h http.Header) Request
	// UpstreamHeaders returns the headers of the request to an upstream. It doesn't modify
	// the client's headers h.
	UpstreamHeaders(h http.Header, s Outbound) http.Header
	// ParseResponse reads an upstream's response headers.
	ParseResponse(status int, h http.Header) Response
	// ClientHeaders returns the headers of an upstream's response h that are passed on to
	// the client. It doesn't modify h.
	ClientHeaders(h http.Header) http.Header
}
