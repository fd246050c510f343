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
	// billWindow is the span that is read at a time. Adjoining spans share no
	// request, so their bills add up.
	billWindow = time.Hour
	maxBill    = 31 * 24 * time.Hour
)

// item names the lines of one account's version or service.
type item struct {
	account ident.AccountID
	name    string
}

type sums struct {
	only  ident.AccountID
	lines map[item]*opsapi.BillLine
	reply opsapi.BillReply
}

// bill sums up ?from= to ?to=, for one ?account= or for all. It reads window by
// window, so that memory does not grow with the span.
func (a *API) bill(ctx context.Context, c *call) (any, error) {
	now := a.o.Now().UTC()
	to, err := moment(c, "to", now)
	if err != nil {
		return nil, err
	}
	from, err := moment(c, "from", time.Date(to.Year(), to.Month(), 1, 0, 0, 0, 0, time.UTC))
	if err != nil {
		return nil, err
	}
	if !from.Before(to) || to.Sub(from) > maxBill {
		return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "from must be before to, by at most %s", maxBill)
	}
	s := &sums{
		only:  ident.AccountID(c.URL.Query().Get("account")),
		lines: map[item]*opsapi.BillLine{},
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
		s.window(rs)
	}
	return s.finish(), nil
}

func (s *sums) window(rs []ledger.Receipt) {
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
	s.reply.Doubled += len(rs) - len(ids)
}

func (s *sums) add(l ledger.Line) {
	k := item{account: l.Account, name: string(l.Service)}
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

func (s *sums) finish() opsapi.BillReply {
	for _, l := range s.lines {
		s.reply.Lines = append(s.reply.Lines, *l)
	}
	slices.SortFunc(s.reply.Lines, func(a, b opsapi.BillLine) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Item, b.Item))
	})
	return s.reply
}
