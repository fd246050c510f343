package admin_test

import (
	"context"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/table/memory"
)

// bills implements admin.Bills with an in-memory table.
type bills struct{ table *memory.Table }

func (b bills) Receipts(ctx context.Context, from, to time.Time) ([]ledger.Receipt, error) {
	return ledger.Load(ctx, b.table, from, to)
}

// store writes receipts of an instance to the table as one batch.
func (s *system) store(i ident.InstanceID, rs ...ledger.Receipt) {
	s.t.Helper()
	b := ledger.New(ledger.Options{Instance: i, Client: s.table})
	for _, r := range rs {
		if err := b.Add(r); err != nil {
			s.t.Fatal(err)
		}
	}
	if err := b.Flush(context.Background()); err != nil {
		s.t.Fatal(err)
	}
}

// Guards against billing a request twice: by the receipts of entry and agent, by a
// batch that was stored twice, by the attempts of a cascade, or in two time spans
// because its receipts are on both sides of the border between them.
func TestBill(t *testing.T) {
	border := time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)
	v := ident.VersionRef{Model: "pamuk", Version: "1.4"}
	at := func(id string, role ledger.Role, attempt ident.Attempt, direct bool, offset time.Duration) ledger.Receipt {
		return ledger.Receipt{Request: ident.RequestID(id), Role: role, Attempt: attempt, Account: "usak", Version: v, Input: 10, Output: 5, Price: 100, Direct: direct, Outcome: ledger.OutcomeComplete, At: border.Add(offset)}
	}
	s := start(t)
	cascade := at("cascade", ledger.RoleBill, 2, false, -2*time.Minute)
	s.store("entry-1", at("across", ledger.RoleBill, 1, false, time.Second), cascade)
	s.store("entry-2", cascade)
	s.store("agent-1",
		at("across", ledger.RoleAttempt, 1, true, -time.Second),
		at("cascade", ledger.RoleAttempt, 1, false, -3*time.Minute),
		at("cascade", ledger.RoleAttempt, 2, true, -2*time.Minute),
		at("entry-lost", ledger.RoleAttempt, 1, true, 2*time.Hour))
	get := func(from, to string) opsapi.BillReply {
		var out opsapi.BillReply
		s.call("eve", "GET", "/admin/v1/bill?from="+from+"&to="+to, nil).into(t, &out)
		return out
	}
	before := get("2026-03-04T11:00:00Z", "2026-03-04T12:00:00Z")
	after := get("2026-03-04T12:00:00Z", "2026-03-04T15:00:00Z")
	both := get("2026-03-04T11:00:00Z", "2026-03-04T15:00:00Z")
	if before.Total != 100 || after.Total != 200 || both.Total != 300 {
		t.Errorf("totals %d, %d, %d, want 100, 200, 300", before.Total, after.Total, both.Total)
	}
	if both.AttemptCost != 400 || both.Receipts != 7 || both.Duplicates != 1 {
		t.Errorf("bill %+v", both)
	}
	if len(both.Lines) != 1 || both.Lines[0].Requests != 3 || both.Lines[0].Item != "pamuk@1.4" {
		t.Errorf("the bill has the lines %+v", both.Lines)
	}
	if r := s.call("eve", "GET", "/admin/v1/bill?from=2026-03-04T12:00:00Z&to=2026-03-04T12:00:00Z", nil); r.status != 400 {
		t.Errorf("empty span: %s", r.body)
	}
}
