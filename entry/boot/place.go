package boot

import (
	"context"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/limit"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/roster"
	"tarragonvalve.example/entry/setup"
	"tarragonvalve.example/entry/steps"
)

// place is this entry's place among the live entries.
type place struct {
	own      string
	instance ident.InstanceID
	roster   *roster.Roster
}

func newPlace(s *setup.Settings, p *listeners, r *roster.Roster) *place {
	return &place{own: p.peers.Addr().String(), instance: s.Entry.Instance, roster: r}
}

// others returns the peers addresses of the other entries. Leaving ones are
// included: they still need documents and halts for their last requests.
func (p *place) others() []string {
	var out []string
	for _, i := range p.roster.Instances() {
		if i.Role != roster.RoleEntry || i.Addr == p.own || i.ID == p.instance {
			continue
		}
		out = append(out, i.Addr)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// fleet counts the live entries and this one's rank among them by address.
func (p *place) fleet() steps.Membership {
	f := steps.Membership{Entries: 1}
	seen := map[string]bool{p.own: true}
	for _, i := range p.roster.Instances() {
		if i.Role != roster.RoleEntry || i.Leaving || i.ID == p.instance || seen[i.Addr] {
			continue
		}
		seen[i.Addr] = true
		f.Entries++
		if i.Addr < p.own {
			f.Rank++
		}
	}
	return f
}

// useLimit bounds reading the accounts' use for an exchange.
const useLimit = 200 * time.Millisecond

// exchange adds this entry's use to states and learns that of others.
type exchange struct {
	policy *policy.Controller
	phase  *phase
}

func (x *exchange) fill(m *wire.State) {
	ctx, cancel := context.WithTimeout(context.Background(), useLimit)
	defer cancel()
	for a, u := range x.policy.Demand(ctx) {
		m.Use = append(m.Use, &wire.AccountUse{Account: string(a), RequestsPerSecond: u.Requests, TokensPerSecond: u.Tokens})
	}
	m.Draining = x.phase.draining.Load()
}

func (x *exchange) seen(m *wire.State) {
	if m.GetRole() != roster.RoleEntry || m.GetInstance() == "" {
		return
	}
	u := make(map[ident.AccountID]limit.Demand, len(m.GetUse()))
	for _, a := range m.GetUse() {
		u[ident.AccountID(a.GetAccount())] = limit.Demand{Requests: a.GetRequestsPerSecond(), Tokens: a.GetTokensPerSecond()}
	}
	x.policy.ObservePeer(ident.InstanceID(m.GetInstance()), u)
}

func newExchange(p *policy.Controller, h *phase) *exchange {
	return &exchange{policy: p, phase: h}
}
