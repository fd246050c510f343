// Package opsapi defines the JSON bodies of the administration API, which entries
// serve and the operators' command calls.
package opsapi

import (
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
	"tarragonvalve.example/core/refuse"
)

// BasePath is the path prefix of all routes of the API. A change that breaks clients
// needs a new version in it.
const BasePath = "/admin/v1"

// Role is the set of operations that an operator key permits.
type Role string

// The values of Role.
const (
	// RoleView permits reads.
	RoleView Role = "view"
	// RoleOperate permits reads and changes.
	RoleOperate Role = "operate"
)

// ErrorReply is the body of all refusals.
type ErrorReply struct {
	Error Error `json:"error"`
}

// Error is a refusal: the fields that callers of the system also get, and further
// ones for operators.
type Error struct {
	Code         refuse.Code      `json:"code"`
	Message      string           `json:"message"`
	Ran          refuse.Ran       `json:"ran"`
	RequestID    string           `json:"request-id"`
	RetryAfterMS int64            `json:"retry-after-ms"`
	Problems     []inidoc.Problem `json:"problems,omitempty"`
	// Winner is the generation that was accepted instead, after a conflict.
	Winner *Generation `json:"winner,omitempty"`
	// Latest is the latest generation in the table; 0 if the table was not read.
	Latest ident.Generation `json:"latest-generation,omitempty"`
}

// Generation is an accepted generation as the history lists it.
type Generation struct {
	Generation ident.Generation `json:"generation"`
	Digest     envdoc.Digest    `json:"digest"`
	Operator   ident.OperatorID `json:"operator"`
	Reason     string           `json:"reason"`
	At         time.Time        `json:"at"`
}

// DocumentReply is the document of a generation.
type DocumentReply struct {
	Generation
	// ConfirmedBy is the source from which the answering instance has its generation, a
	// value of spread.ConfirmedBy.
	ConfirmedBy string `json:"confirmed-by,omitempty"`
	Body        string `json:"body"`
}

// DocumentRequest holds a document to validate, to compare or to run a trial with.
type DocumentRequest struct {
	Body string `json:"body"`
}

// ValidateReply reports whether a document is valid.
type ValidateReply struct {
	Valid  bool          `json:"valid"`
	Digest envdoc.Digest `json:"digest"`
	// Name is the environment that a valid document is for.
	Name     string           `json:"name,omitempty"`
	Problems []inidoc.Problem `json:"problems"`
}

// DiffReply lists the changes of a document from the document in force, whose
// generation it names.
type DiffReply struct {
	Generation ident.Generation `json:"generation"`
	Digest     envdoc.Digest    `json:"digest"`
	Changes    []envdoc.Change  `json:"changes"`
}

// TrialReply is the result of a trial, which makes recorded decisions again under a
// document that is not accepted yet.
type TrialReply struct {
	Digest envdoc.Digest `json:"digest"`
	// Generation is the generation that the document was compared with.
	Generation ident.Generation `json:"generation"`
	Changes    []envdoc.Change  `json:"changes"`
	// Decisions is the number of recorded decisions that were made again.
	Decisions int `json:"decisions"`
	// Moves counts the decisions that would differ, by account.
	Moves []Move `json:"moves"`
	// Sources lists the processes that recorded the decisions.
	Sources []Source `json:"sources"`
}

// Move counts equal changes of an account's decisions by the document of a trial.
type Move struct {
	Account ident.AccountID `json:"account"`
	// Kind is MoveSession or MoveNewSession.
	Kind string `json:"kind"`
	// From and To are the versions chosen before and after, or codes of refusals.
	From  string `json:"from"`
	To    string `json:"to"`
	Count int    `json:"count"`
}

// The values of Move.Kind.
const (
	// MoveSession is the decision for the next request of a recorded session.
	MoveSession = "session"
	// MoveNewSession is the decision for a new session in place of a recorded one.
	MoveNewSession = "new-session"
)

