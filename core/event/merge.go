package event

import (
	"cmp"
	"errors"
	"io"
	"slices"

	"tarragonvalve.example/core/wire"
)

// Select returns the events that a filter matches in their given order. When f.Limit is
// above 0, it returns only the last f.Limit of them.
func Select(events []Event, f Filter) []Event {
	var out []Event
	for _, e := range events {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// Merge returns one timeline of the events of several processes, ordered by stamp and
// then by instance. An event that is in several lists appears once.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Instance, b.Instance))
	})
	// A ring never gives two events the same stamp, so stamp and instance identify an event.
	return slices.CompactFunc(out, func(a, b Event) bool {
		return a.Stamp == b.Stamp && a.Instance == b.Instance
	})
}

// Receive reads the messages of one Peer.Events call up to io.EOF and returns the
// events and how many the peer's ring overwrote. recv is the call's Recv method. After
// another error of recv, it returns that error and the events read so far.
func Receive(recv func() (*wire.Event, error)) ([]Event, uint64, error) {
	var (
		out         []Event
		overwritten uint64
	)
	for {
		m, err := recv()
		if errors.Is(err, io.EOF) {
			return out, overwritten, nil
		}
		if err != nil {
			return out, overwritten, err
		}
		overwritten = max(overwritten, m.GetOverwritten())
		if m.GetKind() != "" {
			out = append(out, FromWire(m))
		}
	}
}
