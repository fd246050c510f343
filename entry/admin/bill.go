package admin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
)

const (
	// billWindow is the time span whose receipts are read at once. Adjacent spans
	// have no request in common, so their bills can be added.
	billWindow = time.Hour
	// maxBillSpan is the longest time span of a bill.
	maxBillSpan = 31 * 24 * time.Hour
)

// lineKey identifies a line of the bill: a version or service of one account.
type lineKey struct {
	account ident.AccountID
	// name is MODEL@VERSION or the id of the service.
	name string
}

// billSums adds the bills of several windows.
type billSums struct {
	// only is the account to bill, empty for all.
	only  ident.AccountID
	lines map[lineKey]*opsapi.BillLine
	reply opsapi.BillReply
}

// bill returns the bill of the time span from ?from= to ?to=, of one ?account= or
// of all. The default is the current month up to now. Receipts are read window by
// window, so that memory does not grow with the span.
func (a *API) bill(ctx context.Context, c *call) (any, error) {
	now := a.o.Now().UTC()
	to, err := timeParam(c, "to", now)
	if err != nil {
		return nil, err
	}
	from, err := timeParam(c, "from", time.Date(to.Year(), to.Month(), 1, 0, 0, 0, 0, time.UTC))
	if err != nil {
		return nil, err
	}
	if !from.Before(to) || to.Sub(from) > maxBillSpan {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "from must be before to, by at most %s", maxBillSpan)
	}
	s := &billSums{
		only:  ident.AccountID(c.URL.Query().Get("account")),
		lines: map[lineKey]*opsapi.BillLine{},
		reply: opsapi.BillReply{From: from, To: to, Lines: []opsapi.BillLine{}},
	}
	for t := from; t.Before(to); t = t.Add(billWindow) {
		end := t.Add(billWindow)
		if end.After(to) {
			end = to
		}
		rs, err := a.o.Bills.Receipts(ctx, t, end)
		if err != nil {
			return nil, err
		}
		s.addWindow(rs)
	}
	return s.finish(), nil
}

// addWindow adds the receipts of one window.
func (s *billSums) addWindow(rs []ledger.Receipt) {
	if s.only != "" {
		rs = slices.DeleteFunc(rs, func(r ledger.Receipt) bool { return r.Account != s.only })
	}
	b := ledger.NewBill(rs)
	for _, l := range b.Lines {
		s.add(l)
	}
	ids := map[ledger.ID]bool{}
	for i := range rs {
		ids[rs[i].ID()] = true
	}
	s.reply.AttemptCost += b.Cost
	s.reply.Receipts += len(rs)
	s.reply.Duplicates += len(rs) - len(ids)
}

func (s *billSums) add(l ledger.Line) {
	k := lineKey{account: l.Account, name: string(l.Service)}
	if l.Service == "" {
		k.name = l.Version.String()
	}
	b, ok := s.lines[k]
	if !ok {
		b = &opsapi.BillLine{Account: k.account, Item: k.name}
		s.lines[k] = b
	}
	b.Requests++
	b.Input += l.Input
	b.Output += l.Output
	b.Price += l.Price
	s.reply.Total += l.Price
}

func (s *billSums) finish() opsapi.BillReply {
	for _, l := range s.lines {
		s.reply.Lines = append(s.reply.Lines, *l)
	}
	slices.SortFunc(s.reply.Lines, func(a, b opsapi.BillLine) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Item, b.Item))
	})
	return s.reply
}
