package boot

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/setup"
	"tarragonvalve.example/router/share"
	"tarragonvalve.example/router/speed"
)

// newPeerClients returns clients for the peers that this instance asks for the store's
// content, in order. The first seed asks none and reads the store; each other seed asks
// those before it. All other instances ask the seeds of their own network first, as traffic
// between failure domains is charged for, and otherwise begin at a seed that depends on the
// instance's name, which spreads the load.
func newPeerClients(s *setup.Settings) ([]*share.Client, error) {
	as := s.Seeds
	if i := slices.Index(as, s.Share); i >= 0 {
		as = as[:i]
	} else if n := len(as); n > 0 {
		first := int(xxhash.Sum64String(s.Instance) % uint64(n))
		as = slices.Concat(as[first:], as[:first])
		slices.SortStableFunc(as, func(a, b string) int { return distance(s.Share, a) - distance(s.Share, b) })
	}
	var cs []*share.Client
	for _, a := range as {
		c, err := share.NewClient(a)
		if err != nil {
			return nil, err
		}
		cs = append(cs, c)
	}
	return cs, nil
}

// newPeers returns the same peers as sources of the store's content.
func newPeers(cs []*share.Client) []mirror.Peer {
	var ps []mirror.Peer
	for _, c := range cs {
		ps = append(ps, mirror.Peer{Address: c.Address(), Source: c})
	}
	return ps
}

// newGossip returns an exchanger of samples, backlogs and notices with the same peers.
func newGossip(s *setup.Settings, cs []*share.Client, b judgedSamples, t *notice.Registry, q *poison.Registry, e *pins.Registry, w *late.Meter, l zerolog.Logger) *gossip.Exchanger {
	var ps []gossip.Peer
	for _, c := range cs {
		ps = append(ps, c)
	}
	x := gossip.New(s.Instance, b, t, q, e, ps, l)
	x.SetLateness(w.Lateness)
	if len(s.Seeds) > 1 {
		x.ExpectOthers()
	}
	return x
}

// judgedSamples passes the samples of this instance and of others to the canary analysis, and exchanges what is observed of
// the speed of upstreams with them.
type judgedSamples struct {
	*place.Balancer
	speeds  *speed.Registry
	notices *notice.Registry
	domain  ident.DomainID
	monitor *canary.Monitor
	syncer  *mirror.Syncer
}

func newJudgedSamples(s *setup.Settings, b *place.Balancer, d *speed.Registry, t *notice.Registry, w *canary.Monitor, n *mirror.Syncer) judgedSamples {
	return judgedSamples{Balancer: b, speeds: d, notices: t, domain: s.Domain, monitor: w, syncer: n}
}

// DrainSamples implements gossip.SampleStore.
func (j judgedSamples) DrainSamples() []place.Sample {
	ss := j.Balancer.DrainSamples()
	now := time.Now()
	j.judge(ss, now)
	return j.withSpeeds(ss, now)
}

// MergeSamples implements gossip.SampleStore.
func (j judgedSamples) MergeSamples(ss []place.Sample, now time.Time) {
	j.Balancer.MergeSamples(ss, now)
	j.judge(ss, now)
	for _, s := range ss {
		if s.HasLoad {
			j.speeds.Reported(s.Upstream, s.Load, s.At)
		}
		j.speeds.MergeSummaries(s.Upstream, s.Speed, now)
	}
}

// withSpeeds adds the summaries that are due to the samples of their upstreams.
func (j judgedSamples) withSpeeds(ss []place.Sample, now time.Time) []place.Sample {
	j.speeds.SetInstances(j.notices.Share().Size)
	due := j.speeds.DrainSummaries(now)
	if len(due) == 0 {
		return ss
	}
	at := make(map[ident.UpstreamID]int, len(ss))
	for i, s := range ss {
		at[s.Upstream] = i
	}
	for _, x := range due {
		i, ok := at[x.Upstream]
		if !ok {
			i = len(ss)
			at[x.Upstream] = i
			ss = append(ss, place.Sample{Upstream: x.Upstream, Domain: j.domain, At: now})
		}
		ss[i].Speed = append(ss[i].Speed, x.Summary)
	}
	return ss
}

// judge passes on the samples of services with a roll-out in progress.
func (j judgedSamples) judge(ss []place.Sample, now time.Time) {
	v := j.syncer.View()
	judged := judgedServices(v)
	if len(judged) == 0 {
		return
	}
	us := v.Fleet.All()
	var out []canary.Sample
	for _, s := range ss {
		u := us[s.Upstream]
		if u == nil {
			continue
		}
		if _, ok := judged[u.Service]; ok {
			out = append(out, canary.Sample{
				Service: u.Service, Upstream: s.Upstream, New: u.Version == v.Orders[u.Service].To,
				Successes: s.Successes, Failures: s.Failures, Timed: s.Responses, LogSlowdown: s.LogSlowdown,
			})
		}
	}
	j.monitor.ObserveSamples(out, judged, now)
}

// judgedServices returns the services with a roll-out in progress. Orders stay in the store when it has
// ended.
func judgedServices(v *mirror.View) map[ident.ServiceID]canary.Judged {
	if v.Document == nil {
		return nil
	}
	out := map[ident.ServiceID]canary.Judged{}
	for s, o := range v.Orders {
		p := v.Progress[s].Progress
		if p.Order == o.Revision && !p.Phase.Final() {
			out[s] = canary.Judged{Order: o.Origin, Times: p.Phase == canary.PhaseCanary && !v.Document.Services[s].Engine}
		}
	}
	return out
}

// networkBits is the length of the address prefix that the machines of one network share.
const networkBits = 16

// distance returns 0 if the addresses IP:PORT are of one network, else 1.
func distance(a, b string) int {
	x, err := netip.ParseAddrPort(a)
	if err != nil {
		return 1
	}
	y, err := netip.ParseAddrPort(b)
	if err != nil {
		return 1
	}
	p, err := x.Addr().Prefix(networkBits)
	if err != nil || !p.Contains(y.Addr()) {
		return 1
	}
	return 0
}

// newShare opens the listener for peers. It returns nil if the settings have no address for it.
func newShare(s *setup.Settings, n *mirror.Syncer, g *gossip.Exchanger) (*share.Server, error) {
	if s.Share == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", s.Share)
	if err != nil {
		return nil, err
	}
	return share.NewServer(l, n, g), nil
}
