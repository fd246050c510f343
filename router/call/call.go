// Package call holds what the system reads from and adds to the messages of
// clients and upstreams. How that is spelled on the wire is a Codec's matter.
package call

import (
	"net/http"
	"time"

	"tarragonvalve.example/core/ident"
)

// ID identifies one attempt of a client; upstreams echo it.
type ID string

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Request is what a client's message says about itself.
type Request struct {
	ID ID
	// Left is how long the client waits from the message's arrival; 0 means unstated.
	Left time.Duration
	Key  string
	// Model is the model asked for; AnyModel leaves the choice to the system.
	Model    ident.ModelID
	AnyModel bool
	Input    ident.Tokens
	Output   ident.Tokens
	// Hint is the client's estimate of the output; 0 means none.
	Hint ident.Tokens
	// Prefix lists the parts of the prompt in order; the last one is the request's or its session's own.
	Prefix []Part
	// Session is the client's name for requests that belong together; it may be empty.
	Session string
	// LastEvent is the id of the last event that the client has, if Resumes.
	LastEvent uint64
	Resumes   bool
}

// Send is what the system adds to a message for an upstream.
type Send struct {
	Left     time.Duration
	Upstream ident.UpstreamID
	Account  ident.AccountID
	// Model replaces the client's choice unless it is empty.
	Model ident.ModelID
	// Priority is the urgency at the engine, 0 first; negative leaves it out.
	Priority int
	// LastEvent is sent if Resumes.
	LastEvent uint64
	Resumes   bool
	// Source is the address of an upstream that likely has the prompt's shared parts
	// in memory; the receiver copies them from there. It is empty without one.
	Source string
}

// Load is an upstream's own report of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what an upstream's message says about itself.
type Answer struct {
	ID ID
	// Signed answers carry the upstream's receipt.
	Signed bool
	// NotRun is the upstream's promise that the request didn't run.
	NotRun bool
	Load   Load
	// Loaded is true if Load was reported.
	Loaded bool
	// Confidence is the model's opinion of its answer, 0 to 100; negative means none.
	Confidence int
	// Encoded bodies are not the upstream's own bytes.
	Encoded bool
	// Idle is how long the upstream keeps an idle connection; 0 means unstated.
	Idle time.Duration
	// Leaving is true if the upstream ends soon.
	Leaving bool
	// Quiet is how long the upstream wants no requests from this instance; 0 means unstated.
	Quiet time.Duration
}

// Codec reads and writes the platform's headers.
type Codec interface {
	Request(h http.Header) Request
	// Outgoing returns the headers to send to an upstream. The client's
	// headers are left as they are.
	Outgoing(h http.Header, s Send) http.Header
	Answer(status int, h http.Header) Answer
	// Reply returns the headers of an upstream's answer to pass on.
	Reply(h http.Header) http.Header
}
