package share

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pacer"
	"tarragonvalve.example/router/place"
)

// Address returns the address IP:PORT of the peer.
func (c *Client) Address() string { return c.address }

// Exchange sends samples to the peer and returns those of other routers.
func (c *Client) Exchange(ctx context.Context, m gossip.Message) (gossip.Reply, error) {
	now := time.Now()
	r, err := c.rpc.Trade(ctx, &TradeRequest{From: m.Sender, After: uint64(m.After), Samples: encodeSamples(m.Samples, now), Backlog: encodeBacklog(m.Backlog), Routers: uint32(m.Routers), Leaving: encodeIncarnations(m.Leaving), Limits: encodeLimits(m.Limits, now), Crashes: encodeCrashes(m.Crashes, now), Pinned: encodePinned(m.Pinned)})
	if err != nil {
		return gossip.Reply{}, fmt.Errorf("exchange samples with peer %s: %w", c.address, err)
	}
	return gossip.Reply{
		Samples: decodeSamples(r.GetSamples(), now), Next: gossip.Cursor(r.GetNext()), Backlog: decodeBacklog(r.GetBacklog()), Routers: int(r.GetRouters()),
		Pause: time.Duration(r.GetPauseMs()) * time.Millisecond, Leaving: decodeIncarnations(r.GetLeaving()),
		Limits: decodeLimits(r.GetLimits(), now), Share: decodePlace(r.GetPlace()), Crashes: decodeCrashes(r.GetCrashes(), now), Pinned: decodePinned(r.GetPinned()),
	}, nil
}

// decodePlace returns nil without a place, which peers of an earlier version don't send.
func decodePlace(p *Place) *pacer.Share {
	if p == nil {
		return nil
	}
	return &pacer.Share{Rank: int(p.GetRank()), Size: int(p.GetSize())}
}

// Trade merges a peer's samples and returns those of other routers.
func (s *Server) Trade(_ context.Context, q *TradeRequest) (*TradeReply, error) {
	now := time.Now()
	a := s.exchanger.HandleMessage(gossip.Message{
		Sender: q.GetFrom(), After: gossip.Cursor(q.GetAfter()), Samples: decodeSamples(q.GetSamples(), now),
		Backlog: decodeBacklog(q.GetBacklog()), Routers: int(q.GetRouters()),
		Leaving: decodeIncarnations(q.GetLeaving()), Limits: decodeLimits(q.GetLimits(), now),
		Crashes: decodeCrashes(q.GetCrashes(), now), Pinned: decodePinned(q.GetPinned()),
	})
	r := &TradeReply{
		Samples: encodeSamples(a.Samples, now), Next: uint64(a.Next), PauseMs: uint32(a.Pause.Milliseconds()),
		Backlog: encodeBacklog(a.Backlog), Routers: uint32(a.Routers),
		Leaving: encodeIncarnations(a.Leaving), Limits: encodeLimits(a.Limits, now), Crashes: encodeCrashes(a.Crashes, now), Pinned: encodePinned(a.Pinned),
		Place: &Place{Rank: uint32(a.Share.Rank), Size: uint32(a.Share.Size)},
	}
	s.keepLimit(r)
	return r, nil
}

const (
	// maxLimitPause bounds the pause between messages for the sake of the limit. Peers count as gone after 3 s.
	maxLimitPause = 1500 * time.Millisecond
	// minSamples is the least number of samples that a reply keeps.
	minSamples = 16
)

