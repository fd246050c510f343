// Package opsapi holds the JSON bodies of the administration API, shared by the
// entry, which serves it, and the operators' command, which calls it.
package opsapi

import (
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
	"tarragonvalve.example/core/refuse"
)

// BasePath is the path of the API. A change that breaks clients gets a new one.
const BasePath = "/admin/v1"

// Role says what an operator key may do.
type Role string

// The roles. RoleOperate includes RoleView.
const (
	RoleView    Role = "view"
	RoleOperate Role = "operate"
)

// ErrorReply is the body of every refusal.
type ErrorReply struct {
	Error Error `json:"error"`
}

// Error is a refusal in the form that callers also get, with what operators need.
type Error struct {
	Code         refuse.Code      `json:"code"`
	Message      string           `json:"message"`
	Ran          refuse.Ran       `json:"ran"`
	RequestID    string           `json:"request-id"`
	RetryAfterMS int64            `json:"retry-after-ms"`
	Problems     []inidoc.Problem `json:"problems,omitempty"`
	// Winner is the generation that was accepted instead.
	Winner *Generation `json:"winner,omitempty"`
	// Latest is the latest generation in the table, where it was read.
	Latest ident.Generation `json:"latest-generation,omitempty"`
}

// Generation is one entry of the history.
type Generation struct {
	Generation ident.Generation `json:"generation"`
	Digest     envdoc.Digest    `json:"digest"`
	Operator   ident.OperatorID `json:"operator"`
	Reason     string           `json:"reason"`
	At         time.Time        `json:"at"`
}

// DocumentReply is a document with its history entry.
type DocumentReply struct {
	Generation
	// ConfirmedBy says how the answering instance knows that the generation is in force.
	ConfirmedBy string `json:"confirmed-by,omitempty"`
	Body        string `json:"body"`
}

// DocumentRequest carries a document to validate, diff or try.
type DocumentRequest struct {
	Body string `json:"body"`
}

// ValidateReply tells whether a document is valid.
type ValidateReply struct {
	Valid    bool             `json:"valid"`
	Digest   envdoc.Digest    `json:"digest"`
	Name     string           `json:"name,omitempty"`
	Problems []inidoc.Problem `json:"problems"`
}

// DiffReply holds the differences from the generation in force.
type DiffReply struct {
	Generation ident.Generation `json:"generation"`
	Digest     envdoc.Digest    `json:"digest"`
	Changes    []envdoc.Change  `json:"changes"`
}

// TrialReply is the result of a trial.
type TrialReply struct {
	Digest envdoc.Digest `json:"digest"`
	// Generation is the one that the document was compared with.
	Generation ident.Generation `json:"generation"`
	Changes    []envdoc.Change  `json:"changes"`
	// Decisions counts the recorded decisions that were taken again.
	Decisions int `json:"decisions"`
	// Moves are the decisions that would differ, by account.
	Moves []Move `json:"moves"`
	// Sources tells which processes the decisions come from.
	Sources []Source `json:"sources"`
}

// Move counts decisions of one account that the tried document would change.
type Move struct {
	Account ident.AccountID `json:"account"`
	// Kind is "session" for the next turn of a recorded session, "new-session"
	// for a new session like it.
	Kind string `json:"kind"`
	// From and To are versions, or the code of a refusal.
	From  string `json:"from"`
	To    string `json:"to"`
	Count int    `json:"count"`
}

// The kinds of moves.
const (
	MoveSession    = "session"
	MoveNewSession = "new-session"
)

// PromoteRequest asks for a document to become the next generation.
type PromoteRequest struct {
	// Body is the document. Digest is the one that its trial printed.
	Body   string        `json:"body"`
	Digest envdoc.Digest `json:"digest"`
	// ExpectedLatest is the latest generation that the operator saw; 0 for none.
	ExpectedLatest ident.Generation `json:"seen"`
	Reason         string           `json:"reason"`
	// Token names this promotion over its repeats after a lost answer; empty for a new one.
	Token string `json:"token,omitempty"`
}

// RollbackRequest asks for the document of an earlier generation as a new generation.
type RollbackRequest struct {
	Generation     ident.Generation `json:"generation"`
	ExpectedLatest ident.Generation `json:"seen"`
	Reason         string           `json:"reason"`
	Token          string           `json:"token,omitempty"`
}

