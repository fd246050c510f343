package ledger

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
)

// Line is the line of a bill for one request.
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

// Total is the sum of the lines of a client account.
type Total struct {
	Requests int              `json:"requests"`
	Input    ident.Tokens     `json:"input-tokens"`
	Output   ident.Tokens     `json:"output-tokens"`
	Price    ident.MicroCents `json:"price-micro-cents"`
}

// Bill is what NewBill computes from receipts. Each request has at most one line.
type Bill struct {
	// Lines are ordered by request id.
	Lines []Line `json:"lines"`
	// Totals holds the sum of the lines of each account.
	Totals map[ident.AccountID]Total `json:"totals"`
	// Attempts counts the attempts that ran, and Cost is the sum of their prices. It is
	// the operator's cost, also for attempts whose answer no caller saw.
	Attempts int              `json:"attempts"`
	Cost     ident.MicroCents `json:"cost-micro-cents"`
}

// NewBill computes the bill of a set of receipts. A request is billed by the entry's
// receipt if there is one, otherwise by the agent's receipt of the last attempt that
// streamed to the caller; without either it has no line. Neither the order of the
// receipts nor repeats of a receipt change the bill.
func NewBill(rs []Receipt) Bill {
	b := Bill{Totals: map[ident.AccountID]Total{}}
	attempts := map[ID]Receipt{}
	for _, r := range rs {
		if old, ok := attempts[r.ID()]; r.Role == RoleAttempt && (!ok || compareReceipts(r, old) > 0) {
			attempts[r.ID()] = r
		}
	}
	for _, r := range attempts {
		b.Attempts++
		b.Cost += r.Price
	}
	for _, r := range billingReceipts(rs) {
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

// billingReceipts returns the receipt that each request is billed by.
func billingReceipts(rs []Receipt) map[ident.RequestID]Receipt {
	out := map[ident.RequestID]Receipt{}
	for _, r := range rs {
		if r.Role != RoleBill && !r.Direct {
			continue
		}
		if old, ok := out[r.Request]; !ok || compareReceipts(r, old) > 0 {
			out[r.Request] = r
		}
	}
	return out
}

// compareReceipts orders the receipts of one request: the highest one bills it. Role
// and attempt decide. The other criteria only make the choice independent of the order
// of receipts that differ although they are for the same request and attempt.
func compareReceipts(a, b Receipt) int {
	return cmp.Or(
		cmp.Compare(roleRank(a), roleRank(b)),
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(outcomeRank(a), outcomeRank(b)),
		b.At.Compare(a.At),
		cmp.Compare(a.Output, b.Output),
		cmp.Compare(a.Input, b.Input),
		cmp.Compare(a.Price, b.Price),
		strings.Compare(string(a.Instance), string(b.Instance)),
		strings.Compare(string(a.Outcome), string(b.Outcome)),
	)
}

// roleRank ranks the entry's receipt above the receipts of attempts.
func roleRank(r Receipt) int {
	if r.Role == RoleBill {
		return 1
	}
	return 0
}

// outcomeRank ranks a complete receipt above the others.
func outcomeRank(r Receipt) int {
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
