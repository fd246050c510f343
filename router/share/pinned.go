package share

import (
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/pins"
)

func encodePinned(ps []pins.Pinned) []*Pinned {
	var out []*Pinned
	for _, p := range ps {
		m := &Pinned{Service: string(p.Service), Order: p.Order}
		for _, s := range p.Sessions {
			m.Sessions = append(m.Sessions, uint64(s))
		}
		out = append(out, m)
	}
	return out
}

func decodePinned(ms []*Pinned) []pins.Pinned {
	var out []pins.Pinned
	for _, m := range ms {
		p := pins.Pinned{Service: ident.ServiceID(m.GetService()), Order: m.GetOrder()}
		for _, s := range m.GetSessions() {
			p.Sessions = append(p.Sessions, pins.Session(s))
		}
		out = append(out, p)
	}
	return out
}
