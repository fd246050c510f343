package ledger

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
)

// Line is what one request is billed for.
type Line struct {
	Request ident.RequestID  `json:"request-id"`
	Account ident.AccountID  `json:"account"`
	Session ident.SessionID  `json:"session,omitempty"`
	Version ident.VersionRef `json:"version,omitzero"`
	Service ident.ServiceID  `json:"service,omitempty"`
	Input   ident.Tokens     `json:"input-tokens"`
	Output  ident.Tokens     `json:"output-tokens"`
	Price   ident.MicroCents `json:"price-micro-cents"`
	Outcome Outcome          `json:"outcome"`
	At      time.Time        `json:"at"`
}

// Total sums up the lines of a client account.
type Total struct {
	Requests int              `json:"requests"`
	Input    ident.Tokens     `json:"input-tokens"`
	Output   ident.Tokens     `json:"output-tokens"`
	Price    ident.MicroCents `json:"price-micro-cents"`
}

// Bill is the fold of receipts. Each request has at most one line.
type Bill struct {
	// Lines are ordered by request id.
	Lines []Line `json:"lines"`
	// Totals hold the sums of the lines of each account.
	Totals map[ident.AccountID]Total `json:"totals"`
	// Attempts and Cost count the attempts that ran and their prices. They are the
	// operator's cost, also for attempts whose answer no caller saw.
	Attempts int              `json:"attempts"`
	Cost     ident.MicroCents `json:"cost-micro-cents"`
}

// NewBill counts each request once: by the entry's receipt if there is one, otherwise
// by the agent's receipt of the last attempt that streamed to the caller. The order
// of the receipts and their repeats don't matter.
func NewBill(rs []Receipt) Bill {
	b := Bill{Totals: map[ident.AccountID]Total{}}
	attempts := map[ID]Receipt{}
	for _, r := range rs {
		if old, ok := attempts[r.ID()]; r.Role == RoleAttempt && (!ok || compare(r, old) > 0) {
			attempts[r.ID()] = r
		}
	}
	for _, r := range attempts {
		b.Attempts++
		b.Cost += r.Price
	}
	for _, r := range decisive(rs) {
		b.Lines = append(b.Lines, lineOf(r))
		t := b.Totals[r.Account]
		t.Requests++
		t.Input += r.Input
		t.Output += r.Output
		t.Price += r.Price
		b.Totals[r.Account] = t
	}
	slices.SortFunc(b.Lines, func(x, y Line) int { return strings.Compare(string(x.Request), string(y.Request)) })
	return b
}

// decisive returns the receipt that bills each request.
func decisive(rs []Receipt) map[ident.RequestID]Receipt {
	out := map[ident.RequestID]Receipt{}
	for _, r := range rs {
		if r.Role != RoleBill && !r.Direct {
			continue
		}
		if old, ok := out[r.Request]; !ok || compare(r, old) > 0 {
			out[r.Request] = r
		}
	}
	return out
}

// compare orders the receipts of one request by what decides its bill. The lower
// criteria only make the choice independent of the order of receipts that differ
// although they are for the same request and attempt.
func compare(a, b Receipt) int {
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(complete(a), complete(b)),
		b.At.Compare(a.At),
		cmp.Compare(a.Output, b.Output),
		cmp.Compare(a.Input, b.Input),
		cmp.Compare(a.Price, b.Price),
		strings.Compare(string(a.Instance), string(b.Instance)),
		strings.Compare(string(a.Outcome), string(b.Outcome)),
	)
}

func rank(r Receipt) int {
	if r.Role == RoleBill {
		return 1
	}
	return 0
}

func complete(r Receipt) int {
	if r.Outcome == OutcomeComplete {
		return 1
	}
	return 0
}

func lineOf(r Receipt) Line {
	return Line{
		Request: r.Request,
		Account: r.Account,
		Session: r.Session,
		Version: r.Version,
		Service: r.Service,
		Input:   r.Input,
		Output:  r.Output,
		Price:   r.Price,
		Outcome: r.Outcome,
		At:      r.At,
	}
}