// keepLimit has the peer pause for what is sent. If that doesn't suffice, it leaves out the oldest samples. Notices of
// upstreams, limits and crashes are always sent.
func (s *Server) keepLimit(r *TradeReply) {
	size := proto.Size(r)
	pause := s.sent(size)
	if n := len(r.GetSamples()); pause > maxLimitPause && n > minSamples {
		slices.SortFunc(r.GetSamples(), func(a, b *Sample) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
		r.Samples = r.GetSamples()[:max(int(float64(n)*maxLimitPause.Seconds()/pause.Seconds()), minSamples)]
		pause = s.sent(proto.Size(r) - size)
	}
	r.PauseMs = max(r.GetPauseMs(), uint32(min(pause, maxLimitPause).Milliseconds()))
}

// encodeSamples encodes the time of a sample as its age, since the clocks of routers
// differ.
func encodeSamples(ss []place.Sample, now time.Time) []*Sample {
	out := make([]*Sample, 0, len(ss))
	for _, s := range ss {
		m := &Sample{
			Upstream: string(s.Upstream), Answers: uint32(s.Responses), Pace: float32(s.LogSlowdown),
			AgeMs: ageMs(s.At, now),
			Good:  uint32(s.Successes), Bad: uint32(s.Failures), Domain: string(s.Domain),
		}
		for _, p := range s.Prefixes {
			m.Prefixes = append(m.Prefixes, uint64(p))
		}
		m.Speed = encodeSpeed(s.Speed, now)
		if s.HasLoad {
			m.Load = &Load{Running: uint32(s.Load.Running), Waiting: uint32(s.Load.Waiting), Slots: uint32(s.Load.Slots), Pace: uint32(s.Load.Pace)}
		}
		out = append(out, m)
	}
	return out
}

func decodeSamples(ms []*Sample, now time.Time) []place.Sample {
	out := make([]place.Sample, 0, len(ms))
	for _, m := range ms {
		s := place.Sample{
			Upstream: ident.UpstreamID(m.GetUpstream()), Responses: int(m.GetAnswers()), LogSlowdown: float64(m.GetPace()),
			At:        timeOf(m.GetAgeMs(), now),
			Successes: int(m.GetGood()), Failures: int(m.GetBad()), Domain: ident.DomainID(m.GetDomain()),
		}
		for _, p := range m.GetPrefixes() {
			s.Prefixes = append(s.Prefixes, place.Prefix(p))
		}
		s.Speed = decodeSpeed(m.GetSpeed(), now)
		if l := m.GetLoad(); l != nil {
			s.HasLoad = true
			s.Load = call.Load{Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots()), Pace: int(l.GetPace())}
		}
		out = append(out, s)
	}
	return out
}

func encodeBacklog(bs []place.Backlog) []*Backlog {
	out := make([]*Backlog, 0, len(bs))
	for _, b := range bs {
		out = append(out, &Backlog{Upstream: string(b.Upstream), Work: float32(b.Work), Attempts: uint32(b.Attempts)})
	}
	return out
}

func decodeBacklog(ms []*Backlog) []place.Backlog {
	out := make([]place.Backlog, 0, len(ms))
	for _, m := range ms {
		out = append(out, place.Backlog{Upstream: ident.UpstreamID(m.GetUpstream()), Work: float64(m.GetWork()), Attempts: int(m.GetAttempts())})
	}
	return out
}

func encodeIncarnation(i fleet.Incarnation) *Incarnation {
	return &Incarnation{Upstream: string(i.ID), Born: i.StartedMs}
}

func decodeIncarnation(m *Incarnation) fleet.Incarnation {
	return fleet.Incarnation{ID: ident.UpstreamID(m.GetUpstream()), StartedMs: m.GetBorn()}
}

func encodeIncarnations(is []fleet.Incarnation) []*Incarnation {
	out := make([]*Incarnation, 0, len(is))
	for _, i := range is {
		out = append(out, encodeIncarnation(i))
	}
	return out
}

func decodeIncarnations(ms []*Incarnation) []fleet.Incarnation {
	out := make([]fleet.Incarnation, 0, len(ms))
	for _, m := range ms {
		out = append(out, decodeIncarnation(m))
	}
	return out
}

// encodeLimits encodes the time of a statement as its age, like encodeSamples.
func encodeLimits(ls []notice.StatedLimit, now time.Time) []*Limit {
	out := make([]*Limit, 0, len(ls))
	for _, l := range ls {
		m := &Limit{
			Upstream: encodeIncarnation(l.Upstream),
			AgeMs:    ageMs(l.At, now),
		}
		if !l.Lifted {
			rate := float64(l.Rate)
			m.Rate = &rate
		}
		out = append(out, m)
	}
	return out
}

func decodeLimits(ms []*Limit, now time.Time) []notice.StatedLimit {
	out := make([]notice.StatedLimit, 0, len(ms))
	for _, m := range ms {
		out = append(out, notice.StatedLimit{
			Upstream: decodeIncarnation(m.GetUpstream()),
			Limit: notice.Limit{
				Rate: call.Rate(m.GetRate()), Lifted: m.Rate == nil, At: timeOf(m.GetAgeMs(), now),
			},
		})
	}
	return out
}

// ageMs returns the age of something at now, in ms.
func ageMs(at, now time.Time) uint32 {
	return uint32(max(now.Sub(at), 0).Milliseconds())
}

// timeOf returns the time of something with an age in ms at now.
func timeOf(ageMs uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}