// PromoteRequest asks for a document to become the next generation.
type PromoteRequest struct {
	// Body is the document. Digest is the digest that the reply to its trial held.
	Body   string        `json:"body"`
	Digest envdoc.Digest `json:"digest"`
	// ExpectedLatest is the latest generation that the operator saw; 0 for none. The
	// request is refused if another generation is the latest.
	ExpectedLatest ident.Generation `json:"seen"`
	Reason         string           `json:"reason"`
	// Token identifies the promotion when it is repeated after a lost answer; empty for a
	// promotion that is sent once.
	Token string `json:"token,omitempty"`
}

// RollbackRequest asks for the document of an earlier generation to become the next
// generation. Its other fields are as in PromoteRequest.
type RollbackRequest struct {
	Generation     ident.Generation `json:"generation"`
	ExpectedLatest ident.Generation `json:"seen"`
	Reason         string           `json:"reason"`
	Token          string           `json:"token,omitempty"`
}

// WithdrawRequest asks for a next generation in which a version gets no new work. Its
// other fields are as in PromoteRequest.
type WithdrawRequest struct {
	Version        string           `json:"version"`
	ExpectedLatest ident.Generation `json:"seen"`
	Reason         string           `json:"reason"`
	Token          string           `json:"token,omitempty"`
}

// AcceptedReply is the generation that a promotion, rollback or withdrawal created.
type AcceptedReply struct {
	Generation
	// Actions describes what a rollback or withdrawal changed.
	Actions []string `json:"did,omitempty"`
	// Warnings describes possible problems with the accepted document.
	Warnings []string `json:"warnings,omitempty"`
}

