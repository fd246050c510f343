package spread

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// DocumentError reports a document from a peer that can't be brought into force.
type DocumentError struct {
	Generation ident.Generation
	Err        error
}

func (e *DocumentError) Error() string {
	return fmt.Sprintf("adopt generation %d from a peer: %v", e.Generation, e.Err)
}

func (e *DocumentError) Unwrap() error {
	return e.Err
}

// DigestError reports a document whose bytes do not have the digest that was sent with
// them.
type DigestError struct {
	Want, Got envdoc.Digest
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("check document digest: want %s, got %s", e.Want, e.Got)
}

// EnvironmentError reports a document or state of another environment.
type EnvironmentError struct {
	Want, Got string
}

func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("check environment: want %s, got %s", e.Want, e.Got)
}

// acceptedFromWire checks the digest of a document from a peer and parses it. It
// returns a *DocumentError for a damaged or invalid document.
func acceptedFromWire(m *wire.Document) (*AcceptedDocument, error) {
	g := ident.Generation(m.GetGeneration())
	if got := envdoc.DigestOf(m.GetBody()); got != envdoc.Digest(m.GetDigest()) {
		return nil, &DocumentError{Generation: g, Err: &DigestError{Want: envdoc.Digest(m.GetDigest()), Got: got}}
	}
	d, err := envdoc.Parse(m.GetBody())
	if err != nil {
		return nil, &DocumentError{Generation: g, Err: err}
	}
	return &AcceptedDocument{
		Generation: g,
		Document:   d,
		Operator:   ident.OperatorID(m.GetOperator()),
		Reason:     m.GetReason(),
		At:         time.UnixMilli(m.GetAcceptedUnixMs()),
	}, nil
}

func acceptedToWire(a *AcceptedDocument) *wire.Document {
	return &wire.Document{
		Generation:     uint64(a.Generation),
		Digest:         string(a.Document.Digest),
		Body:           a.Document.Raw,
		Operator:       string(a.Operator),
		Reason:         a.Reason,
		AcceptedUnixMs: a.At.UnixMilli(),
	}
}

func haltFromWire(m *wire.Halt) Halt {
	return Halt{
		Version:    ident.VersionRef{Model: ident.ModelID(m.GetModel()), Version: ident.VersionID(m.GetVersion())},
		Generation: ident.Generation(m.GetGeneration()),
		Reason:     m.GetReason(),
		Instance:   ident.InstanceID(m.GetInstance()),
		At:         time.UnixMilli(m.GetAtUnixMs()),
	}
}

func haltToWire(h Halt) *wire.Halt {
	return &wire.Halt{
		Model:      string(h.Version.Model),
		Version:    string(h.Version.Version),
		Generation: uint64(h.Generation),
		Reason:     h.Reason,
		Instance:   string(h.Instance),
		AtUnixMs:   h.At.UnixMilli(),
	}
}

// inputsFromWire converts a peer's state to inputs. now dates the peer's confirmation
// by its age.
func inputsFromWire(m *wire.State, now time.Time) []input {
	var es []input
	if age := m.GetConfirmedAgeMs(); age >= 0 && m.GetGeneration() > 0 {
		es = append(es, confirmed{
			generation: ident.Generation(m.GetGeneration()),
			digest:     envdoc.Digest(m.GetDigest()),
			at:         now.Add(-time.Duration(age) * time.Millisecond),
		})
	}
	if len(m.GetHalts()) > 0 {
		hs := make([]Halt, 0, len(m.GetHalts()))
		for _, h := range m.GetHalts() {
			hs = append(hs, haltFromWire(h))
		}
		es = append(es, halted{halts: hs})
	}
	if len(m.GetSteps()) > 0 {
		steps := make(map[stepKey]int, len(m.GetSteps()))
		for _, s := range m.GetSteps() {
			k := stepKey{generation: ident.Generation(s.GetGeneration()), rollout: ident.RolloutID(s.GetRollout())}
			steps[k] = max(steps[k], int(s.GetStep()))
		}
		es = append(es, stepped{steps: steps})
	}
	return es
}

// toWire returns the state as it is sent to peers, with halts and steps in a fixed
// order.
func (s state) toWire(now time.Time) *wire.State {
	m := &wire.State{Generation: uint64(s.generation()), ConfirmedAgeMs: -1}
	if s.accepted != nil {
		m.Digest = string(s.accepted.Document.Digest)
	}
	if !s.confirmedAt.IsZero() {
		m.ConfirmedAgeMs = max(0, now.Sub(s.confirmedAt).Milliseconds())
	}
	for _, h := range s.halts {
		m.Halts = append(m.Halts, haltToWire(h))
	}
	slices.SortFunc(m.Halts, func(a, b *wire.Halt) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	for k, n := range s.steps {
		m.Steps = append(m.Steps, &wire.RolloutStep{
			Generation: uint64(k.generation),
			Rollout:    string(k.rollout),
			Step:       uint32(n),
		})
	}
	slices.SortFunc(m.Steps, func(a, b *wire.RolloutStep) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Rollout, b.Rollout))
	})
	return m
}