// WithdrawRequest asks for a new generation without work for a version.
type WithdrawRequest struct {
	Version        string           `json:"version"`
	ExpectedLatest ident.Generation `json:"seen"`
	Reason         string           `json:"reason"`
	Token          string           `json:"token,omitempty"`
}

// AcceptedReply is the generation that a change made.
type AcceptedReply struct {
	Generation
	// Actions says in words what a withdrawal changed.
	Actions []string `json:"did,omitempty"`
	// Warnings name what the operator should know about the accepted document.
	Warnings []string `json:"warnings,omitempty"`
}

// HaltRequest asks for a halt of a version, which needs no table.
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
	// ConfirmedAgeMS is the age of the last confirmation by the table; -1 for never.
	ConfirmedAgeMS int64 `json:"confirmed-age-ms"`
	Draining       bool  `json:"draining"`
	Queued         int   `json:"queued"`
	Running        int   `json:"running"`
	// Problem says that and why the instance was not reached; empty when it was.
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
	// Step counts from 1; Share is in percent.
	Step  int    `json:"step"`
	Steps int    `json:"steps"`
	Share string `json:"share"`
}

// StatusReply is the state of the whole system as one entry sees it.
type StatusReply struct {
	Environment string           `json:"environment"`
	Instance    ident.InstanceID `json:"instance"`
	Generation  ident.Generation `json:"generation"`
	Digest      envdoc.Digest    `json:"digest"`
	ConfirmedBy string           `json:"confirmed-by"`
	// Latest is the newest generation in the table, 0 when it could not be read.
	Latest    ident.Generation `json:"latest-generation"`
	Problem   string           `json:"table-problem,omitempty"`
	Halts     []Halt           `json:"halts"`
	Rollouts  []Step           `json:"rollouts"`
	Instances []Instance       `json:"instances"`
}

// WaitReply tells which instances lack a generation.
type WaitReply struct {
	Generation ident.Generation   `json:"generation"`
	Done       bool               `json:"done"`
	Instances  int                `json:"instances"`
	Behind     []ident.InstanceID `json:"behind"`
	Unreached  []ident.InstanceID `json:"unreached"`
}

// Event is one event of the merged time line.
type Event struct {
	// Clock is the hybrid logical clock stamp, in decimal since it exceeds 53 bits.
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

// Source is a process whose events were asked for.
type Source struct {
	Instance ident.InstanceID `json:"instance"`
	Role     string           `json:"role"`
	Domain   ident.DomainID   `json:"failure-domain,omitempty"`
	Events   int              `json:"events"`
	// Overwritten counts events that the process lost because its ring overflowed.
	Overwritten uint64 `json:"overwritten"`
	// Problem says that and why the process was not reached; empty when it was.
	Problem string `json:"problem,omitempty"`
}

// EventsReply is a merged time line.
type EventsReply struct {
	Events  []Event  `json:"events"`
	Sources []Source `json:"sources"`
	// Truncated is true when the limit removed the oldest events.
	Truncated bool `json:"cut"`
}

// ExplainLine is one line of an explanation.
type ExplainLine struct {
	At       time.Time        `json:"at"`
	Instance ident.InstanceID `json:"instance"`
	Text     string           `json:"text"`
}

// ExplainReply says in words what happened to one request.
type ExplainReply struct {
	Request ident.RequestID `json:"request-id"`
	Account ident.AccountID `json:"account,omitempty"`
	Session ident.SessionID `json:"session,omitempty"`
	Outcome string          `json:"outcome"`
	Lines   []ExplainLine   `json:"lines"`
	Sources []Source        `json:"sources"`
}

// BillLine sums one account's requests of one version or service.
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
	// Receipts counts what was read, Doubled how many of them said what another one says.
	Receipts   int `json:"receipts"`
	Duplicates int `json:"doubled"`
	// AttemptCost is what attempts cost the operator, including those of cascades.
	AttemptCost ident.MicroCents `json:"attempt-cost-micro-cents"`
}

// BuildReply is the build of the answering process.
type BuildReply struct {
	Program  string           `json:"program"`
	Instance ident.InstanceID `json:"instance"`
	Version  string           `json:"version"`
	Go       string           `json:"go"`
	Revision string           `json:"revision"`
	Modified bool             `json:"modified"`
}