// HaltRequest asks for a halt of a version. A halt takes effect without the table.
type HaltRequest struct {
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

// HaltReply confirms a halt. It stays in force until a document sets
// halts-cleared-at of the version to Generation or above.
type HaltReply struct {
	Version    string           `json:"version"`
	Generation ident.Generation `json:"generation"`
}

// HistoryReply lists accepted generations, newest first.
type HistoryReply struct {
	Generations []Generation `json:"generations"`
}

// Instance is the status of one live instance.
type Instance struct {
	ID     ident.InstanceID `json:"instance"`
	Role   string           `json:"role"`
	Domain ident.DomainID   `json:"failure-domain,omitempty"`
	// Upstream is set for an agent.
	Upstream   ident.UpstreamID `json:"upstream,omitempty"`
	Generation ident.Generation `json:"generation"`
	Digest     envdoc.Digest    `json:"digest,omitempty"`
	// ConfirmedAgeMS is the time in milliseconds since a read of the table last showed
	// the generation as the latest; -1 for never.
	ConfirmedAgeMS int64 `json:"confirmed-age-ms"`
	Draining       bool  `json:"draining"`
	Queued         int   `json:"queued"`
	Running        int   `json:"running"`
	// Problem is the reason why the instance was not reached; empty if it was.
	Problem string `json:"problem,omitempty"`
}

// Halt is a halt in force.
type Halt struct {
	Version    string           `json:"version"`
	Generation ident.Generation `json:"generation"`
	Reason     string           `json:"reason"`
	Instance   ident.InstanceID `json:"instance"`
	At         time.Time        `json:"at"`
}

// Step is the step that a roll-out has reached.
type Step struct {
	Rollout ident.RolloutID `json:"rollout"`
	Version string          `json:"version"`
	// Step is the number of the step, from 1, and Steps the number of all steps.
	Step  int `json:"step"`
	Steps int `json:"steps"`
	// Share is the share of the version in percent, without the percent sign.
	Share string `json:"share"`
}

// StatusReply is the status of the whole system as one entry observes it.
type StatusReply struct {
	Environment string           `json:"environment"`
	Instance    ident.InstanceID `json:"instance"`
	Generation  ident.Generation `json:"generation"`
	Digest      envdoc.Digest    `json:"digest"`
	ConfirmedBy string           `json:"confirmed-by"`
	// Latest is the latest generation in the table; 0 if the table could not be read.
	Latest ident.Generation `json:"latest-generation"`
	// Problem is the reason why the table could not be read; empty if it was.
	Problem   string     `json:"table-problem,omitempty"`
	Halts     []Halt     `json:"halts"`
	Rollouts  []Step     `json:"rollouts"`
	Instances []Instance `json:"instances"`
}

// WaitReply reports whether a generation is in force at all live instances.
type WaitReply struct {
	Generation ident.Generation `json:"generation"`
	// Done is true if all live instances were reached and have the generation.
	Done bool `json:"done"`
	// Instances is the number of live instances.
	Instances int `json:"instances"`
	// Behind lists the instances that have an earlier generation.
	Behind []ident.InstanceID `json:"behind"`
	// Unreached lists the instances that were not reached.
	Unreached []ident.InstanceID `json:"unreached"`
}

// Event is an event of the merged time line.
type Event struct {
	// Clock is the timestamp of the hybrid logical clock. It is encoded as a string in
	// decimal since it exceeds the 53 bits that JSON numbers keep exactly.
	Clock    uint64            `json:"clock,string"`
	At       time.Time         `json:"at"`
	Instance ident.InstanceID  `json:"instance"`
	Kind     string            `json:"kind"`
	Request  ident.RequestID   `json:"request-id,omitempty"`
	Session  ident.SessionID   `json:"session,omitempty"`
	Account  ident.AccountID   `json:"account,omitempty"`
	Version  string            `json:"version,omitempty"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Source is a process whose events were requested.
type Source struct {
	Instance ident.InstanceID `json:"instance"`
	Role     string           `json:"role"`
	Domain   ident.DomainID   `json:"failure-domain,omitempty"`
	// Events is the number of events that the process returned.
	Events int `json:"events"`
	// Overwritten is the number of events that the process lost because its ring overflowed.
	Overwritten uint64 `json:"overwritten"`
	// Problem is the reason why the process was not reached; empty if it was.
	Problem string `json:"problem,omitempty"`
}

// EventsReply is the merged time line of all processes.
type EventsReply struct {
	Events  []Event  `json:"events"`
	Sources []Source `json:"sources"`
	// Truncated is true if the limit removed the oldest events.
	Truncated bool `json:"cut"`
}

// ExplainLine is one line of an explanation.
type ExplainLine struct {
	At       time.Time        `json:"at"`
	Instance ident.InstanceID `json:"instance"`
	Text     string           `json:"text"`
}

// ExplainReply describes in words what happened to a request.
type ExplainReply struct {
	Request ident.RequestID `json:"request-id"`
	Account ident.AccountID `json:"account,omitempty"`
	Session ident.SessionID `json:"session,omitempty"`
	Outcome string          `json:"outcome"`
	Lines   []ExplainLine   `json:"lines"`
	Sources []Source        `json:"sources"`
}

// BillLine is the sum of an account's requests for a version or plain service.
type BillLine struct {
	Account ident.AccountID `json:"account"`
	// Item is MODEL@VERSION or the id of a plain service.
	Item     string           `json:"item"`
	Requests int              `json:"requests"`
	Input    ident.Tokens     `json:"input-tokens"`
	Output   ident.Tokens     `json:"output-tokens"`
	Price    ident.MicroCents `json:"price-micro-cents"`
}

// BillReply is the bill of a time span [From, To).
type BillReply struct {
	From  time.Time        `json:"from"`
	To    time.Time        `json:"to"`
	Lines []BillLine       `json:"lines"`
	Total ident.MicroCents `json:"total-micro-cents"`
	// Receipts is the number of receipts that were read. Duplicates is how many of them
	// had the id of another one.
	Receipts   int `json:"receipts"`
	Duplicates int `json:"doubled"`
	// AttemptCost is the cost of all attempts to the operator, including those of cascades.
	AttemptCost ident.MicroCents `json:"attempt-cost-micro-cents"`
}

// BuildReply describes the build of the answering process.
type BuildReply struct {
	Program  string           `json:"program"`
	Instance ident.InstanceID `json:"instance"`
	Version  string           `json:"version"`
	Go       string           `json:"go"`
	Revision string           `json:"revision"`
	Modified bool             `json:"modified"`
}
