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

// members finds this entry and the other live entries in the instance list.
type members struct {
	// addr is the address of this entry's listener for other entries.
	addr     string
	instance ident.InstanceID
	roster   *roster.Roster
}

func newMembers(s *setup.Settings, p *listeners, r *roster.Roster) *members {
	return &members{addr: p.peers.Addr().String(), instance: s.Entry.Instance, roster: r}
}

// others returns the addresses of the other entries, sorted. Leaving entries are
// included, since they still need documents and halts for their open requests.
func (p *members) others() []string {
	var out []string
	for _, i := range p.roster.Instances() {
		if i.Role != roster.RoleEntry || i.Addr == p.addr || i.ID == p.instance {
			continue
		}
		out = append(out, i.Addr)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// membership returns the number of live entries that are not leaving, and the rank of
// this entry among them by address, from 0.
func (p *members) membership() steps.Membership {
	f := steps.Membership{Entries: 1}
	seen := map[string]bool{p.addr: true}
	for _, i := range p.roster.Instances() {
		if i.Role != roster.RoleEntry || i.Leaving || i.ID == p.instance || seen[i.Addr] {
			continue
		}
		seen[i.Addr] = true
		f.Entries++
		if i.Addr < p.addr {
			f.Rank++
		}
	}
	return f
}

// demandTimeout bounds reading the accounts' demand from the policy for one exchange.
const demandTimeout = 200 * time.Millisecond

// demandExchange shares the demand of client accounts between entries, as the field Use of
// the state that they exchange.
type demandExchange struct {
	policy    *policy.Controller
	readiness *readiness
}

// fill adds the demand of each account at this entry, and the draining flag, to a state to
// send.
func (x *demandExchange) fill(m *wire.State) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	for a, u := range x.policy.Demand(ctx) {
		m.Use = append(m.Use, &wire.AccountUse{Account: string(a), RequestsPerSecond: u.Requests, TokensPerSecond: u.Tokens})
	}
	m.Draining = x.readiness.draining()
}

// observe passes the demand in a received state to the policy if an entry sent it.
func (x *demandExchange) observe(m *wire.State) {
	if m.GetRole() != roster.RoleEntry || m.GetInstance() == "" {
		return
	}
	u := make(map[ident.AccountID]limit.Demand, len(m.GetUse()))
	for _, a := range m.GetUse() {
		u[ident.AccountID(a.GetAccount())] = limit.Demand{Requests: a.GetRequestsPerSecond(), Tokens: a.GetTokensPerSecond()}
	}
	x.policy.ObservePeer(ident.InstanceID(m.GetInstance()), u)
}

func newDemandExchange(p *policy.Controller, h *readiness) *demandExchange {
	return &demandExchange{policy: p, readiness: h}
}
